"""Decides whether a lease of memory at a helper is renewed while its request runs.

Load pattern: the hosts of some targets go dark, and answer and acknowledge nothing, while they run
prompts that need the memory of other targets. Callers of large prompts wait for that memory. It must be
free a few seconds after the last request that used it, so no lease is renewed for a target that may be
dark. A sound target that reads a large prompt sends nothing for as long, but its host acknowledges the
kernel's keep-alive probes each second; one lost probe costs no lease.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from marigoldarch.clock import Millis

MAX_UNUSED_MS: Millis = 3500.0
"""How long memory may stay reserved after the first target has gone dark. Memory that no request uses
counts against the system after 4 s."""

LEASE_MS: Millis = 1900.0
"""Duration of a lease. Memory held for no request counts against the system after 2 s."""

RENEWAL_INTERVAL_MS: Millis = 450.0
"""How often a lease is renewed: three renewals in a row may be lost."""

ORDER_TIMEOUT_MS: Millis = 350.0
"""A renewal arrives within this time or not at all."""

MAX_UNHEARD_MS: Millis = MAX_UNUSED_MS - LEASE_MS - ORDER_TIMEOUT_MS
"""After a longer silence of the first target's host no renewal is sent."""


class LeaseStep(StrEnum):
    """What to do with a lease now; a lapsed one has ended, and a renewal would reserve anew."""

    WAIT = "wait"
    RENEW = "renew"
    WITHHOLD = "withhold"
    LAPSED = "lapsed"


class LeaseState(NamedTuple):
    """A lease whose last order was sent at `sent_ms`.

    The host of the first target of its request was heard last `unheard_ms` ago.
    """

    sent_ms: Millis
    unheard_ms: Millis


def next_lease_step(lease: LeaseState, now_ms: Millis) -> LeaseStep:
    """Return what to do with a lease whose request still runs."""
    age_ms = now_ms - lease.sent_ms
    if age_ms < RENEWAL_INTERVAL_MS:
        return LeaseStep.WAIT
    if lease.unheard_ms > MAX_UNHEARD_MS:
        return LeaseStep.WITHHOLD if age_ms < LEASE_MS else LeaseStep.LAPSED
    return LeaseStep.RENEW
