"""Slopes of the limits: entries that claim shares, and the keepers that lend them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from marigoldarch.effects import Effect, Send
from marigoldarch.entry.limit_keeper import LimitKeeper
from marigoldarch.entry.limits import Limit
from marigoldarch.events import CallArrived
from marigoldarch.messages import LimitAnswer, LimitAsk, LimitNeed, LimitShare
from marigoldarch.settings import EntrySettings
from marigoldarch_fakes.capacity import sizes
from marigoldarch_fakes.capacity.control import NODE_COUNTS, declare, make_declaration
from marigoldarch_fakes.capacity.core import (
    CoreDriver,
    best_time_us,
    encode,
    memory_bytes,
    sent_bytes,
)
from marigoldarch_fakes.capacity.roles import LIMITED_REQUESTS as REQUESTS
from marigoldarch_fakes.capacity.roles import SUBJECTS_PER_REQUEST
from marigoldarch_fakes.capacity.serving import announce_pool, make_call
from marigoldarch_fakes.capacity.slopes import Slope, measure

if TYPE_CHECKING:
    from collections.abc import Iterable

TIMED_RUNS = 20
SUBJECT_COUNTS = (50, 100, 200, 400)
CUSTOMER_LIMIT = Limit(5.0, 0.0, 20)
NODE_SUBJECTS = sizes.CUSTOMERS / sizes.NODES
"""Subjects that a node keeps if every customer is in use at once."""


def answer_asks(driver: CoreDriver, effects: Iterable[Effect]) -> None:
    """Answer as every keeper would that lends all that is asked for."""
    for effect in effects:
        if isinstance(effect, Send) and isinstance(effect.message, LimitAsk):
            ask = effect.message
            shares = [
                LimitShare(need.subject, need.requests, need.tokens, need.slots, 0.0)
                for need in ask.needs
            ]
            answer_asks(driver, driver.arrive(effect.node, LimitAnswer(ask.round, 1000.0, shares)))


def make_limited_entry(nodes: int, requests: int = REQUESTS) -> CoreDriver:
    """Return one of many nodes with requests in progress, each of a customer with limits."""
    driver = CoreDriver(nodes)
    declare(driver, "guild", requests, is_limited=True)
    announce_pool(driver, 8)
    driver.join_all()
    driver.advance(600.0)
    customers = make_declaration("guild", requests)["customers"].values()
    for number, customer in enumerate(customers):
        call = make_call(number)._replace(customer_key_sha256=customer["key_sha256"][0])
        answer_asks(driver, driver.submit(CallArrived(driver.now_ms, call)))
    return driver


def _tick_time(nodes: int) -> float:
    """Return the time of a tick that keeps the sessions of all other nodes."""
    driver = make_limited_entry(nodes)
    times: list[float] = []
    for _ in range(TIMED_RUNS):
        driver.join_all()
        times.append(best_time_us(lambda: answer_asks(driver, driver.advance(50.0)), 1))
    return sum(times) / len(times)


def _tick_bytes(nodes: int) -> float:
    """Return the mean bytes of asks that one second of renewals sends."""
    driver = make_limited_entry(nodes)
    total = 0
    for _ in range(20):
        driver.join_all()
        effects = driver.advance(50.0)
        asks = [e for e in effects if isinstance(getattr(e, "message", None), LimitAsk)]
        total += sent_bytes(asks)
        answer_asks(driver, effects)
    return total


def _keeper(subjects: int) -> LimitKeeper:
    keeper = LimitKeeper("node0001", EntrySettings())
    keeper.watch_nodes(frozenset(["node0001"]), 0.0)
    for number in range(subjects):
        keeper.lend("node0002", _need(number), CUSTOMER_LIMIT, 5000.0)
    return keeper


def _need(number: int) -> LimitNeed:
    return LimitNeed(f"customer/guild/customer{number}", 1.0, 0.0, 0.0, 1, 0)


def _lend_time(subjects: int) -> float:
    keeper = _keeper(subjects)
    numbers = iter(range(10**9))
    return best_time_us(
        lambda: keeper.lend("node0003", _need(next(numbers) % subjects), CUSTOMER_LIMIT, 5001.0),
        subjects,
    )


def _ask_bytes(subjects: int) -> float:
    ask = LimitAsk(1, [_need(number) for number in range(subjects)])
    shares = [LimitShare(need.subject, 1.0, 0.0, 1, 0.0) for need in ask.needs]
    return len(encode(ask)) + len(encode(LimitAnswer(1, 1000.0, shares)))


def limit_slopes() -> list[Slope]:
    """Measure every slope of the limits."""
    return [
        measure(
            f"entry: one tick with {REQUESTS} limited requests",
            "nodes",
            "us",
            NODE_COUNTS,
            sizes.NODES,
            _tick_time,
        ),
        measure(
            f"entry: a second of renewals of {REQUESTS} limited requests",
            "nodes",
            "bytes",
            NODE_COUNTS,
            sizes.NODES,
            _tick_bytes,
        ),
        measure("keeper: one loan", "subjects", "us", SUBJECT_COUNTS, NODE_SUBJECTS, _lend_time),
        measure(
            "limits: an ask and its answer",
            "subjects",
            "bytes",
            SUBJECT_COUNTS,
            SUBJECTS_PER_REQUEST,
            _ask_bytes,
        ),
        measure(
            "keeper: accounts in memory",
            "subjects",
            "bytes",
            SUBJECT_COUNTS,
            NODE_SUBJECTS,
            lambda count: memory_bytes(lambda: _keeper(count)),
        ),
    ]
