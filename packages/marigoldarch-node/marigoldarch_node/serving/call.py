"""An admitted request on its way through an entry."""

from __future__ import annotations

from dataclasses import dataclass
from functools import cached_property
from typing import TYPE_CHECKING

from marigoldarch.serving.request_identity import request_identity

if TYPE_CHECKING:
    from marigoldarch.clock import Millis
    from marigoldarch.serving.attempts import AttemptHistory
    from marigoldarch.serving.declaration import Customer, Route, Service
    from marigoldarch_node.serving.dialect import RequestInfo
    from marigoldarch_node.serving.http_server import Exchange


@dataclass
class Call:
    """An admitted request with its route, its service and the attempts made so far.

    `version` is that of the declaration that applies to the request, `deadline_ms` the monotonic
    time by which the response must be complete. `last_event` is the number of the last stream event
    that the caller has; the next attempt resumes after it. `longest_pause_ms` is the longest time
    between two forwarded groups of stream events.
    """

    exchange: Exchange
    request_info: RequestInfo
    route: Route
    service: Service
    customer: Customer | None
    version: int
    deadline_ms: Millis
    history: AttemptHistory
    last_event: int | None
    longest_pause_ms: Millis = 0.0

    def record_pause(self, pause_ms: Millis) -> None:
        """Record the time between two forwarded groups of stream events."""
        self.longest_pause_ms = max(self.longest_pause_ms, pause_ms)

    @property
    def turn(self) -> tuple[Millis, int]:
        """Return the position of this call in the order of arrival."""
        return (self.exchange.request.received_ms, id(self))

    @property
    def rank(self) -> int:
        """Return the customer's rank if it has one, else that of the route."""
        customer = self.customer
        if customer is not None and customer.rank is not None:
            return customer.rank
        return self.route.rank

    @property
    def request_id(self) -> str:
        """Return the request id that the caller sent."""
        return self.request_info.request_id

    @cached_property
    def identity(self) -> str:
        """Return what this request and its repeats have in common; costs a digest of the body."""
        request = self.exchange.request
        return request_identity(self.request_info.key, request.method, request.target, request.body)

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the parts of the prompt that other prompts may have too."""
        return self.request_info.shared_parts
