"""The Prometheus metrics of a node."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from math import inf
from typing import TYPE_CHECKING, NamedTuple

from aioprometheus import REGISTRY, Counter, Gauge, Histogram, Registry

from marigoldarch.effects import Effect, ReleaseMemory, Reply
from marigoldarch.events import (
    CallArrived,
    Event,
    FirstToken,
    MessageArrived,
    Persisted,
    Started,
    TargetFailed,
    Tick,
)
from marigoldarch.messages import HeartbeatAck
from marigoldarch.outcomes import Answered, NotRun

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.reducer import NodeState
    from marigoldarch_node.edge.peer_links import PeerLinks

LENGTH_CLASSES = ((1_000, "short"), (20_000, "medium"), (100_000, "long"))
"""The largest number of prompt tokens in each length class, and the name of the class."""

LONGEST_CLASS = "very_long"
SERVICE_CLASS = "service"
EMPTY_PROMPT_TTFT_S = 0.02
"""The time to first token of an empty prompt on an idle fleet. Slowdown is relative to this time
plus the prefill time of the prompt."""

_TTFT_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.49, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 600.0, inf)
_SLOWDOWN_BUCKETS = (1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 100.0, inf)
_SYNC_BUCKETS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.5, inf)
_CONTROL_EVENTS = (Tick, MessageArrived, Persisted, Started)


class CallInProgress(NamedTuple):
    """A call in progress: its arrival, length class and time to first token on an idle fleet."""

    at_ms: Millis
    length_class: str
    unloaded_ttft_s: float


class Metrics:
    """The metrics of one node."""

    def __init__(self, prefill_tokens_per_s: float, registry: Registry = REGISTRY) -> None:
        self._registry = registry
        self._prefill_tokens_per_s = prefill_tokens_per_s
        self._calls_in_progress: dict[str, CallInProgress] = {}
        self._newest_revision = 0
        self._ttft = self._histogram(
            "first_token_seconds", "Time to first token by length class.", _TTFT_BUCKETS_S
        )
        self._slowdown = self._histogram(
            "slowdown_ratio", "Time to first token over that on an idle fleet.", _SLOWDOWN_BUCKETS
        )
        self._outcomes = self._counter("requests_total", "Requests by final outcome.")
        self._refusals = self._counter("refusals_total", "Requests not run, by reason.")
        self._failed_attempts = self._counter("attempts_failed_total", "Failed attempts.")
        self._failures = self._counter("failures_total", "Requests without an answer, by reason.")
        self._orphans = self._counter("orphans_total", "Releases sent for memory nobody uses.")
        self._reducer_cpu = self._counter(
            "reducer_seconds_total", "Processor time by kind of event."
        )
        self._active_requests = self._gauge("requests_active", "Requests in progress.")
        self._queued = self._gauge("queued_requests", "Requests that wait, by pool and class.")
        self._permits = self._gauge("permits", "Live permits by pool.")
        self._targets = self._gauge("targets", "Live targets by pool.")
        self._lease_left = self._gauge(
            "lease_left_seconds", "Time left of the configuration lease."
        )
        self._revision = self._gauge("revision", "The revision that this node acts on.")
        self._revision_lag = self._gauge("revision_lag", "Log positions behind the leader.")
        self._log_sync = self._histogram(
            "log_sync_seconds", "Time to write and sync a batch of log records.", _SYNC_BUCKETS_S
        )
        self._control_bytes = self._gauge("control_bytes", "Bytes of messages between nodes.")
        self._control_dropped = self._gauge("control_dropped", "Messages dropped on broken links.")
        self._process_cpu = self._gauge("process_cpu_seconds", "Processor time of the process.")

    @property
    def registry(self) -> Registry:
        """Return the registry that holds the metrics."""
        return self._registry

    @contextmanager
    def count_cpu_time(self, event: Event) -> Iterator[None]:
        """Count the processor time of an event and its effects as "control" or "request" work."""
        started_ns = time.thread_time_ns()
        try:
            yield
        finally:
            work = "control" if isinstance(event, _CONTROL_EVENTS) else "request"
            self._reducer_cpu.add({"work": work}, (time.thread_time_ns() - started_ns) / 1e9)

    def on_event(self, event: Event) -> None:
        """Update metrics from an event, before it is reduced."""
        match event:
            case CallArrived(at_ms=at_ms, call=call):
                request_class = length_class(call.prompt_tokens, is_service=bool(call.service))
                unloaded_ttft_s = (
                    EMPTY_PROMPT_TTFT_S + call.prompt_tokens / self._prefill_tokens_per_s
                )
                self._calls_in_progress[call.request_id] = CallInProgress(
                    at_ms, request_class, unloaded_ttft_s
                )
            case FirstToken(at_ms=at_ms, request_id=request_id):
                self._on_first_token(request_id, at_ms)
            case TargetFailed(is_unsent=is_unsent):
                self._failed_attempts.inc({"unsent": str(is_unsent).lower()})
            case MessageArrived(message=HeartbeatAck(revision=revision)):
                self._newest_revision = max(self._newest_revision, revision)

    def on_effect(self, effect: Effect) -> None:
        """Update metrics from an effect of the reducer."""
        match effect:
            case Reply(request_id=request_id, outcome=outcome):
                call_in_progress = self._calls_in_progress.pop(request_id, None)
                request_class = call_in_progress.length_class if call_in_progress else LONGEST_CLASS
                self._outcomes.inc({"outcome": type(outcome).__name__, "class": request_class})
                if isinstance(outcome, NotRun):
                    self._refusals.inc({"reason": str(outcome.reason)})
                elif not isinstance(outcome, Answered):
                    self._failures.inc({"reason": str(outcome.reason)})
            case ReleaseMemory(pool=pool):
                self._orphans.inc({"pool": str(pool)})

    def on_log_synced(self, seconds: float) -> None:
        """Record how long it took to write and sync a batch of log records."""
        self._log_sync.observe({}, seconds)

    def update_gauges(self, state: NodeState, links: PeerLinks, now_ms: Millis) -> None:
        """Set all gauges from the current state."""
        member = state.control.member
        self._active_requests.set({}, state.active)
        self._lease_left.set({}, max(0.0, member.lease_until_ms - now_ms) / 1000.0)
        self._revision.set({}, member.view.revision)
        self._revision_lag.set({}, max(0, self._newest_revision - member.view.revision))
        self._control_bytes.set({"direction": "sent"}, links.sent_bytes)
        self._control_bytes.set({"direction": "received"}, links.received_bytes)
        self._control_dropped.set({}, links.dropped_messages)
        self._process_cpu.set({}, time.process_time())
        self._update_pool_gauges(state)

    def _update_pool_gauges(self, state: NodeState) -> None:
        for gauge in (self._queued, self._permits, self._targets):
            gauge.values.clear()
        for pool, scheduler in state.pools.schedulers.items():
            self._permits.set({"pool": str(pool)}, len(scheduler.permits))
            self._targets.set({"pool": str(pool)}, len(scheduler.fleet))
            for waiting in scheduler.waiting.values():
                item = waiting.item
                request_class = length_class(item.prompt_tokens, is_service=not item.model)
                self._queued.inc({"pool": str(pool), "class": request_class})

    def _on_first_token(self, request_id: str, at_ms: Millis) -> None:
        call_in_progress = self._calls_in_progress.get(request_id)
        if call_in_progress is None:
            return
        seconds = (at_ms - call_in_progress.at_ms) / 1000.0
        labels = {"class": call_in_progress.length_class}
        self._ttft.observe(labels, seconds)
        self._slowdown.observe(labels, max(1.0, seconds / call_in_progress.unloaded_ttft_s))

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"marigoldarch_{name}", doc, registry=self._registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(f"marigoldarch_{name}", doc, registry=self._registry)

    def _histogram(self, name: str, doc: str, buckets: tuple[float, ...]) -> Histogram:
        full_name = f"marigoldarch_{name}"
        return Histogram(full_name, doc, buckets=buckets, registry=self._registry)


def length_class(prompt_tokens: int, *, is_service: bool) -> str:
    """Return the length class of a request by its prompt tokens; services have their own class."""
    if is_service:
        return SERVICE_CLASS
    for limit, name in LENGTH_CLASSES:
        if prompt_tokens <= limit:
            return name
    return LONGEST_CLASS
