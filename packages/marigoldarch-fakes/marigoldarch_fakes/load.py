"""A load generator that sends a seeded mix of requests and reports outcomes and latencies.

Run with `python -m marigoldarch_fakes.load --nodes=IP:PORT,... --key=KEY`.
"""

from __future__ import annotations

import itertools
import random
from collections import Counter, defaultdict
from typing import Any, NamedTuple

import fire
import trio
from hdrh.histogram import HdrHistogram

from marigoldarch.codec import encode_json
from marigoldarch_fakes.caller import Caller, CallOutcome, CallResult

BYTES_PER_TOKEN = 4
US_PER_MS = 1000
MAX_TRACKED_US = 3_600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50, 95, 99)
PREFIX_COUNT = 20


class LoadClass(NamedTuple):
    """A class of prompts: its relative frequency, kind, and lengths in tokens."""

    name: str
    weight: float
    kind: str
    min_prompt_tokens: int
    max_prompt_tokens: int
    output_tokens: int


DEFAULT_CLASSES = (
    LoadClass("short", 0.90, "quiz", 100, 1_000, 20),
    LoadClass("medium", 0.08, "binder", 1_000, 20_000, 40),
    LoadClass("long", 0.02, "binder", 20_000, 150_000, 40),
)


class LoadSettings(NamedTuple):
    """The nodes to call, the request rate and the mix of requests.

    `service_share` is the fraction of arrivals that call the plain service, if one is named.
    """

    nodes: tuple[str, ...]
    key: str
    model: str = "coach"
    rate_per_s: float = 10.0
    duration_s: float = 10.0
    seed: int = 1
    shares: tuple[LoadClass, ...] = DEFAULT_CLASSES
    service: str = ""
    idempotent_method: str = "status"
    posting_method: str = "post_certificate"
    service_share: float = 0.0
    deadline_ms: float = 20_000.0


class Arrival(NamedTuple):
    """One request of the load; `load_class` is None for a call of the plain service.

    `variant` selects the repeated word of a prompt, and thereby its shared prefix; -1 is used
    before the load starts. For a service call it selects the idempotent method (0) or the posting
    method, which is sent with an idempotency key (1).
    """

    arrival_s: float
    load_class: LoadClass | None
    prompt_tokens: int
    variant: int


class Report:
    """Counts outcomes, and collects histograms of latencies by load class."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.keys_sent: list[str] = []
        self._first_token: dict[str, HdrHistogram] = defaultdict(_make_histogram)
        self._token_gaps: dict[str, HdrHistogram] = defaultdict(_make_histogram)
        self._slowdown: dict[str, HdrHistogram] = defaultdict(_make_histogram)
        self._unloaded_ms: dict[str, float] = {}

    def set_unloaded_latency(self, name: str, first_token_ms: float) -> None:
        """Set the time to first token of a load class without other load, the base of slowdown."""
        self._unloaded_ms[name] = first_token_ms

    def add(self, name: str, result: CallResult) -> None:
        """Add the result of one request."""
        self.outcomes[result.outcome] += 1
        if result.outcome is not CallOutcome.ANSWERED:
            error = (result.body or {}).get("error", {})
            self.reasons[f"{result.outcome}: {error.get('type', 'cut')}"] += 1
            return
        if not result.tokens:
            return
        self._first_token[name].record_value(int(result.first_token_ms * US_PER_MS))
        for gap_ms in result.token_gaps_ms:
            self._token_gaps[name].record_value(int(gap_ms * US_PER_MS))
        unloaded_ms = self._unloaded_ms.get(name, 0.0)
        if unloaded_ms > 0:
            ratio = result.first_token_ms / unloaded_ms
            self._slowdown[name].record_value(int(ratio * US_PER_MS))

    def to_plain(self) -> dict[str, Any]:
        """Return the report as JSON values; times in milliseconds, slowdown as a ratio."""
        return {
            "outcomes": dict(self.outcomes),
            "reasons": dict(self.reasons),
            "first_token_ms": {
                name: _percentiles(item) for name, item in self._first_token.items()
            },
            "token_gap_ms": {name: _percentiles(item) for name, item in self._token_gaps.items()},
            "slowdown": {name: _percentiles(item) for name, item in self._slowdown.items()},
        }


def generate_arrivals(settings: LoadSettings) -> list[Arrival]:
    """Return the arrivals of a run: a Poisson process with log-uniform prompt lengths."""
    rng = random.Random(settings.seed)
    weights = [load_class.weight for load_class in settings.shares]
    arrivals: list[Arrival] = []
    arrival_s = 0.0
    while True:
        arrival_s += rng.expovariate(settings.rate_per_s)
        if arrival_s > settings.duration_s:
            return arrivals
        if settings.service and rng.random() < settings.service_share:
            arrivals.append(Arrival(arrival_s, None, 0, rng.randrange(2)))
            continue
        load_class = rng.choices(settings.shares, weights)[0]
        tokens = (
            load_class.min_prompt_tokens
            * (load_class.max_prompt_tokens / load_class.min_prompt_tokens) ** rng.random()
        )
        arrivals.append(Arrival(arrival_s, load_class, int(tokens), rng.randrange(PREFIX_COUNT)))


async def run(settings: LoadSettings) -> Report:
    """Measure each class without load, then send the arrivals at their times; return the report."""
    report = Report()
    caller = Caller(list(settings.nodes), settings.key)
    for load_class in settings.shares:
        unloaded = Arrival(0.0, load_class, load_class.min_prompt_tokens, -1)
        result = await _send_prompt(caller, settings, unloaded)
        report.set_unloaded_latency(load_class.name, result.first_token_ms)
    serial = itertools.count()
    start_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for arrival in generate_arrivals(settings):
            await trio.sleep_until(start_s + arrival.arrival_s)
            nursery.start_soon(_send, caller, settings, arrival, report, next(serial))
    return report


async def _send(
    caller: Caller, settings: LoadSettings, arrival: Arrival, report: Report, serial: int
) -> None:
    if arrival.load_class is not None:
        report.add(arrival.load_class.name, await _send_prompt(caller, settings, arrival))
        return
    key = f"load-{settings.seed}-{serial}" if arrival.variant else ""
    method = settings.posting_method if key else settings.idempotent_method
    if key:
        report.keys_sent.append(key)
    report.add("service", await caller.call(settings.service, method, {"serial": serial}, key))


async def _send_prompt(caller: Caller, settings: LoadSettings, arrival: Arrival) -> CallResult:
    length = arrival.prompt_tokens * BYTES_PER_TOKEN
    word = f"p{arrival.variant:03d} "
    prompt = (word * (length // len(word) + 1))[:length]
    headers = {"x-marigoldarch-deadline-ms": str(settings.deadline_ms)}
    load_class = arrival.load_class
    return await caller.prompt(
        settings.model, load_class.kind, prompt, load_class.output_tokens, headers
    )


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TRACKED_US, SIGNIFICANT_DIGITS)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    values = {f"p{p}": histogram.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES}
    return {**values, "count": histogram.get_total_count()}


def main(nodes: str | tuple[str, ...], key: str, **flags: Any) -> None:
    """Run a load and print its report; the flags are the fields of `LoadSettings`."""
    names = tuple(nodes.split(",")) if isinstance(nodes, str) else tuple(nodes)
    report = trio.run(run, LoadSettings(names, str(key), **flags))
    print(encode_json(report.to_plain()).decode())


if __name__ == "__main__":
    fire.Fire(main)
