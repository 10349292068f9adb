"""Formats the responses of nodes, and prints text to standard output."""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec
from expression import Error, Ok, Result

from marigoldarch.codec import encode_json
from marigoldarch_cli.client import RequestError, Response

MIN_ERROR_STATUS = 400
INDENT_SPACES = 2


def format_json(value: Any) -> str:
    """Return built-in types as indented JSON."""
    return msgspec.json.format(encode_json(value), indent=INDENT_SPACES).decode()


def format_response(response: Response) -> Result[str, RequestError]:
    """Return the body as indented JSON, or an error if the status is 400 or higher."""
    if response.status >= MIN_ERROR_STATUS:
        return Error(RequestError(f"the node refuses: {encode_json(response.body).decode()}"))
    return Ok(format_json(response.body))


def print_text(text: str) -> None:
    """Print `text`; a reader that closes the pipe early, as `grep -q` does, is not an error."""
    try:
        print(text, flush=True)
    except BrokenPipeError:
        # The interpreter flushes standard output again at exit, which would fail on the closed pipe.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
