"""Tests of schedulers whose targets crash under prompts with one prefix."""

from __future__ import annotations

import unittest
from collections.abc import Iterable

from marigoldarch.crash_suspects import SuspectSettings
from marigoldarch.effects import RecordEvent
from marigoldarch.identifiers import PermitId, TargetAddress
from marigoldarch.messages import HeldPermit, PermitGranted
from marigoldarch.outcomes import RefusalReason
from marigoldarch.pools.crash_watch import MAX_LOST_CALLS
from marigoldarch.tests.pools.support import POOL, SchedulerDriver, make_item

ANNOUNCE_INTERVAL_MS = 1_000.0
TTL_MS = 3_000.0
RESTART_MS = 3_200.0
FAULTY = ("shared", "faulty")
SOUND = ("shared", "sound")
SUSPECT_SETTINGS = SuspectSettings(quarantine_ms=20_000.0, memory_ms=60_000.0)


class CrashDriver(SchedulerDriver):
    """A scheduler with targets that announce themselves at an interval, crash and restart."""

    def __init__(self, target_count: int = 6, **fields: object) -> None:
        super().__init__(crash_suspects=SUSPECT_SETTINGS, **fields)
        self.incarnations = {f"e{number}": 1 for number in range(target_count)}
        self.restarts_ms: dict[str, float] = {}
        self.crashed: list[str] = []
        self.permits: dict[str, PermitGranted] = {}
        self.announce_all()

    def announce_all(self) -> None:
        """Announce the targets that run, and restart those that are due."""
        for name, due_ms in list(self.restarts_ms.items()):
            if self.now_ms >= due_ms:
                del self.restarts_ms[name]
                self.incarnations[name] += 1
        for name, incarnation in self.incarnations.items():
            if name not in self.restarts_ms:
                self.announce(name, incarnation=f"i{incarnation}", ttl_ms=TTL_MS)

    def run_for(self, duration_ms: float) -> None:
        """Advance the clock while the targets announce themselves."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            due_ms = min(end_ms, self.now_ms + ANNOUNCE_INTERVAL_MS, *self.restarts_ms.values())
            self.advance(due_ms - self.now_ms)
            self.announce_all()

    def ask(self, request_id: str, prefix: Iterable[str], **fields: object) -> list[str]:
        """Request a permit; return the names of the targets granted, none if it was refused.

        As an entry node does, ask again as long as a target cannot be reached.
        """
        item = make_item(request_id, prefix=tuple(prefix), **fields)
        while True:
            self.request_permit(item)
            granted = self.grants().get(request_id)
            if granted is None or granted.attempt != item.attempt:
                return []
            names = [target.target for target in granted.targets]
            dead = [name for name in names if name in self.restarts_ms]
            if not dead:
                self.permits[request_id] = granted
                return names
            self.release(granted, is_target_failure=True, failed_target=dead[0])
            item = item._replace(attempt=item.attempt + 1, avoid=(*item.avoid, dead[0]))

    def ask_at_each_target(self, prefix: Iterable[str]) -> None:
        """Request one permit at each target."""
        for name in self.incarnations:
            others = tuple(other for other in self.incarnations if other != name)
            self.ask(f"at-{name}", prefix, avoid=others)

    def answer(self, request_id: str) -> None:
        """Answer a request completely."""
        self.release(self.permits.pop(request_id), output_tokens=10)

    def lose_calls(self, *names: str) -> None:
        """Close the connections of all calls at some targets, of which the first is named."""
        for request_id, granted in list(self.permits.items()):
            lost = [target.target for target in granted.targets if target.target in names]
            if lost:
                del self.permits[request_id]
                self.release(
                    granted,
                    is_target_failure=True,
                    failed_target=lost[0],
                    is_connection_lost=True,
                )

    def crash(self, *names: str, restart_ms: float = RESTART_MS) -> None:
        """Crash some targets at the same moment; they restart later."""
        self.crashed += names
        for name in names:
            self.restarts_ms[name] = self.now_ms + restart_ms
        self.lose_calls(*names)

    def crash_with(self, request_id: str, prefix: Iterable[str], **fields: object) -> bool:
        """Request a permit and crash the targets granted; return whether there were any."""
        targets = self.ask(request_id, prefix, **fields)
        if targets:
            self.crash(*targets)
        return bool(targets)

    def events(self, kind: str) -> list[RecordEvent]:
        """Return the events of one kind."""
        return [
            effect
            for effect in self.effects
            if isinstance(effect, RecordEvent) and effect.kind == kind
        ]

    def quarantine(self, prefix: Iterable[str]) -> None:
        """Crash three targets with a prefix at different moments, and wait for their restarts."""
        for number in range(3):
            if not self.crash_with(f"q{self.now_ms}-{number}", prefix):
                raise AssertionError("no target was granted")
            self.run_for(400.0)
        self.run_for(2 * RESTART_MS)


class QuarantineTests(unittest.TestCase):
    """Requests with a prefix under which targets crash are refused, all others are served."""

    def test_requests_with_a_prefix_that_crashes_targets_are_refused_at_once(self) -> None:
        """Guards against target after target lost to new requests with the same prefix."""
        driver = CrashDriver()
        sent = 0
        for number in range(60):
            sent += driver.crash_with(f"r{number}", FAULTY)
            driver.run_for(800.0)
            if number in (10, 30, 50):
                driver.ask(f"s{number}", SOUND)
                driver.answer(f"s{number}")
        # The first two crashes are known after 4 s, in which a request is sent every 0.8 s.
        self.assertLessEqual(sent, 8)
        refusals = [item for name, item in driver.refusals().items() if name.startswith("r")]
        self.assertEqual(len(refusals), 60 - sent)
        for refusal in refusals:
            self.assertEqual(refusal.specific_reason, RefusalReason.PROMPT_CRASHES_TARGETS)
            self.assertEqual(refusal.reason, RefusalReason.TARGET_UNREACHABLE)
            self.assertGreater(refusal.retry_after_ms, 0.0)
        self.assertEqual(len(driver.events("suspect_refused")), 60 - sent)
        self.assertEqual(len(driver.events("target_crashed")), sent)
        self.assertGreater(len(driver.events("prefix_quarantined")), 0)

    def test_repeats_of_one_request_without_a_prefix_that_crashes_targets_are_refused(self) -> None:
        """Guards against target after target lost to one request, sent again and again."""
        driver = CrashDriver()
        sent = 0
        for number in range(30):
            sent += driver.crash_with(f"r{number}", (), identity="request:1")
            driver.run_for(800.0)
            # A poll that runs beside it is answered now and then.
            driver.ask(f"s{number}", (), identity="request:2")
            if number % 10 == 0 and f"s{number}" in driver.permits:
                driver.answer(f"s{number}")
        self.assertLessEqual(sent, 8)
        self.assertEqual(driver.ask("repeat", (), identity="request:1"), [])
        self.assertTrue(driver.ask("poll", (), identity="request:2"))
        self.assertTrue(driver.ask("other", (), identity="request:3"))

    def test_retry_after_is_the_time_left_of_the_quarantine(self) -> None:
        driver = CrashDriver()
        driver.quarantine(FAULTY)
        driver.ask("r1", FAULTY)
        driver.run_for(1_000.0)
        driver.ask("r2", FAULTY)
        first, second = (driver.refusals()[name].retry_after_ms for name in ("r1", "r2"))
        self.assertAlmostEqual(first - second, 1_000.0)
        driver.run_for(second + 1.0)
        self.assertTrue(driver.ask("r3", FAULTY))

    def test_one_more_crash_after_a_quarantine_begins_one_twice_as_long(self) -> None:
        driver = CrashDriver()
        driver.quarantine(FAULTY)
        driver.run_for(SUSPECT_SETTINGS.quarantine_ms)
        self.assertTrue(driver.crash_with("again", FAULTY))
        driver.run_for(2 * RESTART_MS)
        driver.ask("r1", FAULTY)
        expected_ms = 2 * SUSPECT_SETTINGS.quarantine_ms - 2 * RESTART_MS
        self.assertAlmostEqual(driver.refusals()["r1"].retry_after_ms, expected_ms)

    def test_sound_requests_beside_quarantined_ones_are_served(self) -> None:
        """Guards against refusing prompts that only share the beginning with faulty ones."""
        driver = CrashDriver()
        driver.quarantine(FAULTY)
        self.assertEqual(driver.ask("faulty", FAULTY), [])
        self.assertTrue(driver.ask("sound", SOUND))
        self.assertTrue(driver.ask("shorter", ("shared",)))
        self.assertTrue(driver.ask("other", ("other",)))
        self.assertTrue(driver.ask("short", ()))

    def test_sound_requests_that_ran_on_crashed_targets_are_served(self) -> None:
        driver = CrashDriver(target_count=1)
        for number in range(4):
            driver.ask(f"s{number}", SOUND)
            driver.crash_with(f"r{number}", FAULTY)
            driver.run_for(2 * RESTART_MS)
        self.assertTrue(driver.ask("sound", SOUND))
        driver.answer("sound")
        self.assertEqual(driver.ask("faulty", FAULTY), [])
        self.assertTrue(driver.ask("next", SOUND))

    def wait_until_quarantine(self) -> CrashDriver:
        """Let a request wait while its prefix is quarantined."""
        driver = CrashDriver(target_count=3)
        driver.ask_at_each_target(FAULTY)
        for number in range(12):
            driver.ask(f"fill{number}", (f"fill{number}",), prompt_tokens=90_000)
        self.assertEqual(driver.ask("waits", FAULTY, prompt_tokens=90_000), [])
        self.assertNotIn("waits", driver.refusals())
        for name in driver.incarnations:
            driver.crash(name)
            driver.run_for(200.0)
        while not driver.events("prefix_quarantined"):
            driver.run_for(100.0)
        self.assertNotIn("waits", driver.refusals())
        return driver

    def assert_refused(self, driver: CrashDriver, request_id: str) -> None:
        """Check that a request was refused as suspect and never granted."""
        refusal = driver.refusals()[request_id]
        self.assertEqual(refusal.specific_reason, RefusalReason.PROMPT_CRASHES_TARGETS)
        self.assertNotIn(request_id, driver.grants())
        self.assertNotIn((request_id, 1), driver.scheduler.waiting)

    def test_waiting_request_with_a_quarantined_prefix_is_refused_when_it_is_repeated(self) -> None:
        driver = self.wait_until_quarantine()
        driver.ask("waits", FAULTY, prompt_tokens=90_000)
        self.assert_refused(driver, "waits")

    def test_waiting_request_with_a_quarantined_prefix_is_refused_in_place_of_a_grant(self) -> None:
        driver = self.wait_until_quarantine()
        for _ in range(12):
            driver.run_for(2_000.0)
            for request_id, granted in driver.grants().items():
                if request_id.startswith("fill"):
                    driver.release(granted)
        self.assert_refused(driver, "waits")

    def test_suspected_request_is_sent_once_and_not_again_after_a_crash(self) -> None:
        driver = CrashDriver()
        for number in range(2):
            driver.crash_with(f"r{number}", FAULTY)
            driver.run_for(2 * RESTART_MS)
        (target,) = driver.ask("r2", FAULTY)
        driver.crash(target)
        again = {"attempt": 2, "avoid": (target,)}
        self.assertEqual(driver.ask("r2", FAULTY, **again), [])
        self.assertEqual(
            driver.refusals()["r2"].specific_reason, RefusalReason.PROMPT_CRASHES_TARGETS
        )
        self.assertTrue(driver.ask("sound", SOUND, **again))

    def test_one_request_at_a_time_tries_a_prefix_after_its_quarantine(self) -> None:
        """Guards against more targets lost until the first one is known to have crashed."""
        driver = CrashDriver()
        driver.quarantine(FAULTY)
        driver.run_for(SUSPECT_SETTINGS.quarantine_ms)
        self.assertTrue(driver.crash_with("first", FAULTY))
        driver.run_for(500.0)
        self.assertEqual(driver.ask("second", FAULTY), [])
        self.assertEqual(driver.refusals()["second"].retry_after_ms, 1_000.0)
        self.assertTrue(driver.ask("sound", SOUND))
        driver.run_for(2 * RESTART_MS)
        self.assertEqual(driver.ask("third", FAULTY), [])
        self.assertGreater(driver.refusals()["third"].retry_after_ms, 1_000.0)

    def test_suspected_requests_go_on_once_a_target_with_a_lost_call_renews(self) -> None:
        driver = CrashDriver()
        driver.quarantine(FAULTY)
        driver.run_for(SUSPECT_SETTINGS.quarantine_ms)
        driver.lose_calls(*driver.ask("first", FAULTY))
        self.assertEqual(driver.ask("second", FAULTY), [])
        driver.run_for(2 * ANNOUNCE_INTERVAL_MS)
        self.assertTrue(driver.ask("third", FAULTY))

    def test_lost_call_with_another_prefix_does_not_hold_suspected_requests_back(self) -> None:
        driver = CrashDriver()
        driver.quarantine(FAULTY)
        driver.run_for(SUSPECT_SETTINGS.quarantine_ms)
        driver.lose_calls(*driver.ask("other", ("other",)))
        self.assertTrue(driver.ask("faulty", FAULTY))

    def test_first_crash_does_not_prevent_a_retry(self) -> None:
        driver = CrashDriver()
        (target,) = driver.ask("r1", FAULTY)
        driver.crash(target)
        self.assertTrue(driver.ask("r1", FAULTY, attempt=2, avoid=(target,)))

    def test_quarantine_is_forgotten_in_time(self) -> None:
        driver = CrashDriver()
        driver.quarantine(FAULTY)
        driver.run_for(SUSPECT_SETTINGS.quarantine_ms + SUSPECT_SETTINGS.memory_ms + 20_000.0)
        for number in range(2):
            self.assertTrue(driver.crash_with(f"r{number}", FAULTY))
            driver.run_for(2 * RESTART_MS)
        self.assertTrue(driver.ask("r2", FAULTY))


class CrashEvidenceTests(unittest.TestCase):
    """A crash needs lost calls and the end of the target's run."""

    def assert_served(self, driver: CrashDriver) -> None:
        """Check that nothing is suspected."""
        self.assertEqual(driver.events("prefix_quarantined"), [])
        self.assertTrue(driver.ask("last", FAULTY))

    def test_target_that_comes_back_under_another_name_has_crashed(self) -> None:
        driver = CrashDriver(target_count=12)
        for number in range(3):
            targets = driver.ask(f"r{number}", FAULTY)
            driver.crash(*targets, restart_ms=float("inf"))
            driver.run_for(400.0)
        driver.run_for(2 * TTL_MS)
        self.assertEqual(len(driver.events("target_crashed")), 3)
        self.assertEqual(driver.ask("last", FAULTY), [])

    def test_target_that_restarts_before_its_announcement_expires_has_crashed(self) -> None:
        driver = CrashDriver()
        for number in range(3):
            driver.crash(*driver.ask(f"r{number}", FAULTY), restart_ms=300.0)
            driver.run_for(400.0)
        self.assertEqual(driver.events("target_expired"), [])
        self.assertEqual(len(driver.events("target_crashed")), 3)
        self.assertEqual(driver.ask("last", FAULTY), [])

    def test_targets_lost_together_accuse_no_prefix(self) -> None:
        """Guards against refusing a common prefix after a rack has lost its power."""
        driver = CrashDriver()
        driver.ask_at_each_target(FAULTY)
        driver.crash(*driver.incarnations)
        for number, name in enumerate(driver.incarnations):
            driver.restarts_ms[name] += 300.0 * number
        driver.run_for(3 * RESTART_MS)
        self.assertEqual(len(driver.events("target_crashed")), 6)
        self.assert_served(driver)

    def test_lost_calls_of_targets_that_go_on_serving_accuse_no_prefix(self) -> None:
        driver = CrashDriver()
        for number in range(6):
            driver.lose_calls(*driver.ask(f"r{number}", FAULTY))
            driver.run_for(2_500.0)
        for name in driver.incarnations:
            driver.crash(name)
            driver.run_for(400.0)
        driver.run_for(2 * RESTART_MS)
        self.assertEqual(driver.events("target_crashed"), [])
        self.assert_served(driver)

    def test_calls_that_failed_without_a_lost_connection_accuse_no_prefix(self) -> None:
        driver = CrashDriver()
        for number in range(5):
            (target,) = driver.ask(f"r{number}", FAULTY)
            granted = driver.permits.pop(f"r{number}")
            driver.release(granted, is_target_failure=True, failed_target=target)
            driver.crash(target)
            driver.run_for(2 * RESTART_MS)
        self.assert_served(driver)

    def test_restart_of_targets_that_leave_accuses_no_prefix(self) -> None:
        driver = CrashDriver()
        for number in range(5):
            (target,) = driver.ask(f"r{number}", FAULTY)
            incarnation = f"i{driver.incarnations[target]}"
            driver.announce(target, incarnation=incarnation, ttl_ms=TTL_MS, is_leaving=True)
            driver.crash(target)
            driver.run_for(2 * RESTART_MS)
        self.assert_served(driver)

    def test_answer_before_a_crash_is_recognized_acquits(self) -> None:
        driver = CrashDriver()
        for number in range(3):
            driver.crash_with(f"r{number}", FAULTY)
            driver.run_for(200.0)
            self.assertTrue(driver.ask(f"s{number}", FAULTY))
            driver.answer(f"s{number}")
            driver.run_for(200.0)
        driver.run_for(2 * RESTART_MS)
        self.assertEqual(len(driver.events("target_crashed")), 3)
        self.assert_served(driver)

    def test_announcement_that_was_sent_before_a_crash_proves_no_life(self) -> None:
        driver = CrashDriver()
        for number in range(3):
            (target,) = driver.ask(f"r{number}", FAULTY)
            driver.crash(target)
            driver.now_ms += 20.0
            incarnation = f"i{driver.incarnations[target]}"
            driver.announce(target, incarnation=incarnation, ttl_ms=TTL_MS)
            driver.run_for(400.0)
        driver.run_for(2 * RESTART_MS)
        self.assertEqual(driver.ask("last", FAULTY), [])

    def test_incomplete_answer_does_not_acquit(self) -> None:
        driver = CrashDriver()
        for number in range(3):
            driver.ask(f"s{number}", FAULTY)
            driver.release(driver.permits.pop(f"s{number}"))
            driver.crash_with(f"r{number}", FAULTY)
            driver.run_for(2 * RESTART_MS)
        self.assertEqual(driver.ask("last", FAULTY), [])

    def test_crash_of_any_gang_member_accuses(self) -> None:
        driver = CrashDriver(target_count=4)
        for number in range(3):
            targets = driver.ask(f"r{number}", FAULTY, prompt_tokens=270_000)
            self.assertGreater(len(targets), 1)
            driver.crash(targets[-1])
            driver.run_for(2 * RESTART_MS)
        self.assertEqual(len(driver.events("target_crashed")), 3)
        self.assertEqual(driver.ask("last", FAULTY), [])

    def test_late_release_of_a_lost_call_does_not_accuse_the_next_run_of_its_target(self) -> None:
        driver = CrashDriver()
        for number in range(5):
            (target,) = driver.ask(f"r{number}", FAULTY)
            granted = driver.permits.pop(f"r{number}")
            for _ in range(2):
                driver.crash(target, restart_ms=100.0)
                driver.run_for(100.0)
                driver.release(
                    granted,
                    is_target_failure=True,
                    failed_target=target,
                    is_connection_lost=True,
                )
            driver.run_for(2 * RESTART_MS)
        self.assertEqual(driver.events("target_crashed"), [])
        self.assert_served(driver)

    def test_remembered_calls_of_a_target_are_limited(self) -> None:
        driver = CrashDriver(target_count=1)
        names = [f"r{number}" for number in range(MAX_LOST_CALLS + 50)]
        for name in names:
            driver.ask(name, (name,))
            driver.lose_calls("e0")
        driver.crash("e0")
        driver.run_for(2 * RESTART_MS)
        (crashed,) = driver.events("target_crashed")
        self.assertEqual(crashed.fields["lost_calls"], MAX_LOST_CALLS)

    def test_prefix_of_a_permit_that_is_not_released_yet_is_accused(self) -> None:
        driver = CrashDriver(target_count=1)
        for number in range(3):
            driver.ask(f"silent{number}", FAULTY)
            del driver.permits[f"silent{number}"]
            driver.run_for(100.0)
            driver.crash_with(f"r{number}", (f"part{number}",))
            driver.run_for(2 * RESTART_MS)
            driver.release(driver.grants()[f"silent{number}"])
        self.assertEqual(driver.ask("last", FAULTY), [])


