"""Render the settings page from the declared options: `python -m marigoldarch_node.config.page`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

from marigoldarch_node.config.node import declared_options
from marigoldarch_node.config.options import Choice, Number, Option, Secret

PAGE_HEADER = """\
# Settings

Every option of `marigoldarchd` is a flag and an environment variable. A flag takes precedence over
its variable. `marigoldarchd --check` validates all of them without starting the node; an error
names the flag, the variable and the remedy. This page is generated from the code by
`make settings-page`.

| flag | variable | meaning | default | allowed |
|---|---|---|---|---|
"""


def render() -> str:
    """Return the settings page as Markdown."""
    return PAGE_HEADER + "".join(_format_row(option) for option in declared_options().values())


def _format_row(option: Option[Any]) -> str:
    cells = [
        f"`{option.flag}`",
        f"`{option.variable}`",
        option.help_text,
        _format_default(option),
        _format_allowed(option),
    ]
    return f"| {' | '.join(cells)} |\n"


def _format_default(option: Option[Any]) -> str:
    if option.is_required:
        return "required"
    if option.default in (None, "", ()):
        return "none"
    default = option.default
    return f"`{default:g}`" if isinstance(default, float | int) else f"`{default}`"


def _format_allowed(option: Option[Any]) -> str:
    match option:
        case Choice(choices=choices):
            return ", ".join(f"`{choice}`" for choice in choices)
        case Number(minimum=minimum, maximum=maximum):
            return f"{minimum:g} to {maximum:g}"
        case Secret():
            return "8 characters or more"
        case _:
            return ""


if __name__ == "__main__":
    Path(sys.argv[1]).write_text(render())
