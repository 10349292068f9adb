"""The command `marigoldarchd`: parse flags, validate settings and run a node."""

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

EXIT_CONFIGURATION = 2
EXIT_FAILURE = 1
_NO = ("", "0", "false", "no")


@SetParseFn(str)
def run(check: str = "false", **flags: Any) -> None:
    """Run a marigoldarch node; with --check only validate its settings.

    Flags reach the options as they were typed: `fire` would otherwise turn some into numbers.
    """
    match load_settings(flags, os.environ):
        case Result(tag="error", error=problem):
            print(f"marigoldarchd: {problem}", file=sys.stderr)
            sys.exit(EXIT_CONFIGURATION)
        case Result(tag="ok", ok=settings):
            pass
    if str(check).lower() not in _NO:
        _check(settings)
        return
    logs.install(settings.log_format, settings.log_level)
    try:
        trio.run(serve, settings)
    except* MarigoldarchError as errors:
        print(f"marigoldarchd: {_first_leaf(errors)}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


def _check(settings: NodeSettings) -> None:
    try:
        check_settings(settings)
    except MarigoldarchError as problem:
        print(f"marigoldarchd: {problem}", file=sys.stderr)
        sys.exit(EXIT_CONFIGURATION)
    print("settings: ok")


def _first_leaf(error: BaseException) -> BaseException:
    """Return the first error inside nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def main() -> None:
    """Enter from the command line."""
    fire.Fire(run, name="marigoldarchd")


if __name__ == "__main__":
    main()
