"""The datagrams in which entries lend each other requests of the limits that targets name.

Each is about one target: the limits of others may have other owners.
"""

from __future__ import annotations

import msgspec


class LimitAsk(msgspec.Struct, array_like=True, frozen=True, tag="limit ask"):
    """Ask for requests of the limit of a target; the answer goes to `node`.

    The limit is `rate_per_s`, as far as the asking entry knows. `process` identifies its process, and
    `round` is echoed. With `is_final` the receiver lends, whoever it takes for the owner; otherwise it
    may forward the ask to the owner. A target that `is_cold` gets a smaller burst.
    """

    node: str
    process: int
    round: int
    target_id: str
    born_ms: int
    data_centre: str
    requests: int
    rate_per_s: float
    is_final: bool
    is_cold: bool = False


class LimitAnswer(msgspec.Struct, array_like=True, frozen=True, tag="limit answer"):
    """How many requests are lent, valid for a lease time from the moment of the ask.

    `retry_after_ms` is the wait for the next one, 0 if all that were wanted are lent.
    """

    round: int
    target_id: str
    born_ms: int
    requests: int
    retry_after_ms: float
