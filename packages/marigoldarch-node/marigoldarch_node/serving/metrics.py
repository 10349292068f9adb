"""Counters and latency histograms of a serving node."""

from __future__ import annotations

import resource
import time
from math import inf

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, inf)


METRICS_PATH = "/metrics"


class ServingMetrics:
    """The metrics of an entry or a control host."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = self._counter("requests_total", "Requests by route, outcome and status.")
        self.attempts = self._counter("attempts_total", "Attempts by service and outcome.")
        self.refusals = self._counter("refusals_total", "Requests not run, by reason.")
        self.caller_refusals = self._counter(
            "caller_refusals_total",
            "Requests and connections that a server refused before they were handled, by reason.",
        )
        self.target_signals = self._counter(
            "target_signals_total",
            "Targets that leave, ask for a wait, name a limit or are cold, by signal.",
        )
        self.crashes = self._counter("target_crashes_total", "Crashes of targets under a request.")
        self.quarantines = self._counter(
            "quarantined_parts_total", "Parts of prompts whose requests are not sent any more."
        )
        self.lost_links = self._counter(
            "lost_links_total", "Targets that only other entries reach any more."
        )
        self.data_centre_outages = self._counter(
            "data_centre_outages_total", "Data centres whose targets have failed together."
        )
        self.tunnels = self._counter(
            "tunnels_total", "Connections to targets that other entries have asked for, by outcome."
        )
        self.announcements = self._counter("announcements_total", "Announcements by outcome.")
        self.departures = self._counter(
            "departures_total", "Departures of targets that were to be recorded, by outcome."
        )
        self.declarations = self._counter("declarations_total", "Declarations by outcome.")
        self.evacuation_orders = self._counter(
            "evacuation_orders_total",
            "Orders to evacuate a data centre or to end that, by outcome.",
        )
        self.first_response = Histogram(
            "marigoldarch_first_answer_seconds",
            "Time to the first answer or event, by route.",
            registry=self._registry,
            buckets=_BUCKETS_S,
        )
        self.log_sync = Histogram(
            "marigoldarch_log_sync_seconds",
            "Time to write and sync a batch of log records.",
            registry=self._registry,
            buckets=_BUCKETS_S,
        )
        self._gauges = Gauge("marigoldarch_state", "Sizes by name.", registry=self._registry)

    def render(self, gauge_values: dict[str, float]) -> tuple[bytes, dict[str, str]]:
        """Set the gauges, and return all metrics in text format with the HTTP headers."""
        for name, value in gauge_values.items():
            self._gauges.set({"name": name}, value)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self._gauges.set({"name": "processor_seconds"}, time.process_time())
        self._gauges.set({"name": "peak_resident_kilobytes"}, usage.ru_maxrss)
        content, headers = render(self._registry, [])
        return content, headers

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(f"marigoldarch_{name}", doc, registry=self._registry)
