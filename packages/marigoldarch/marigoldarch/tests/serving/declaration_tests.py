"""Tests of the validation of declarations."""

from __future__ import annotations

import unittest

from marigoldarch.serving.declaration import (
    Customer,
    DuplicateRoute,
    InvalidWeights,
    NonPositiveTimeout,
    SharedKey,
    UnknownService,
    WeightedService,
    describe_fault,
    validate_declaration,
)
from marigoldarch.tests.serving.support import declaration, route


class ValidateDeclarationTests(unittest.TestCase):
    """Any fault rejects the whole declaration."""

    def fault(self, *routes: object, **changes: object) -> object:
        """Return the fault of a declaration."""
        return validate_declaration(declaration(*routes, **changes))

    def test_valid_declaration_is_accepted(self) -> None:
        sound = declaration()
        self.assertEqual(validate_declaration(sound), sound)

    def test_unknown_service_is_refused(self) -> None:
        fault = self.fault(route(services=(WeightedService("none", 1.0),)))
        self.assertEqual(fault, UnknownService("quiz", "none"))
        self.assertIn("none", describe_fault(fault))

    def test_two_routes_with_one_host_and_prefix_are_refused(self) -> None:
        fault = self.fault(route(), route(name="other"))
        self.assertEqual(fault, DuplicateRoute("desk.example", "/quiz/"))

    def test_weights_must_not_add_up_to_zero(self) -> None:
        fault = self.fault(route(services=(WeightedService("engines", 0.0),)))
        self.assertEqual(fault, InvalidWeights("quiz"))
        self.assertEqual(self.fault(route(services=())), InvalidWeights("quiz"))

    def test_negative_weight_is_refused(self) -> None:
        services = (WeightedService("engines", 2.0), WeightedService("desk", -1.0))
        self.assertEqual(self.fault(route(services=services)), InvalidWeights("quiz"))

    def test_timeout_of_zero_is_refused(self) -> None:
        self.assertEqual(self.fault(route(timeout_ms=0.0)), NonPositiveTimeout("quiz"))

    def test_key_of_two_customers_is_refused(self) -> None:
        customers = (Customer("a", ("k",), None), Customer("b", ("x", "k"), None))
        self.assertEqual(self.fault(customers=customers), SharedKey("a", "b"))

    def test_one_customer_may_list_a_key_twice(self) -> None:
        customers = (Customer("a", ("k", "k"), None),)
        sound = declaration(customers=customers)
        self.assertEqual(validate_declaration(sound), sound)
