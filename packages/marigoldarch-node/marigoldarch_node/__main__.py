"""The command `marigoldarchd`: parse flags, validate settings and run a node."""

from __future__ import annotations

import os
import sys
from typing import Any

import fire
import trio
from expression import Result

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_node import logs
from marigoldarch_node.config.node import load_settings
from marigoldarch_node.server import serve

EXIT_CONFIGURATION = 2
EXIT_FAILURE = 1


def run(check: bool = False, **flags: Any) -> None:
    """Run a marigoldarch node; with --check only validate its settings."""
    match load_settings(flags, os.environ):
        case Result(tag="error", error=problem):
            print(f"marigoldarchd: {problem}", file=sys.stderr)
            sys.exit(EXIT_CONFIGURATION)
        case Result(tag="ok", ok=settings):
            pass
    if check:
        print("settings: ok")
        return
    logs.install(settings.log_format, settings.log_level)
    try:
        trio.run(serve, settings)
    except* MarigoldarchError as errors:
        print(f"marigoldarchd: {_first_leaf(errors)}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


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