class NewSchedulerTests(unittest.TestCase):
    """A new scheduler of a pool has no memory, but knows the permits that entries list."""

    def test_new_scheduler_learns_from_permits_that_it_has_not_granted(self) -> None:
        driver = CrashDriver(fence=9)
        for number in range(3):
            name = f"e{number}"
            held = HeldPermit(
                PermitId(4, number), make_item(f"r{number}", prefix=FAULTY), [_address(name)]
            )
            driver.update_held_permits("n1", [held], epoch=9)
            driver.permits[f"r{number}"] = PermitGranted(
                POOL, f"r{number}", 1, held.permit, held.targets
            )
            driver.crash(name)
            driver.run_for(400.0)
        driver.run_for(2 * RESTART_MS)
        self.assertEqual(driver.ask("last", FAULTY), [])

    def test_new_scheduler_serves_a_quarantined_prefix_until_it_has_seen_the_limit(self) -> None:
        first = CrashDriver()
        first.quarantine(FAULTY)
        self.assertEqual(first.ask("r1", FAULTY), [])
        second = CrashDriver(fence=9, start_ms=first.now_ms)
        self.assertTrue(second.ask("r2", FAULTY))
        second.answer("r2")
        second.run_for(100.0)
        second.quarantine(FAULTY)
        self.assertEqual(second.ask("r3", FAULTY), [])


def _address(name: str) -> TargetAddress:
    return TargetAddress(name, "i1", f"{name}:1")
