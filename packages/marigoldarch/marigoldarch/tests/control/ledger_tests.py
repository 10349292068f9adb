"""Tests of the at-most-once ledger."""

from __future__ import annotations

import unittest

from marigoldarch.codec import decode_json, encode_json
from marigoldarch.control.commands import (
    LedgerAbandon,
    LedgerAnswered,
    LedgerExpire,
    LedgerFinish,
    LedgerMismatch,
    LedgerRunning,
    LedgerStart,
    LedgerStarted,
    LedgerUnknown,
)
from marigoldarch.control.ledger import Ledger


def start(request_id: str, target: str = "s1", digest: str = "d") -> LedgerStart:
    """Return a command that starts a call with one second left to its deadline."""
    return LedgerStart("harbor", "k", digest, "n1", request_id, target, 0, 1000)


class LedgerTests(unittest.TestCase):
    """A ledger in which request r1 has started the call of one key at 100 ms."""

    def setUp(self) -> None:
        self.ledger = Ledger()
        self.assertEqual(self.ledger.start(start("r1"), 100), LedgerStarted())

    def test_second_request_is_started_neither_before_nor_after_the_deadline(self) -> None:
        self.assertEqual(self.ledger.start(start("r2"), 900), LedgerRunning("r1"))
        self.assertEqual(self.ledger.start(start("r2"), 1101), LedgerUnknown("r1"))
        self.assertEqual(self.ledger.start(start("r3"), 10**9), LedgerUnknown("r1"))

    def test_answer_is_replayed_and_a_different_body_refused(self) -> None:
        self.ledger.finish(LedgerFinish("harbor", "k", "r1", "done"))
        self.assertEqual(self.ledger.start(start("r2"), 200), LedgerAnswered("done"))
        self.assertEqual(self.ledger.start(start("r2", digest="x"), 200), LedgerMismatch())

    def test_unsent_call_may_go_to_another_target(self) -> None:
        self.assertEqual(self.ledger.start(start("r1", "s2"), 200), LedgerStarted())
        self.assertEqual(self.ledger.to_plain()["records"][0].start.target, "s2")

    def test_delayed_copy_of_an_abandoned_start_does_not_block_the_key(self) -> None:
        self.ledger.abandon(LedgerAbandon("harbor", "k", "r1"), 200)
        self.assertEqual(self.ledger.start(start("r1"), 300), LedgerRunning("r1"))
        self.assertEqual(self.ledger.start(start("r2"), 300), LedgerStarted())

    def test_abandon_removes_neither_an_answer_nor_the_call_of_another_request(self) -> None:
        self.ledger.abandon(LedgerAbandon("harbor", "k", "r0"), 200)
        self.assertEqual(self.ledger.start(start("r2"), 200), LedgerRunning("r1"))
        self.ledger.finish(LedgerFinish("harbor", "k", "r1", "done"))
        self.ledger.abandon(LedgerAbandon("harbor", "k", "r1"), 200)
        self.assertEqual(self.ledger.start(start("r2"), 200), LedgerAnswered("done"))

    def test_expiry_removes_older_records_and_frees_their_memory(self) -> None:
        self.ledger.expire(LedgerExpire(100))
        self.assertEqual(len(self.ledger), 1)
        self.ledger.expire(LedgerExpire(101))
        self.assertEqual((len(self.ledger), self.ledger.size_bytes), (0, 0))

    def test_ledger_is_restored_from_its_encoded_form(self) -> None:
        self.ledger.abandon(LedgerAbandon("harbor", "other", "r9"), 100)
        self.ledger.finish(LedgerFinish("harbor", "k", "r1", "done"))
        copy = Ledger.from_plain(decode_json(encode_json(self.ledger.to_plain())))
        self.assertEqual(encode_json(copy.to_plain()), encode_json(self.ledger.to_plain()))
        self.assertEqual(copy.size_bytes, self.ledger.size_bytes)
