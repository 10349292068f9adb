"""Tests of attempts against scripted targets over real sockets."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import trio

from marigoldarch.clock import ManualClock
from marigoldarch.codec import encode_json
from marigoldarch.effects import CallTarget
from marigoldarch.entry.stream import Frame
from marigoldarch.events import Event, FirstToken, TargetAnswered, TargetFailed
from marigoldarch.identifiers import PermitId, TargetAddress
from marigoldarch.outcomes import Failed, FailureReason
from marigoldarch_node.attempts import AttemptRunner
from marigoldarch_node.calls import (
    MAX_PENDING_CHARACTERS,
    MAX_PENDING_FRAMES,
    Call,
    CallTable,
    Payload,
)
from marigoldarch_node.edge.http import HttpRequest, Route, Router
from marigoldarch_node.edge.listener import Listener, ListenerSettings
from marigoldarch_node.edge.target_client import TargetClient

PERMIT = PermitId(7, 1)
TIME_LIMIT_S = 20.0
Script = Callable[[HttpRequest, dict[str, Any]], Awaitable[None]]


def frame(offset: int, **changes: Any) -> bytes:
    """Return the line of one frame."""
    plain = {"permit": str(PERMIT), "attempt": 1, "offset": offset, "text": f"w{offset}"}
    return encode_json({**plain, "tokens": 1, "end": False, **changes}) + b"\n"


class ScriptedTarget:
    """A target whose answers are scripted and that records what it receives."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self.released: list[str] = []
        self.disconnected = trio.Event()
        self.connections: set[Any] = set()
        self.port = 0

    @property
    def address(self) -> TargetAddress:
        """Return the identity and address of the target."""
        return TargetAddress(f"e{self.port}", "i1", f"127.0.0.1:{self.port}")

    async def start(self, nursery: trio.Nursery) -> None:
        """Listen on a free port."""
        routes = [
            Route("POST", "/v1/generate", self._generate),
            Route("POST", "/v1/call/", self._generate, is_prefix=True),
            Route("DELETE", "/v1/streams/", self._release, is_prefix=True),
        ]
        listener = Listener(Router(routes), ListenerSettings("127.0.0.1:0"))
        self.port = await nursery.start(listener.serve, trio.Event())

    async def _generate(self, request: HttpRequest) -> None:
        self.connections.add(request.client)
        request_body = await request.read_json()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, request)
            await self._script(request, request_body)
            nursery.cancel_scope.cancel()

    async def _watch(self, request: HttpRequest) -> None:
        while (await request.receive())["type"] != "http.disconnect":
            pass
        self.disconnected.set()

    async def _release(self, request: HttpRequest) -> None:
        self.released.append(request.path.rpartition("/")[2])
        await request.send_json(200, {})


async def stream(request: HttpRequest, *lines: bytes) -> None:
    """Send the headers and some frames, and leave the response open."""
    await request.start(200, "application/x-ndjson", {})
    for line in lines:
        await request.send_chunk(line)


async def three_tokens(request: HttpRequest, request_body: dict[str, Any]) -> None:
    """Answer with three tokens; as a further gang member, keep the stream open."""
    if request_body["gang"]["rank"] > 0:
        await request.start(200, "application/x-ndjson", {})
        await trio.sleep_forever()
    lines = [
        frame(n, end=n == 2, attempt=request_body["attempt"])
        for n in range(request_body["offset"], 3)
    ]
    await stream(request, *lines)
    await request.send_chunk(b"", is_last=True)


async def hang(request: HttpRequest, request_body: dict[str, Any]) -> None:
    """Send one frame and then nothing."""
    await stream(request, frame(0))
    await trio.sleep_forever()


