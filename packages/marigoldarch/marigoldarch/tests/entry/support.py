"""Helpers for the tests of limits."""

from __future__ import annotations

from marigoldarch.messages import LimitNeed

SUBJECT = "customer/guild/harbor"


def need(
    requests: float = 0.0,
    tokens: float = 0.0,
    first: float = 0.0,
    slots: int = 0,
    used: int = 0,
) -> LimitNeed:
    """Return a need of shares of `SUBJECT`."""
    return LimitNeed(SUBJECT, requests, tokens, first, slots, used)
