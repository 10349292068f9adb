"""The check of a target's frames: right permit and attempt, consecutive offsets, an end marker."""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.exceptions import StreamError


class Frame(NamedTuple):
    """One frame of a target's stream; `tokens` tokens follow the first `offset` ones."""

    permit: str
    attempt: int
    offset: int
    text: str
    tokens: int
    is_end: bool


class StreamValidator:
    """Follow one attempt's stream and tell which frames belong to the answer."""

    def __init__(self, permit: str, attempt: int, offset: int = 0) -> None:
        self._permit = permit
        self._attempt = attempt
        self._offset = offset
        self._is_ended = False

    @property
    def offset(self) -> int:
        """Return how many tokens of the answer have passed."""
        return self._offset

    @property
    def is_ended(self) -> bool:
        """Return whether the end marker was seen."""
        return self._is_ended

    def accept(self, frame: Frame) -> bool:
        """Return whether the frame is the next one; drop crossed and repeated ones.

        Raises `StreamError` when tokens are missing before the frame.
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
