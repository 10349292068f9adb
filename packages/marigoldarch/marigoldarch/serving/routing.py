"""Finds the route, the customer and the service of a request in one declaration."""

from __future__ import annotations

import hashlib
from functools import cached_property
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    import random

    from marigoldarch.serving.declaration import (
        ColdStart,
        Customer,
        Route,
        Service,
        ServingDeclaration,
    )


class RoutingTable:
    """Indexes of one declaration, by host name, path prefix and API key."""

    def __init__(self, declaration: ServingDeclaration) -> None:
        self._declaration = declaration
        self._services = {service.name: service for service in declaration.services}
        self._ignored_engines = [
            service.name
            for service in declaration.services
            if service.engine is not None and not service.engine.is_usable
        ]
        for name in self._ignored_engines:
            self._services[name] = self._services[name]._replace(engine=None)
        self._routes: dict[str, dict[str, Route]] = {}
        for route in declaration.routes:
            self._routes.setdefault(route.host.lower(), {})[route.path_prefix] = route
        self._customers = {
            key: customer for customer in declaration.customers for key in customer.keys
        }

    @property
    def version(self) -> int:
        """Return the version of the declaration."""
        return self._declaration.version

    @property
    def declaration(self) -> ServingDeclaration:
        """Return the declaration."""
        return self._declaration

    @property
    def ignored_engines(self) -> list[str]:
        """Return the services whose engine figures are not usable; they count as having none."""
        return self._ignored_engines

    @property
    def cold_services(self) -> dict[str, ColdStart]:
        """Return the services whose targets accept fewer requests after a start."""
        return {
            service.name: service.cold
            for service in self._services.values()
            if service.cold is not None
        }

    @property
    def requires_keys(self) -> bool:
        """Return whether routes that are not public need a customer's key."""
        return bool(self._declaration.customers)

    @cached_property
    def node_token(self) -> str:
        """Return what nodes with this declaration can compute and callers can't.

        It is a digest of the keys of all customers, of which a caller knows only its own. Without
        customers nothing is secret, and it is empty.
        """
        if not self._customers:
            return ""
        digest = hashlib.blake2b(person=b"node token", digest_size=16)
        for key in sorted(self._customers):
            text = key.encode("utf-8", "surrogateescape")
            digest.update(len(text).to_bytes(8, "big") + text)
        return digest.hexdigest()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`; all prefixes end with a slash."""
        routes = self._routes.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_customer(self, key: str) -> Customer | None:
        """Return the customer that has an API key."""
        return self._customers.get(key)

    def find_service(self, name: str) -> Service:
        """Return a declared service; raises `KeyError` for any other."""
        return self._services[name]

    def choose_service(self, route: Route, rng: random.Random) -> Service:
        """Return one of the route's services at random, by their weights."""
        if len(route.services) == 1:
            return self._services[route.services[0].service]
        weights = [item.weight for item in route.services]
        chosen = rng.choices(route.services, weights)[0]
        return self._services[chosen.service]


class PromptSize(NamedTuple):
    """The size of a prompt and of its expected answer, in tokens."""

    tokens: int
    answer_tokens: int
