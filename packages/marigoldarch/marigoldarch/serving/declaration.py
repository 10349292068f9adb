"""What operators declare for pass-through serving: routes, services, customers and limits."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from expression import Error, Ok, Result

from marigoldarch.clock import Millis


class RepeatRule(StrEnum):
    """How often one request may run."""

    IDEMPOTENT = "idempotent"
    RUN_ONCE = "run_once"


class WeightedService(NamedTuple):
    """A service with its share of a route's requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go, and what they may cost.

    `goal_ms` is the time within which the first answer has full value, `pause_goal_ms` the longest
    pause between stream events for that. `rank` 0 is the most urgent.
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
    """The published formula of a service's engines.

    A pass runs `steps_per_pass` steps while any request writes. Each step costs `step_ms`, more
    for each writing request, and reads at most `chunk_tokens` of prompts.
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


class Service(NamedTuple):
    """A service; `engine` is None for a plain one."""

    name: str
    health_path: str
    connection_limit: int
    engine: EngineSpec | None


class CallerLimits(NamedTuple):
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_ms: Millis = 3000.0
    idle_timeout_ms: Millis = 15_000.0


class Customer(NamedTuple):
    """A customer with its keys; a `rank` goes before the rank of the route."""

    name: str
    keys: tuple[str, ...]
    rank: int | None


class ServingDeclaration(NamedTuple):
    """One version of everything declared."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    customers: tuple[Customer, ...]


class UnreadableDeclaration(NamedTuple):
    """The declaration cannot be read in full."""

    reason: str


class UnknownService(NamedTuple):
    """A route names a service that is not declared."""

    route: str
    service: str


class DuplicateRoute(NamedTuple):
    """Two routes have the same host and path prefix."""

    host: str
    path_prefix: str


class NoWeight(NamedTuple):
    """The weights of a route are negative or add up to nothing."""

    route: str


class NoTimeout(NamedTuple):
    """The timeout of a route is not positive."""

    route: str


class SharedKey(NamedTuple):
    """Two customers have the same key."""

    first: str
    second: str


DeclarationFault = (
    UnreadableDeclaration | UnknownService | DuplicateRoute | NoWeight | NoTimeout | SharedKey
)


def describe_fault(fault: DeclarationFault) -> str:
    """Return a sentence for the operator that names what to change."""
    match fault:
        case UnreadableDeclaration(reason=reason):
            return f"the declaration cannot be read: {reason}"
        case UnknownService(route=route, service=service):
            return f"route {route} names service {service}, which is not declared"
        case DuplicateRoute(host=host, path_prefix=prefix):
            return f"two routes have host {host} and prefix {prefix}"
        case NoWeight(route=route):
            return (
                f"the weights of route {route} must not be negative and must add up to more than 0"
            )
        case NoTimeout(route=route):
            return f"the timeout of route {route} must be more than 0"
        case SharedKey(first=first, second=second):
            return f"customers {first} and {second} share a key"


def validate_declaration(
    declaration: ServingDeclaration,
) -> Result[ServingDeclaration, DeclarationFault]:
    """Return the declaration, or the first fault that forbids it."""
    services = {service.name for service in declaration.services}
    places: set[tuple[str, str]] = set()
    for route in declaration.routes:
        fault = _fault_of(route, services)
        if fault is not None:
            return Error(fault)
        place = (route.host, route.path_prefix)
        if place in places:
            return Error(DuplicateRoute(*place))
        places.add(place)
    holders: dict[str, str] = {}
    for customer in declaration.customers:
        for key in customer.keys:
            holder = holders.setdefault(key, customer.name)
            if holder != customer.name:
                return Error(SharedKey(holder, customer.name))
    return Ok(declaration)


def _fault_of(route: Route, services: set[str]) -> DeclarationFault | None:
    for item in route.services:
        if item.service not in services:
            return UnknownService(route.name, item.service)
    weights = [item.weight for item in route.services]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        return NoWeight(route.name)
    if route.timeout_ms <= 0:
        return NoTimeout(route.name)
    return None
