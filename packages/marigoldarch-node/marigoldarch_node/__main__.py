"""The command `marigoldarchd`, which parses flags, validates settings and runs a node."""

from __future__ import annotations

import os
import sys
from typing import Any

import fire
import trio
from expression import Result
from fire.decorators import SetParseFn

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_node import logs
from marigoldarch_node.config.check import check_settings
from marigoldarch_node.config.node import NodeSettings, load_settings
from marigoldarch_node.server import serve

EXIT_INVALID_SETTINGS = 2
EXIT_FAILURE = 1
_FALSE_VALUES = ("", "0", "false", "no")


@SetParseFn(str)
def run(check: str = "false", **flags: Any) -> None:
    """Run a marigoldarch node; with --check only validate its settings.

    Flags are parsed as strings: by default, `fire` converts some values to numbers.
    """
    match load_settings(flags, os.environ):
        case Result(tag="error", error=error):
            print(f"marigoldarchd: {error}", file=sys.stderr)
            sys.exit(EXIT_INVALID_SETTINGS)
        case Result(tag="ok", ok=settings):
            pass
    if str(check).lower() not in _FALSE_VALUES:
        _check_settings(settings)
        return
    logs.install(settings.log_format, settings.log_level)
    try:
        trio.run(serve, settings)
    except* MarigoldarchError as errors:
        print(f"marigoldarchd: {_first_error(errors)}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


def _check_settings(settings: NodeSettings) -> None:
    try:
        check_settings(settings)
    except MarigoldarchError as error:
        print(f"marigoldarchd: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    print("settings: ok")


def _first_error(error: BaseException) -> BaseException:
    """Return the first error that is not a group inside nested exception groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def main() -> None:
    """Run the command line."""
    fire.Fire(run, name="marigoldarchd")


if __name__ == "__main__":
    main()