class AttemptRunnerTests(unittest.TestCase):
    """The events that attempts submit, and the releases that targets receive."""

    def setUp(self) -> None:
        self.events: list[Event] = []
        self.calls = CallTable()
        self.attempts = AttemptRunner(self.calls, TargetClient(), ManualClock(), self.events.append)
        self.call = self.calls.open("r1", Payload(model="coach", prompt="hi", max_tokens=3))

    def run_with(self, scripts: list[Script], test: Callable[..., Awaitable[None]]) -> None:
        """Run a test with scripted targets."""

        async def main() -> None:
            targets = [ScriptedTarget(script) for script in scripts]
            with trio.fail_after(TIME_LIMIT_S):
                async with trio.open_nursery() as nursery:
                    for target in targets:
                        await target.start(nursery)
                    await test(nursery, *targets)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def effect(self, *targets: ScriptedTarget, attempt: int = 1, offset: int = 0) -> CallTarget:
        """Return the effect that calls the targets."""
        addresses = tuple(target.address for target in targets)
        return CallTarget("r1", attempt, PERMIT, addresses, 1e9, 0, offset)

    def ended(self, kind: type) -> Any:
        """Return the one event that ended the attempt."""
        ends = [e for e in self.events if isinstance(e, TargetAnswered | TargetFailed)]
        self.assertEqual([type(event) for event in ends], [kind])
        return ends[0]

    async def texts(self, call: Call, count: int) -> list[str]:
        """Return the texts of the next frames."""
        texts: list[str] = []
        while len(texts) < count:
            texts += [frame.text for frame in await call.take_frames()]
        return texts

    def test_complete_stream_is_answered_and_its_connection_reused(self) -> None:
        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            for _ in range(3):
                self.events.clear()
                self.call = self.calls.open("r1", self.call.payload)
                await self.attempts.run(self.effect(target))
                self.assertEqual(await self.texts(self.call, 3), ["w0", "w1", "w2"])
                self.assertEqual(self.ended(TargetAnswered).output_tokens, 3)
                self.assertIsInstance(self.events[0], FirstToken)
            self.assertEqual(len(target.connections), 1)
            self.assertEqual(target.released, [])

        self.run_with([three_tokens], test)

    def test_cancelling_a_hung_stream_disconnects_and_releases_the_target(self) -> None:
        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            nursery.start_soon(self.attempts.run, self.effect(target))
            await self.texts(self.call, 1)
            self.attempts.cancel("r1", 1)
            await target.disconnected.wait()
            while not target.released:
                await trio.sleep(0.001)
            self.assertEqual(target.released, [str(PERMIT)])
            self.assertEqual(len(self.attempts), 0)
            self.assertIsInstance(self.events[-1], FirstToken)

        self.run_with([hang], test)

    def test_slow_caller_pauses_the_stream_and_cancelling_releases_the_target(self) -> None:
        sent = 0

        async def flood(request: HttpRequest, request_body: dict[str, Any]) -> None:
            nonlocal sent
            await stream(request)
            while True:
                await request.send_chunk(frame(sent, text="x" * 500_000))
                sent += 1

        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            nursery.start_soon(self.attempts.run, self.effect(target))
            await self.texts(self.call, 1)
            before = -1
            while before != sent:
                before = sent
                await trio.sleep(0.3)
            self.assertLess(sent, MAX_PENDING_FRAMES + 30)
            self.attempts.cancel("r1", 1)
            self.calls.finish("r1", Failed(FailureReason.CALLER_GONE))
            await target.disconnected.wait()
            while not target.released:
                await trio.sleep(0.001)

        self.run_with([flood], test)

    def test_abandoned_call_does_not_block_its_attempt(self) -> None:
        async def long(request: HttpRequest, request_body: dict[str, Any]) -> None:
            await stream(request, *(frame(n, end=n == 99) for n in range(100)))
            await request.send_chunk(b"", is_last=True)

        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            self.call.abandon()
            await self.attempts.run(self.effect(target))
            self.ended(TargetAnswered)

        self.run_with([long], test)

    def test_refused_connection_counts_as_unsent(self) -> None:
        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            gone = TargetAddress("e9", "i1", "127.0.0.1:1")
            await self.attempts.run(CallTarget("r1", 1, PERMIT, (gone,), 1e9, 0))
            self.assertTrue(self.ended(TargetFailed).is_unsent)
            self.assertFalse(self.ended(TargetFailed).is_connection_lost)

        self.run_with([three_tokens], test)

    def test_refusal_counts_as_unsent_only_if_the_target_says_not_run(self) -> None:
        for body, is_unsent in (
            ({"error": {"run": "not_run"}}, True),
            ({"error": {"run": "failed"}}, False),
            ({}, False),
            ([1], False),
        ):
            with self.subTest(body=body):
                self.setUp()
                self.check_refusal(body, is_unsent)

    def check_refusal(self, body: Any, is_unsent: bool) -> None:
        """Check whether a refusal with this body counts as unsent."""

        async def refuse(request: HttpRequest, request_body: dict[str, Any]) -> None:
            await request.send_json(503, body)

        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            await self.attempts.run(self.effect(target))
            self.assertEqual(self.ended(TargetFailed).is_unsent, is_unsent)

        self.run_with([refuse], test)

    def test_broken_streams_fail_with_the_number_of_relayed_tokens(self) -> None:
        cases = {
            "no end marker": (frame(0), frame(1)),
            "a gap": (frame(0), frame(1), frame(3)),
            "not JSON": (frame(0), frame(1), b"{\n"),
            "negative tokens": (frame(0), frame(1), frame(2, tokens=-1)),
            "text of another type": (frame(0), frame(1), frame(2, text=7)),
            "an endless line": (frame(0), frame(1), b"x" * 3_000_000),
        }
        for name, lines in cases.items():
            with self.subTest(name):
                self.setUp()
                self.check_broken(lines)

    def check_broken(self, lines: tuple[bytes, ...]) -> None:
        """Check that a stream fails after two relayed tokens."""

        async def broken(request: HttpRequest, request_body: dict[str, Any]) -> None:
            await stream(request, *lines)
            await request.send_chunk(b"", is_last=True)

        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            await self.attempts.run(self.effect(target))
            failed = self.ended(TargetFailed)
            self.assertEqual((failed.relayed_tokens, failed.is_unsent), (2, False))
            self.assertFalse(failed.is_connection_lost)
            self.assertEqual(target.released, [str(PERMIT)])

        self.run_with([broken], test)

    def test_frames_of_other_attempts_and_repeated_frames_are_dropped(self) -> None:
        async def cross(request: HttpRequest, request_body: dict[str, Any]) -> None:
            foreign = frame(0, permit="7-2", text="not yours"), frame(0, attempt=9, text="old")
            await stream(request, *foreign, frame(0), frame(0), frame(1), frame(2, end=True))
            await request.send_chunk(b"", is_last=True)

        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            await self.attempts.run(self.effect(target))
            self.assertEqual(await self.texts(self.call, 3), ["w0", "w1", "w2"])
            self.ended(TargetAnswered)

        self.run_with([cross], test)

    def test_next_attempt_continues_after_the_relayed_tokens(self) -> None:
        async def test(nursery: trio.Nursery, hung: ScriptedTarget, good: ScriptedTarget) -> None:
            nursery.start_soon(self.attempts.run, self.effect(hung))
            self.assertEqual(await self.texts(self.call, 1), ["w0"])
            self.attempts.cancel("r1", 1)
            await self.attempts.run(self.effect(good, attempt=2, offset=0))
            self.assertEqual(await self.texts(self.call, 2), ["w1", "w2"])

        self.run_with([hang, three_tokens], test)

    def test_gang_is_answered_by_its_first_target_and_released_on_all_targets(self) -> None:
        async def test(nursery: trio.Nursery, *targets: ScriptedTarget) -> None:
            await self.attempts.run(self.effect(*targets))
            self.ended(TargetAnswered)
            for target in targets:
                self.assertEqual(target.released, [str(PERMIT)])

        self.run_with([three_tokens, three_tokens, three_tokens], test)

    def test_failed_gang_member_fails_the_attempt_and_is_named(self) -> None:
        async def die(request: HttpRequest, request_body: dict[str, Any]) -> None:
            await request.start(200, "application/x-ndjson", {})
            await request.send_chunk(b"", is_last=True)

        async def test(nursery: trio.Nursery, *targets: ScriptedTarget) -> None:
            await self.attempts.run(self.effect(*targets))
            failed = self.ended(TargetFailed)
            self.assertEqual(failed.target, targets[2].address.target)
            self.assertFalse(failed.is_unsent)
            for target in targets:
                self.assertEqual(target.released, [str(PERMIT)])

        self.run_with([hang, hang, die], test)

    def test_connection_closed_within_an_answer_is_reported_as_lost(self) -> None:
        """Guards against a crash of a target that looks like any failed call."""
        for rank, gang_size in ((0, 1), (0, 2), (1, 2)):
            with self.subTest(rank=rank, gang_size=gang_size):
                self.setUp()
                self.check_lost(rank, gang_size)

    def check_lost(self, rank: int, gang_size: int) -> None:
        """Check that the target at a position of a gang is reported if it breaks connections."""

        async def break_off(connection: trio.SocketStream) -> None:
            await connection.receive_some()
            await connection.send_all(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")

        async def test(nursery: trio.Nursery, *hung: ScriptedTarget) -> None:
            serve = partial(trio.serve_tcp, break_off, 0, host="127.0.0.1")
            (listener,) = await nursery.start(serve)
            port = listener.socket.getsockname()[1]
            addresses = [target.address for target in hung]
            addresses.insert(rank, TargetAddress("crashed", "i1", f"127.0.0.1:{port}"))
            await self.attempts.run(CallTarget("r1", 1, PERMIT, tuple(addresses), 1e9, 0))
            failed = self.ended(TargetFailed)
            self.assertEqual((failed.target, failed.is_connection_lost), ("crashed", True))

        self.run_with([hang] * (gang_size - 1), test)

    def test_service_answer_with_another_permit_is_rejected(self) -> None:
        async def cross(request: HttpRequest, request_body: dict[str, Any]) -> None:
            await request.send_json(200, {"call": "7-2", "body": "not yours"})

        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            self.call = self.calls.open("r1", Payload(service="book", method="look", body="{}"))
            await self.attempts.run(self.effect(target))
            self.assertFalse(self.ended(TargetFailed).is_unsent)

        self.run_with([cross], test)

    def test_unexpected_exception_fails_the_attempt_and_not_the_node(self) -> None:
        async def test(nursery: trio.Nursery, target: ScriptedTarget) -> None:
            self.call.payload = None
            await self.attempts.run(self.effect(target))
            self.assertFalse(self.ended(TargetFailed).is_unsent)

        self.run_with([three_tokens], test)


class CallTests(unittest.TestCase):
    """The queue of a call is limited, and counts the tokens that it took."""

    def test_relayed_tokens_count_only_queued_frames(self) -> None:
        async def main() -> None:
            call = Call("r1", Payload())
            for number in range(MAX_PENDING_FRAMES):
                await call.send_frame(Frame("p", 1, number, "", 1, False))
            with trio.move_on_after(0.01) as scope:
                await call.send_frame(Frame("p", 1, MAX_PENDING_FRAMES, "", 1, False))
            self.assertTrue(scope.cancelled_caught)
            self.assertEqual(call.relayed_tokens, MAX_PENDING_FRAMES)

        trio.run(main)

    def test_queue_is_limited_by_the_text_of_its_frames(self) -> None:
        async def main() -> None:
            call = Call("r1", Payload())
            text = "x" * (MAX_PENDING_CHARACTERS // 2)
            for number in range(2):
                await call.send_frame(Frame("p", 1, number, text, 1, False))
            self.assertTrue(call.is_full)
            await call.take_frames()
            self.assertFalse(call.is_full)

        trio.run(main)
