"""Decimal numbers in text that others have written, such as the values of headers."""

from __future__ import annotations

MAX_DIGITS = 19
"""The most digits that are read, those of 2**63 - 1; `int` refuses texts of several thousand."""

MAX_WHOLE_NUMBER = 2**63 - 1
"""The largest number that every encoding of messages between nodes can hold."""


def parse_whole_number(text: str | bytes, maximum: int = MAX_WHOLE_NUMBER) -> int | None:
    """Return the number that ASCII digits give; None for any other text, or above `maximum`."""
    digits = text.strip()
    # Some digits by `isdigit` are not decimal, such as superscripts, and `int` refuses them.
    if not (digits.isascii() and digits.isdigit() and len(digits) <= MAX_DIGITS):
        return None
    number = int(digits)
    return number if number <= maximum else None


def parse_non_negative(text: str, maximum: float) -> float | None:
    """Return a number with or without a fraction; None for any other text, or above `maximum`."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number <= maximum else None
