"""Tests of finding routes, customers and services in one declaration."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from marigoldarch.serving.declaration import WeightedService
from marigoldarch.serving.routing import RoutingTable
from marigoldarch.tests.serving.support import declaration, route


class RoutingTests(unittest.TestCase):
    """Two routes of one host, with one path prefix inside the other."""

    def setUp(self) -> None:
        deep = route(name="deep", path_prefix="/quiz/deep/")
        self.table = RoutingTable(declaration(route(), deep))

    def name_of(self, host: str, path: str) -> str | None:
        """Return the name of the route that a request has."""
        found = self.table.find_route(host, path)
        return found.name if found else None

    def test_longest_prefix_decides(self) -> None:
        self.assertEqual(self.name_of("desk.example", "/quiz/x"), "quiz")
        self.assertEqual(self.name_of("desk.example", "/quiz/deep/x/y"), "deep")
        self.assertEqual(self.name_of("desk.example", "/quiz/deeper"), "quiz")

    def test_port_and_case_of_the_host_do_not_matter(self) -> None:
        self.assertEqual(self.name_of("Desk.Example:8080", "/quiz/x"), "quiz")

    def test_path_without_the_slash_of_the_prefix_does_not_match(self) -> None:
        self.assertIsNone(self.name_of("desk.example", "/quiz"))
        self.assertIsNone(self.name_of("desk.example", "quiz"))
        self.assertIsNone(self.name_of("other.example", "/quiz/x"))

    def test_each_key_finds_its_customer(self) -> None:
        self.assertEqual(self.table.find_customer("key-2").name, "harbor")
        self.assertIsNone(self.table.find_customer("key-3"))
        self.assertIsNone(self.table.find_customer(""))

    def test_services_are_chosen_by_weight(self) -> None:
        services = (WeightedService("engines", 9.0), WeightedService("desk", 1.0))
        split = route(services=services)
        table = RoutingTable(declaration(split))
        rng = random.Random(1)
        drawn = Counter(table.choose_service(split, rng).name for _ in range(1000))
        self.assertGreater(drawn["engines"], 850)
        self.assertGreater(drawn["desk"], 50)

    def test_service_of_weight_zero_is_never_chosen(self) -> None:
        services = (WeightedService("engines", 1.0), WeightedService("desk", 0.0))
        split = route(services=services)
        table = RoutingTable(declaration(split))
        rng = random.Random(1)
        drawn = {table.choose_service(split, rng).name for _ in range(200)}
        self.assertEqual(drawn, {"engines"})
