"""Tests of the validation of declarations."""

from __future__ import annotations

import unittest

from marigoldarch.serving.declaration import (
    Customer,
    DuplicateRoute,
    InvalidCustomerName,
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

    def test_weights_must_have_a_finite_sum(self) -> None:
        services = (WeightedService("engines", 1.7e308), WeightedService("desk", 1.7e308))
        self.assertEqual(self.fault(route(services=services)), InvalidWeights("quiz"))

    def test_name_of_a_customer_that_no_header_can_hold_is_refused(self) -> None:
        for name in ("a\nb", " a", "a ", "\x00"):
            fault = self.fault(customers=(Customer(name, ("k",), None),))
            self.assertEqual(fault, InvalidCustomerName(name))
            self.assertIn(repr(name), describe_fault(fault))
        sound = declaration(customers=(Customer("caf\xe9 1", ("k",), None),))
        self.assertEqual(validate_declaration(sound), sound)
