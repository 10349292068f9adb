"""Validation of a target's frames: permit, attempt, consecutive offsets and end marker."""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.exceptions import StreamError


class Frame(NamedTuple):
    """One frame of a target's stream: `tokens` tokens of the answer from token `offset` on."""

    permit: str
    attempt: int
    offset: int
    text: str
    tokens: int
    is_end: bool


class StreamCheck:
    """Validate the frames of one attempt's stream, and track its offset and end."""

    def __init__(self, permit: str, attempt: int, offset: int = 0) -> None:
        self._permit = permit
        self._attempt = attempt
        self._offset = offset
        self._is_ended = False

    @property
    def offset(self) -> int:
        """Return how many tokens of the answer have been accepted."""
        return self._offset

    @property
    def is_ended(self) -> bool:
        """Return whether the end marker was accepted."""
        return self._is_ended

    def accept(self, frame: Frame) -> bool:
        """Return whether the frame is the next one of the stream.

        Frames of another permit or attempt, repeated ones and any after the end are to be dropped.
        Raises `StreamError` if tokens are missing before the frame.
        """
        if (frame.permit, frame.attempt) != (self._permit, self._attempt) or self._is_ended:
            return False
        if frame.offset < self._offset:
            return False
        if frame.offset > self._offset:
            raise StreamError(f"tokens {self._offset} to {frame.offset} are missing")
        self._offset += frame.tokens
        self._is_ended = frame.is_end
        return True
