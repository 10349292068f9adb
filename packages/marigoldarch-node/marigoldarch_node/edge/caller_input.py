"""What callers send: bodies and headers, checked before they reach the core."""

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
    """Return the id of a new request."""
    return f"req-{uuid.uuid4().hex}"


def decode_text(body: bytes) -> str:
    """Return a JSON body as text; raise `HttpError` when it is not JSON in UTF-8."""
    try:
        decode_json(body)
        return body.decode()
    except (CodecError, UnicodeDecodeError) as error:
        raise HttpError(400, "invalid_json", "the body must be JSON in UTF-8") from error


def read_name(request: HttpRequest, header: str) -> str:
    """Return a header that holds a name or a key; empty when it is missing."""
    value = request.headers.get(header, "")
    if len(value) > MAX_NAME_CHARACTERS:
        message = f"{header} must have at most {MAX_NAME_CHARACTERS} characters"
        raise HttpError(400, "invalid_request", message)
    return value


def as_object(plain: Any) -> dict[str, Any]:
    """Return a body that is an object; raise `HttpError` for any other."""
    if not isinstance(plain, dict):
        raise HttpError(400, "invalid_request", "the body must be a JSON object")
    return plain


def chat_prompt(body: dict[str, Any]) -> str:
    """Return the contents of all messages as one prompt."""
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


def split_model(model: Any) -> tuple[str, str, str]:
    """Split `model[:adapter][@version]`."""
    if not isinstance(model, str) or not 0 < len(model) <= MAX_NAME_CHARACTERS:
        message = f"model must be a string of 1 to {MAX_NAME_CHARACTERS} characters"
        raise HttpError(400, "invalid_request", message)
    rest, _, version = model.partition("@")
    name, _, adapter = rest.partition(":")
    return name, adapter, version


def parse_deadline(request: HttpRequest) -> float | None:
    """Return the caller's time limit in milliseconds, or None."""
    raw = request.headers.get(DEADLINE_HEADER)
    if raw is None:
        return None
    try:
        deadline_ms = float(raw)
    except ValueError:
        deadline_ms = 0.0
    if not 0 < deadline_ms < MAX_DEADLINE_MS:
        raise HttpError(400, "invalid_request", f"{DEADLINE_HEADER} must be a positive number")
    return deadline_ms
