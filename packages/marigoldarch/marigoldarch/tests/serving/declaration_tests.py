"""Tests of the check of a declaration."""

from __future__ import annotations

import unittest

from marigoldarch.serving.declaration import (
    Customer,
    DuplicateRoute,
    NoTimeout,
    NoWeight,
    SharedKey,
    UnknownService,
    WeightedService,
    describe_fault,
    validate_declaration,
)
from marigoldarch.tests.serving.support import declaration, route


class CheckTests(unittest.TestCase):
    """Each fault forbids the whole declaration, and is described by what to change."""

    def fault(self, *routes: object, **changes: object) -> object:
        """Return the fault of a declaration."""
        return validate_declaration(declaration(*routes, **changes)).error

    def test_sound_declaration_is_taken(self) -> None:
        sound = declaration()
        self.assertEqual(validate_declaration(sound).ok, sound)

    def test_unknown_service_is_refused(self) -> None:
        fault = self.fault(route(services=(WeightedService("none", 1.0),)))
        self.assertEqual(fault, UnknownService("quiz", "none"))
        self.assertIn("none", describe_fault(fault))

    def test_two_routes_at_one_place_are_refused(self) -> None:
        fault = self.fault(route(), route(name="other"))
        self.assertEqual(fault, DuplicateRoute("desk.example", "/quiz/"))

    def test_weights_must_add_up_to_something(self) -> None:
        fault = self.fault(route(services=(WeightedService("engines", 0.0),)))
        self.assertEqual(fault, NoWeight("quiz"))
        self.assertEqual(self.fault(route(services=())), NoWeight("quiz"))

    def test_negative_weight_is_refused(self) -> None:
        services = (WeightedService("engines", 2.0), WeightedService("desk", -1.0))
        self.assertEqual(self.fault(route(services=services)), NoWeight("quiz"))

    def test_timeout_of_nothing_is_refused(self) -> None:
        self.assertEqual(self.fault(route(timeout_ms=0.0)), NoTimeout("quiz"))

    def test_key_of_two_customers_is_refused(self) -> None:
        customers = (Customer("a", ("k",), None), Customer("b", ("x", "k"), None))
        self.assertEqual(self.fault(customers=customers), SharedKey("a", "b"))

    def test_one_customer_may_name_a_key_twice(self) -> None:
        customers = (Customer("a", ("k", "k"), None),)
        self.assertTrue(validate_declaration(declaration(customers=customers)).is_ok())
