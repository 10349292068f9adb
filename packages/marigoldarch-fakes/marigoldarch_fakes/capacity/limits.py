"""Slopes of the limits: entries that ask for shares, and the owners that lend them.

The titles of the measurements call the owner of a subject its keeper.
"""

from __future__ import annotations

from marigoldarch.entry.limit_owner import LimitOwner
from marigoldarch.entry.limits import Limit
from marigoldarch.events import CallArrived
from marigoldarch.messages import LimitAnswer, LimitAsk, LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings
from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.control import commit_declaration, make_declaration
from marigoldarch_fakes.capacity.core import (
    CoreDriver,
    encode,
    min_cpu_time_us,
    retained_bytes,
)
from marigoldarch_fakes.capacity.roles import SUBJECTS_PER_REQUEST
from marigoldarch_fakes.capacity.serving import PREFILL_MS, announce_pool, make_call
from marigoldarch_fakes.capacity.slopes import Measurement

TIMED_RUNS = 20
SUBJECT_COUNTS = (50, 100, 200, 400)
CUSTOMER_LIMIT = Limit(5.0, 0.0, 20)
SUBJECTS_PER_NODE = sizes.CUSTOMERS / sizes.NODES
"""Subjects that a node owns if all customers are active at once."""


def make_limited_entry(requests: int) -> CoreDriver:
    """Return a node with requests in progress, each of a different customer with limits.

    The node is the only voter and therefore also owns the limits of its customers.
    """
    driver = CoreDriver(2)
    commit_declaration(driver, "guild", requests, has_limits=True)
    announce_pool(driver, max(4, requests // 20))
    customers = make_declaration("guild", requests)["customers"].values()
    for number, customer in enumerate(customers):
        call = make_call(number)._replace(customer_key_sha256=customer["key_sha256"][0])
        driver.submit(CallArrived(driver.now_ms, call))
        driver.advance(PREFILL_MS)
    return driver


def _tick_time_us(requests: int) -> float:
    driver = make_limited_entry(requests)
    return min_cpu_time_us(lambda: driver.advance(50.0), TIMED_RUNS)


def _make_owner(subjects: int) -> LimitOwner:
    owner = LimitOwner("node0001", EntrySettings())
    owner.set_nodes(frozenset(["node0001"]), 0.0)
    for number in range(subjects):
        owner.lend("node0002", _make_need(number), CUSTOMER_LIMIT, 5000.0)
    return owner


def _make_need(number: int) -> LimitNeed:
    return LimitNeed(f"customer/guild/customer{number}", 1.0, 0.0, 0.0, 1, 0)


def _lend_time_us(subjects: int) -> float:
    owner = _make_owner(subjects)
    numbers = iter(range(10**9))
    return min_cpu_time_us(
        lambda: owner.lend(
            "node0003", _make_need(next(numbers) % subjects), CUSTOMER_LIMIT, 5001.0
        ),
        subjects,
    )


def _ask_bytes(subjects: int) -> float:
    ask = LimitAsk(1, [_make_need(number) for number in range(subjects)])
    shares = [LimitShare(need.subject, 1.0, 0.0, 1, 0.0) for need in ask.needs]
    return len(encode(ask)) + len(encode(LimitAnswer(1, 1000.0, shares)))


LIMITS = (
    Measurement(
        "entry and keeper: one tick",
        "limited requests",
        "us",
        SUBJECT_COUNTS,
        sizes.NODE_ACTIVE_REQUESTS,
        _tick_time_us,
    ),
    Measurement(
        "keeper: one loan", "subjects", "us", SUBJECT_COUNTS, SUBJECTS_PER_NODE, _lend_time_us
    ),
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
        SUBJECTS_PER_NODE,
        lambda count: retained_bytes(lambda: _make_owner(count)),
    ),
)
"""All measurements of the limits."""
