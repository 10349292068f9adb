"""Tests of whether a response is known to be from the target that was asked."""

from __future__ import annotations

import unittest

from marigoldarch.serving.response_origin import ResponseOrigin, is_from_target

ECHO = ResponseOrigin(sent_id="r1", echoed_id="r1", is_first_on_connection=False)


class ResponseOriginTests(unittest.TestCase):
    """A faulty target sends additional bytes, late responses or those of another request."""

    def test_response_that_echoes_the_request_id_is_from_the_target(self) -> None:
        self.assertTrue(is_from_target(ECHO))

    def test_response_of_another_request_is_not(self) -> None:
        self.assertFalse(is_from_target(ECHO._replace(echoed_id="r0")))
        self.assertFalse(is_from_target(ECHO._replace(echoed_id="r0", is_first_on_connection=True)))

    def test_response_without_an_id_is_only_known_on_a_new_connection(self) -> None:
        self.assertFalse(is_from_target(ECHO._replace(echoed_id="")))
        self.assertTrue(is_from_target(ECHO._replace(echoed_id="", is_first_on_connection=True)))

    def test_order_without_an_id_is_only_known_on_a_new_connection(self) -> None:
        order = ResponseOrigin("", "", is_first_on_connection=False)
        self.assertFalse(is_from_target(order))
        self.assertTrue(is_from_target(order._replace(is_first_on_connection=True)))

    def test_another_target_at_the_address_is_not_the_target(self) -> None:
        self.assertFalse(is_from_target(ECHO._replace(is_misdirected=True)))
