"""Answers of nodes as text."""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec
from expression import Error, Ok, Result

from marigoldarch.codec import encode_json
from marigoldarch_cli.client import Answer, RequestError

FIRST_ERROR_STATUS = 400
INDENT = 2


def format_json(plain: Any) -> str:
    """Return plain types as JSON that is easy to read."""
    return msgspec.json.format(encode_json(plain), indent=INDENT).decode()


def answer_text(answer: Answer) -> Result[str, RequestError]:
    """Return a node's answer as text, or the error that it stands for."""
    if answer.status >= FIRST_ERROR_STATUS:
        return Error(RequestError(f"the node refuses: {encode_json(answer.body).decode()}"))
    return Ok(format_json(answer.body))


def show(text: str) -> None:
    """Print a text; a reader that closes the pipe early, as `grep -q` does, is no error."""
    try:
        print(text, flush=True)
    except BrokenPipeError:
        # The interpreter flushes standard output once more at its end.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
