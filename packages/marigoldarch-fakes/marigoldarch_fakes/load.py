"""A load generator: lengths and kinds mixed by a seeded profile, and a report of what came of them.

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
PREFIX_POOL = 20


class Share(NamedTuple):
    """A part of the load: its share of the arrivals, its kind, and its lengths in tokens."""

    name: str
    weight: float
    kind: str
    low_tokens: int
    high_tokens: int
    output_tokens: int


GUILD = (
    Share("short", 0.90, "quiz", 100, 1_000, 20),
    Share("medium", 0.08, "binder", 1_000, 20_000, 40),
    Share("long", 0.02, "binder", 20_000, 150_000, 40),
)


class LoadSettings(NamedTuple):
    """Whom to call, how often, and with what."""

    nodes: tuple[str, ...]
    key: str
    model: str = "coach"
    rate_per_s: float = 10.0
    duration_s: float = 10.0
    seed: int = 1
    shares: tuple[Share, ...] = GUILD
    service: str = ""
    idempotent_method: str = "status"
    posting_method: str = "post_certificate"
    service_share: float = 0.0
    deadline_ms: float = 20_000.0


class Arrival(NamedTuple):
    """One request of the profile; `share` is None for a call of the plain service."""

    at_s: float
    share: Share | None
    prompt_tokens: int
    prefix: int


class Report:
    """Outcomes, and histograms of times by length class."""

    def __init__(self) -> None:
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.keys_sent: list[str] = []
        self._first: dict[str, HdrHistogram] = defaultdict(_histogram)
        self._gaps: dict[str, HdrHistogram] = defaultdict(_histogram)
        self._slowdown: dict[str, HdrHistogram] = defaultdict(_histogram)
        self._alone_ms: dict[str, float] = {}

    def set_alone(self, name: str, first_token_ms: float) -> None:
        """Set the time to first token of a length class on an idle fleet."""
        self._alone_ms[name] = first_token_ms

    def add(self, name: str, result: CallResult) -> None:
        """Add what came of one request."""
        self.outcomes[result.outcome] += 1
        if result.outcome is not CallOutcome.ANSWERED:
            error = (result.body or {}).get("error", {})
            self.reasons[f"{result.outcome}: {error.get('type', 'cut')}"] += 1
            return
        if not result.tokens:
            return
        self._first[name].record_value(int(result.first_token_ms * US_PER_MS))
        for gap_ms in result.gaps_ms:
            self._gaps[name].record_value(int(gap_ms * US_PER_MS))
        alone_ms = self._alone_ms.get(name, 0.0)
        if alone_ms > 0:
            ratio = result.first_token_ms / alone_ms
            self._slowdown[name].record_value(int(ratio * US_PER_MS))

    def to_plain(self) -> dict[str, Any]:
        """Return the figures; times in milliseconds, slowdown as a ratio."""
        return {
            "outcomes": dict(self.outcomes),
            "reasons": dict(self.reasons),
            "first_token_ms": {name: _percentiles(item) for name, item in self._first.items()},
            "token_gap_ms": {name: _percentiles(item) for name, item in self._gaps.items()},
            "slowdown": {name: _percentiles(item) for name, item in self._slowdown.items()},
        }


def plan(settings: LoadSettings) -> list[Arrival]:
    """Return the arrivals of the profile: Poisson in time, log-uniform in length."""
    chooser = random.Random(settings.seed)
    weights = [share.weight for share in settings.shares]
    arrivals: list[Arrival] = []
    at_s = 0.0
    while True:
        at_s += chooser.expovariate(settings.rate_per_s)
        if at_s > settings.duration_s:
            return arrivals
        if settings.service and chooser.random() < settings.service_share:
            arrivals.append(Arrival(at_s, None, 0, chooser.randrange(2)))
            continue
        share = chooser.choices(settings.shares, weights)[0]
        tokens = share.low_tokens * (share.high_tokens / share.low_tokens) ** chooser.random()
        arrivals.append(Arrival(at_s, share, int(tokens), chooser.randrange(PREFIX_POOL)))


async def run(settings: LoadSettings) -> Report:
    """Send the profile's requests at their instants and report on them."""
    report = Report()
    caller = Caller(list(settings.nodes), settings.key)
    for share in settings.shares:
        alone = Arrival(0.0, share, share.low_tokens, -1)
        result = await _send_prompt(caller, settings, alone)
        report.set_alone(share.name, result.first_token_ms)
    serial = itertools.count()
    begin = trio.current_time()
    async with trio.open_nursery() as nursery:
        for arrival in plan(settings):
            await trio.sleep_until(begin + arrival.at_s)
            nursery.start_soon(_send, caller, settings, arrival, report, next(serial))
    return report


async def _send(
    caller: Caller, settings: LoadSettings, arrival: Arrival, report: Report, serial: int
) -> None:
    if arrival.share is not None:
        report.add(arrival.share.name, await _send_prompt(caller, settings, arrival))
        return
    key = f"load-{settings.seed}-{serial}" if arrival.prefix else ""
    method = settings.posting_method if key else settings.idempotent_method
    if key:
        report.keys_sent.append(key)
    report.add("service", await caller.call(settings.service, method, {"serial": serial}, key))


async def _send_prompt(caller: Caller, settings: LoadSettings, arrival: Arrival) -> CallResult:
    length = arrival.prompt_tokens * BYTES_PER_TOKEN
    word = f"p{arrival.prefix:03d} "
    prompt = (word * (length // len(word) + 1))[:length]
    headers = {"x-marigoldarch-deadline-ms": str(settings.deadline_ms)}
    share = arrival.share
    return await caller.prompt(settings.model, share.kind, prompt, share.output_tokens, headers)


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_TRACKED_US, SIGNIFICANT_DIGITS)


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    found = {f"p{p}": histogram.get_value_at_percentile(p) / US_PER_MS for p in PERCENTILES}
    return {**found, "count": histogram.get_total_count()}


def main(nodes: str | tuple[str, ...], key: str, **flags: Any) -> None:
    """Run a load and print its report; flags are the fields of LoadSettings."""
    names = tuple(nodes.split(",")) if isinstance(nodes, str) else tuple(nodes)
    report = trio.run(run, LoadSettings(names, str(key), **flags))
    print(encode_json(report.to_plain()).decode())


if __name__ == "__main__":
    fire.Fire(main)
