"""Slopes of the limits: entries that claim shares, and the keepers that lend them."""

from __future__ import annotations

from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limits import Limit
from marigoldarch.events import CallArrived
from marigoldarch.messages import LimitAnswer, LimitAsk, LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings
from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.control import declare, make_declaration
from marigoldarch_fakes.capacity.core import (
    CoreDriver,
    best_time_us,
    encode,
    memory_bytes,
)
from marigoldarch_fakes.capacity.roles import SUBJECTS_PER_REQUEST
from marigoldarch_fakes.capacity.serving import PREFILL_MS, announce_pool, make_call
from marigoldarch_fakes.capacity.slopes import Measurement

TIMED_RUNS = 20
SUBJECT_COUNTS = (50, 100, 200, 400)
CUSTOMER_LIMIT = Limit(5.0, 0.0, 20)
NODE_SUBJECTS = sizes.CUSTOMERS / sizes.NODES
"""Subjects that a node keeps if every customer is in use at once."""


def make_limited_entry(requests: int) -> CoreDriver:
    """Return a node with requests in progress, each of a customer with limits.

    The node is the only voter and therefore also the keeper of its customers.
    """
    driver = CoreDriver(2)
    declare(driver, "guild", requests, is_limited=True)
    announce_pool(driver, max(4, requests // 20))
    customers = make_declaration("guild", requests)["customers"].values()
    for number, customer in enumerate(customers):
        call = make_call(number)._replace(customer_key_sha256=customer["key_sha256"][0])
        driver.submit(CallArrived(driver.now_ms, call))
        driver.advance(PREFILL_MS)
    return driver


def _tick_time(requests: int) -> float:
    driver = make_limited_entry(requests)
    return best_time_us(lambda: driver.advance(50.0), TIMED_RUNS)


def _keeper(subjects: int) -> LimitOwner:
    owner = LimitOwner("node0001", EntrySettings())
    owner.set_nodes(frozenset(["node0001"]), 0.0)
    for number in range(subjects):
        owner.lend("node0002", _need(number), CUSTOMER_LIMIT, 5000.0)
    return owner


def _need(number: int) -> LimitNeed:
    return LimitNeed(f"customer/guild/customer{number}", 1.0, 0.0, 0.0, 1, 0)


def _lend_time(subjects: int) -> float:
    owner = _keeper(subjects)
    numbers = iter(range(10**9))
    return best_time_us(
        lambda: owner.lend("node0003", _need(next(numbers) % subjects), CUSTOMER_LIMIT, 5001.0),
        subjects,
    )


def _ask_bytes(subjects: int) -> float:
    ask = LimitAsk(1, [_need(number) for number in range(subjects)])
    shares = [LimitShare(need.subject, 1.0, 0.0, 1, 0.0) for need in ask.needs]
    return len(encode(ask)) + len(encode(LimitAnswer(1, 1000.0, shares)))


LIMITS = (
    Measurement(
        "entry and keeper: one tick",
        "limited requests",
        "us",
        SUBJECT_COUNTS,
        sizes.NODE_ACTIVE_REQUESTS,
        _tick_time,
    ),
    Measurement("keeper: one loan", "subjects", "us", SUBJECT_COUNTS, NODE_SUBJECTS, _lend_time),
    Measurement(
        "limits: an ask and its answer",
        "subjects",
        "bytes",
        SUBJECT_COUNTS,
        SUBJECTS_PER_REQUEST,
        _ask_bytes,
    ),
    Measurement(
        "keeper: accounts in memory",
        "subjects",
        "bytes",
        SUBJECT_COUNTS,
        NODE_SUBJECTS,
        lambda count: memory_bytes(lambda: _keeper(count)),
    ),
)
"""Every slope of this part."""
