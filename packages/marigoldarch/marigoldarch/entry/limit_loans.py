"""What a node needs of a limit that another node owns, and what it is lent."""

from __future__ import annotations

from typing import NamedTuple

from marigoldarch.clock import Millis


class LimitNeed(NamedTuple):
    """What an entry node needs of one subject's limits.

    `requests` and `tokens` are needed in addition to earlier shares; `first_tokens` of the tokens
    are for the oldest waiting request. `slots` is the total of requests in progress that the entry
    node wants to be allowed, of which `used_slots` are in progress already.
    """

    subject: str
    requests: float
    tokens: float
    first_tokens: float
    slots: int
    used_slots: int


class LimitShare(NamedTuple):
    """What the owner of a subject lends; `slots` is a total, the others are additions.

    `retry_after_ms` is the suggested wait for what was not lent, 0 for none.
    """

    subject: str
    requests: float
    tokens: float
    slots: int
    retry_after_ms: Millis
