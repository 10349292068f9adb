"""The declaration of operators for request proxying: routes, services, customers and limits."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.header_values import is_header_value

MAX_ENGINE_FIGURE = 1e12
"""Larger figures of an engine are not used: sums and products of them could overflow."""

MIN_PREFILL_TOKENS_PER_MS = 1e-6
"""Likewise, smaller prefill rates are not used."""


class RepeatRule(StrEnum):
    """Whether one request may run more than once."""

    IDEMPOTENT = "idempotent"
    RUN_ONCE = "run_once"


class WeightedService(NamedTuple):
    """A service with its weight, which gives its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services and the limits for requests with one host name and path prefix.

    An answer has its full value if it begins within `goal_ms` and no pause between events of its
    stream exceeds `pause_goal_ms`. Requests of `rank` 0 are the most urgent.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    repeat_rule: RepeatRule
    is_stream: bool
    is_resumable: bool
    has_prompt: bool
    is_public: bool
    timeout_ms: Millis
    goal_ms: Millis
    pause_goal_ms: Millis
    attempt_limit: int
    rank: int

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run again after an attempt with unknown outcome."""
        return self.repeat_rule is RepeatRule.IDEMPOTENT or (self.is_stream and self.is_resumable)


class EngineSpec(NamedTuple):
    """The published performance figures of a service's engines.

    An engine runs at most `slots` requests, with at most `memory_tokens` in its memory. While any
    request decodes, a pass consists of `steps_per_pass` steps. A step takes `step_ms`, plus
    `step_ms_per_decoding_request` for each such request and `step_ms_per_1k_context` for each 1000
    tokens of context, and prefills at most `chunk_tokens` of prompts. For a prompt that is split,
    each helper adds `helper_hop_ms` to a step of the first target.
    """

    slots: int
    memory_tokens: int
    step_ms: Millis
    step_ms_per_decoding_request: Millis
    step_ms_per_1k_context: Millis
    prefill_tokens_per_ms: float
    prefill_ms_per_million_token_pairs: Millis
    chunk_tokens: int
    steps_per_pass: int
    helper_hop_ms: Millis

    @property
    def is_usable(self) -> bool:
        """Return whether the engine formula gives a finite duration for every request."""
        is_bounded = all(0 <= figure <= MAX_ENGINE_FIGURE for figure in self)
        has_rate = self.prefill_tokens_per_ms >= MIN_PREFILL_TOKENS_PER_MS
        return is_bounded and has_rate and self.step_ms > 0 and self.steps_per_pass > 0


class ColdStart(NamedTuple):
    """For how long a target is cold after a start, and the requests a second that it accepts then.

    The rate is for all nodes together.
    """

    duration_ms: Millis
    rate_per_s: float


class Service(NamedTuple):
    """A service; `engine` is None if its targets have no engine formula.

    `cold` is None if its targets accept as many requests after a start as later.
    """

    name: str
    health_path: str
    connection_limit: int
    engine: EngineSpec | None
    cold: ColdStart | None = None


class CallerLimits(NamedTuple):
    """Limits on the size of a caller's requests, the time to send their headers, and idle time."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: Millis = 3000.0
    idle_timeout_ms: Millis = 15_000.0


class Customer(NamedTuple):
    """A customer with its API keys; its `rank`, if any, replaces the rank of the route."""

    name: str
    keys: tuple[str, ...]
    rank: int | None


class ServingDeclaration(NamedTuple):
    """One version of the whole declaration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    customers: tuple[Customer, ...]


class UnreadableDeclaration(NamedTuple):
    """The declaration cannot be decoded."""

    reason: str


class UnknownService(NamedTuple):
    """A route names a service that is not declared."""

    route: str
    service: str


class DuplicateRoute(NamedTuple):
    """Two routes have the same host and path prefix."""

    host: str
    path_prefix: str


class InvalidWeights(NamedTuple):
    """A weight of a route is negative, or its weights add up to 0 or to infinity."""

    route: str


class NonPositiveTimeout(NamedTuple):
    """The timeout of a route is not positive."""

    route: str


class SharedKey(NamedTuple):
    """Two customers have the same API key."""

    first: str
    second: str


class InvalidCustomerName(NamedTuple):
    """The name of a customer cannot be sent as the value of a header."""

    name: str


DeclarationFault = (
    UnreadableDeclaration
    | UnknownService
    | DuplicateRoute
    | InvalidWeights
    | NonPositiveTimeout
    | SharedKey
    | InvalidCustomerName
)


def describe_fault(fault: DeclarationFault) -> str:
    """Return a message for the operator that names what to change."""
    match fault:
        case UnreadableDeclaration(reason=reason):
            return f"the declaration cannot be read: {reason}"
        case UnknownService(route=route, service=service):
            return f"route {route} names service {service}, which is not declared"
        case DuplicateRoute(host=host, path_prefix=prefix):
            return f"two routes have host {host} and prefix {prefix}"
        case InvalidWeights(route=route):
            return (
                f"the weights of route {route} must not be negative and must add up to more than 0,"
                " and to a finite sum"
            )
        case NonPositiveTimeout(route=route):
            return f"the timeout of route {route} must be more than 0"
        case SharedKey(first=first, second=second):
            return f"customers {first} and {second} share a key"
        case InvalidCustomerName(name=name):
            return (
                f"the name of customer {name!r} must have no control characters, and no blanks at"
                " its ends"
            )


def validate_declaration(
    declaration: ServingDeclaration,
) -> ServingDeclaration | DeclarationFault:
    """Return the declaration, or its first fault."""
    services = {service.name for service in declaration.services}
    prefixes: set[tuple[str, str]] = set()
    for route in declaration.routes:
        fault = _find_route_fault(route, services)
        if fault is not None:
            return fault
        prefix = (route.host, route.path_prefix)
        if prefix in prefixes:
            return DuplicateRoute(*prefix)
        prefixes.add(prefix)
    key_owners: dict[str, str] = {}
    for customer in declaration.customers:
        if customer.name and not is_header_value(customer.name):
            return InvalidCustomerName(customer.name)
        for key in customer.keys:
            owner = key_owners.setdefault(key, customer.name)
            if owner != customer.name:
                return SharedKey(owner, customer.name)
    return declaration


def _find_route_fault(route: Route, services: set[str]) -> DeclarationFault | None:
    for item in route.services:
        if item.service not in services:
            return UnknownService(route.name, item.service)
    weights = [item.weight for item in route.services]
    if min(weights, default=0) < 0 or not 0 < sum(weights) < math.inf:
        return InvalidWeights(route.name)
    if route.timeout_ms <= 0:
        return NonPositiveTimeout(route.name)
    return None
