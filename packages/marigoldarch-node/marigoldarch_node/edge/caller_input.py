"""Parsing and validation of the bodies and headers that callers send."""

from __future__ import annotations

import uuid
from typing import Any

from marigoldarch.codec import decode_json
from marigoldarch.exceptions import CodecError
from marigoldarch_node.edge.http import HttpError, HttpRequest

DEADLINE_HEADER = "x-marigoldarch-deadline-ms"
MAX_NAME_CHARACTERS = 256
MAX_DEADLINE_MS = 1e10


def new_request_id() -> str:
    """Return a new unique request id."""
    return f"req-{uuid.uuid4().hex}"


def decode_json_text(body: bytes) -> str:
    """Return a JSON body as text, unchanged; raise `HttpError` when it is not JSON in UTF-8."""
    try:
        decode_json(body)
        return body.decode()
    except (CodecError, UnicodeDecodeError) as error:
        raise HttpError(400, "invalid_json", "the body must be JSON in UTF-8") from error


def read_name_header(request: HttpRequest, header: str) -> str:
    """Return a header that holds a name or a key; an empty string when it is missing.

    Raises `HttpError` when it is longer than `MAX_NAME_CHARACTERS`.
    """
    value = request.headers.get(header, "")
    if len(value) > MAX_NAME_CHARACTERS:
        message = f"{header} must have at most {MAX_NAME_CHARACTERS} characters"
        raise HttpError(400, "invalid_request", message)
    return value


def require_object(body: Any) -> dict[str, Any]:
    """Return the body; raise `HttpError` when it is not a JSON object."""
    if not isinstance(body, dict):
        raise HttpError(400, "invalid_request", "the body must be a JSON object")
    return body


def join_chat_messages(body: dict[str, Any]) -> str:
    """Return the contents of all chat messages, joined by newlines, as one prompt.

    Raises `HttpError` when a message has no text.
    """
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise HttpError(400, "invalid_request", "messages must be a list that is not empty")
    parts: list[str] = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str):
            raise HttpError(400, "invalid_request", "each message needs a string as content")
        parts.append(content)
    return "\n".join(parts)


def parse_model(model: Any) -> tuple[str, str, str]:
    """Return the model, adapter and version of `model[:adapter][@version]`.

    A missing adapter or version is an empty string. Raises `HttpError` when the name is no string
    or has a wrong length.
    """
    if not isinstance(model, str) or not 0 < len(model) <= MAX_NAME_CHARACTERS:
        message = f"model must be a string of 1 to {MAX_NAME_CHARACTERS} characters"
        raise HttpError(400, "invalid_request", message)
    base_and_adapter, _, version = model.partition("@")
    name, _, adapter = base_and_adapter.partition(":")
    return name, adapter, version


def parse_deadline(request: HttpRequest) -> float | None:
    """Return the time that the caller allows for the call, in milliseconds; None if not given.

    Raises `HttpError` when it is not a positive number below `MAX_DEADLINE_MS`.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = 0.0
    if not 0 < deadline_ms < MAX_DEADLINE_MS:
        raise HttpError(400, "invalid_request", f"{DEADLINE_HEADER} must be a positive number")
    return deadline_ms
