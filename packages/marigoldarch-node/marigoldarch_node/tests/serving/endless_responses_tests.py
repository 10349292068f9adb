"""Tests of an entry whose target sends bytes without end."""

from __future__ import annotations

import socket
import time
import tracemalloc
import unittest
from typing import TYPE_CHECKING, NamedTuple
from unittest.mock import patch

import logbook
import trio

from marigoldarch.serving.declaration import RepeatRule
from marigoldarch.tests.serving.support import call_once, route, target
from marigoldarch_node.tests.serving.support import (
    entry,
    open_stream,
    read_until,
    scripted_target,
)

if TYPE_CHECKING:
    from marigoldarch.serving.declaration import Route

DEADLINE_MS = 12_000.0
LATEST_END_S = 8.0
MAX_SENT_BYTES = 48 * 1024 * 1024
"""What a scripted target sends at most, so that a failing test does not fill the machine."""

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
SOCKET_BUFFER_BYTES = 12 * 1024 * 1024
"""What the kernel may hold of the bytes that a target has sent, in both directions."""

SLOW_CALLERS = 8
SLOW_CALLERS_S = 3.0
MAX_STREAM_BYTES = 128 * 1024
"""What a stream may hold whose caller does not read, with the scripted target and the caller."""

POST = call_once(is_public=True, timeout_ms=DEADLINE_MS)
STREAM = route(is_public=True, attempt_limit=1, timeout_ms=DEADLINE_MS, goal_ms=DEADLINE_MS)
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
EVENTS = b"content-type: text/event-stream\r\n"


class EndlessTarget:
    """A target that sends a beginning and then a filler without end, to each request."""

    def __init__(self, beginning: bytes, filler: bytes) -> None:
        self._beginning = beginning
        self._filler = filler * max(1, 65_536 // len(filler))
        self.sent_bytes = 0

    async def talk(self, stream: trio.SocketStream) -> None:
        """Answer one request."""
        await read_until(stream, b"\r\n\r\n")
        await stream.send_all(self._beginning)
        while self.sent_bytes < MAX_SENT_BYTES:
            await stream.send_all(self._filler)
            self.sent_bytes += len(self._filler)
        await trio.sleep_forever()


class Outcome(NamedTuple):
    """The response to a caller, and what it took."""

    response: bytes
    elapsed_s: float
    processor_s: float


async def request(address: str, used: Route) -> Outcome:
    """Send a request of a route; return the outcome when the entry has closed or responded."""
    began_s, began_processor_s = time.monotonic(), time.process_time()
    stream = await open_stream(address)
    path = used.path_prefix.encode()
    await stream.send_all(
        b"GET %bx HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n\r\n" % path
    )
    parts: list[bytes] = []
    with trio.move_on_after(DEADLINE_MS / 1000.0 + 1.0):
        while data := await stream.receive_some(65_536):
            parts.append(data)
    await stream.aclose()
    return Outcome(
        b"".join(parts),
        time.monotonic() - began_s,
        time.process_time() - began_processor_s,
    )


class EndlessResponsesTests(unittest.TestCase):
    """One faulty target must not fill the memory or hold the processor of an entry."""

    def check_end(self, used: Route, beginning: bytes, filler: bytes, max_bytes: int) -> None:
        """Check that the response ends as garbled, early, and after at most `max_bytes`."""
        endless = EndlessTarget(beginning, filler)
        failures: list[str] = []

        async def run() -> Outcome:
            async with entry(used) as (state, address), scripted_target(endless.talk) as faulty:
                state.target_view.update_target("c1", target("t", address=faulty))
                with patch.object(state, "record_failure", lambda name, **_: failures.append(name)):
                    return await request(address, used)

        with logbook.TestHandler() as handler:
            outcome = trio.run(run)
        self.assertEqual(outcome.response.split(b"\r\n")[0], b"HTTP/1.1 502 ")
        self.assertLess(outcome.elapsed_s, LATEST_END_S)
        self.assertLessEqual(endless.sent_bytes, max_bytes + SOCKET_BUFFER_BYTES)
        self.assertEqual(failures, ["t"])
        lines = [item for item in handler.records if item.message == "response over a limit"]
        self.assertEqual([line.extra["target"] for line in lines], ["t"])
        self.assertEqual([line.extra["request"] for line in lines], ["r1"])
        self.assertTrue(all(line.extra["limit"] for line in lines))

    # Guards against a target that fills an entry with the headers of one response.
    def test_head_without_end_ends_the_attempt(self) -> None:
        self.check_end(POST, OK, b"x: y\r\n", 0)
        self.check_end(POST, OK + b"x: ", b"y", 0)

    # Guards against heads that take many times their bytes once they are parsed, in many responses at once.
    def test_head_of_many_short_fields_ends_the_attempt(self) -> None:
        self.check_end(POST, OK + b"a: b\r\n" * 1000 + b"content-length: 9\r\n\r\n", b"x", 0)

    # Guards against a target that holds the processor with responses that are not the final one.
    def test_informational_responses_without_end_end_the_attempt(self) -> None:
        self.check_end(POST, b"", b"HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n", 0)

    # Guards against a target that fills an entry's memory with a body that ends too late or never.
    def test_body_of_a_huge_length_ends_the_attempt(self) -> None:
        beginning = OK + b"content-length: 1000000000000\r\n\r\n"
        self.check_end(POST, beginning, b"x" * 4096, MAX_RESPONSE_BYTES)

    def test_chunked_body_without_end_ends_the_attempt(self) -> None:
        filler = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        self.check_end(POST, OK + CHUNKED, filler, MAX_RESPONSE_BYTES)

    def test_unframed_body_without_end_ends_the_attempt(self) -> None:
        self.check_end(POST, OK + b"\r\n", b"x" * 4096, MAX_RESPONSE_BYTES)

    # Guards against a target that holds the processor with a body in chunks of one byte.
    def test_body_of_tiny_chunks_without_end_ends_the_attempt(self) -> None:
        self.check_end(POST, OK + CHUNKED, b"1\r\nx\r\n", 1024 * 1024)

    # Guards against a target whose stream fills an entry with one event.
    def test_stream_without_event_ends_ends_the_attempt(self) -> None:
        beginning = OK + EVENTS + b"\r\n"
        self.check_end(STREAM, beginning, b"data: x" * 512 + b"\n", 1024 * 1024)

    def test_stream_of_tiny_chunks_without_event_ends_ends_the_attempt(self) -> None:
        self.check_end(STREAM, OK + EVENTS + CHUNKED, b"1\r\nx\r\n", 1024 * 1024)

    # Guards against a request that fails although another target would serve it.
    def test_request_is_retried_on_another_target(self) -> None:
        endless = EndlessTarget(OK + b"\r\n", b"x" * 4096)
        used = call_once(
            is_public=True,
            timeout_ms=DEADLINE_MS,
            attempt_limit=2,
            repeat_rule=RepeatRule.IDEMPOTENT,
        )

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(OK + b"content-length: 2\r\n\r\nok")

        async def run() -> list[Outcome]:
            async with (
                entry(used) as (state, address),
                scripted_target(endless.talk) as faulty,
                scripted_target(talk) as sound,
            ):
                state.target_view.update_target("c1", target("t", address=faulty))
                state.target_view.update_target("c1", target("u", address=sound))
                return [await request(address, used) for _ in range(4)]

        outcomes = trio.run(run)
        self.assertTrue(all(outcome.response.endswith(b"ok") for outcome in outcomes))
        self.assertTrue(all(outcome.elapsed_s < LATEST_END_S for outcome in outcomes))
        self.assertGreater(endless.sent_bytes, 0)

    # Guards against a target that fills an entry with many responses, each below its bound.
    def test_many_responses_of_a_target_leave_memory_to_the_others(self) -> None:
        part = b"x" * (4 * 1024 * 1024)
        body = b"y" * (8 * 1024 * 1024)

        async def stay_incomplete(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(OK + b"content-length: 5000000\r\n\r\n" + part)
            await trio.sleep_forever()

        async def serve(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(OK + b"content-length: %d\r\n\r\n" % len(body) + body)

        async def run() -> tuple[int, Outcome, int]:
            async with (
                entry(POST) as (state, address),
                scripted_target(stay_incomplete) as faulty,
                scripted_target(serve) as sound,
            ):
                state.target_view.update_target("c1", target("t", address=faulty))
                async with trio.open_nursery() as nursery:
                    for _ in range(8):
                        nursery.start_soon(request, address, POST)
                    with trio.fail_after(LATEST_END_S):
                        while not state.health.is_suspended("t", state.clock.monotonic_ms()):
                            await trio.sleep(0.01)
                    held_bytes = state.response_memory.held_bytes
                    state.target_view.update_target("c1", target("u", address=sound))
                    state.target_view.remove_target("c1", "t")
                    outcome = await request(address, POST)
                    nursery.cancel_scope.cancel()
                with trio.fail_after(LATEST_END_S):
                    while state.response_memory.held_bytes:
                        await trio.sleep(0.01)
                return held_bytes, outcome, state.response_memory.held_bytes

        held_bytes, outcome, left_bytes = trio.run(run)
        self.assertLessEqual(held_bytes, MAX_RESPONSE_BYTES)
        self.assertGreaterEqual(held_bytes, MAX_RESPONSE_BYTES // 2)
        self.assertTrue(outcome.response.endswith(body))
        self.assertEqual(left_bytes, 0)

    def test_heads_count_as_memory_of_their_target(self) -> None:
        """Guards against heads within the bound that together fill an entry, as no body follows."""
        opened = 0

        async def talk(stream: trio.SocketStream) -> None:
            nonlocal opened
            await read_until(stream, b"\r\n\r\n")
            opened += 1
            await stream.send_all(OK + b"a: b\r\n" * 200 + b"content-length: 9\r\n\r\nx")
            await trio.sleep_forever()

        async def run() -> int:
            async with entry(POST) as (state, address), scripted_target(talk) as faulty:
                state.target_view.update_target("c1", target("t", address=faulty))
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(request, address, POST)
                    while not opened:
                        await trio.sleep(0.01)
                    await trio.sleep(0.2)
                    held_bytes = state.response_heads.held_bytes
                    nursery.cancel_scope.cancel()
            return held_bytes

        self.assertGreater(trio.run(run), 200 * 100)

    def test_stream_whose_caller_does_not_read_holds_little(self) -> None:
        """Guards against many such streams of small events that fill an entry."""

        events = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 10**6))

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(OK + EVENTS + b"request-id: r1\r\n\r\n")
            await stream.send_all(events)

        async def send_and_wait(address: str) -> None:
            stream = await open_stream(address)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            path = STREAM.path_prefix.encode()
            await stream.send_all(b"GET %bx HTTP/1.1\r\nhost: desk.example\r\n\r\n" % path)
            await trio.sleep_forever()

        async def run() -> int:
            async with entry(STREAM) as (state, address), scripted_target(talk) as faulty:
                state.target_view.update_target("c1", target("t", address=faulty))
                async with trio.open_nursery() as nursery:
                    tracemalloc.start()
                    for _ in range(SLOW_CALLERS):
                        nursery.start_soon(send_and_wait, address)
                    await trio.sleep(SLOW_CALLERS_S)
                    held_bytes, _ = tracemalloc.get_traced_memory()
                    tracemalloc.stop()
                    nursery.cancel_scope.cancel()
            return held_bytes

        self.assertLess(trio.run(run), SLOW_CALLERS * MAX_STREAM_BYTES)

    # Guards against a sound target that is set aside as others have filled the entry.
    def test_full_memory_does_not_count_against_the_target(self) -> None:
        failures: list[str] = []

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(OK + b"content-length: 2\r\n\r\nok")

        async def run() -> tuple[Outcome, Outcome]:
            async with entry(POST) as (state, address), scripted_target(talk) as sound:
                state.target_view.update_target("c1", target("t", address=sound))
                responses = [state.response_memory.open("u") for _ in range(2)]
                for response in responses:
                    response.add(MAX_RESPONSE_BYTES)
                    response.complete()
                with patch.object(state, "record_failure", lambda name, **_: failures.append(name)):
                    full = await request(address, POST)
                responses[0].close()
                return full, await request(address, POST)

        full, free = trio.run(run)
        self.assertEqual(full.response.split(b"\r\n")[0], b"HTTP/1.1 502 ")
        self.assertEqual(failures, [])
        self.assertTrue(free.response.endswith(b"ok"))

    # Guards against a bound that cuts sound responses.
    def test_large_body_under_the_bound_arrives_unchanged(self) -> None:
        body = bytes(range(256)) * (MAX_RESPONSE_BYTES // 256)

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(OK + b"content-length: %d\r\n\r\n" % len(body) + body)
            await trio.sleep_forever()

        async def run() -> Outcome:
            async with entry(POST) as (state, address), scripted_target(talk) as sound:
                state.target_view.update_target("c1", target("t", address=sound))
                return await request(address, POST)

        self.assertTrue(trio.run(run).response.endswith(b"\r\n\r\n" + body))

    def test_stream_of_any_length_arrives_complete(self) -> None:
        event = b"data: " + b"x" * 1000 + b"\n\n"
        count = 2 * MAX_RESPONSE_BYTES // len(event)

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            length = b"content-length: %d\r\n\r\n" % (count * len(event))
            await stream.send_all(OK + EVENTS + length + event * count)
            await trio.sleep_forever()

        async def run() -> Outcome:
            async with entry(STREAM) as (state, address), scripted_target(talk) as sound:
                state.target_view.update_target("c1", target("t", address=sound))
                return await request(address, STREAM)

        response = trio.run(run).response
        self.assertEqual(response.count(event), count)
        self.assertTrue(response.endswith(b"0\r\n\r\n"))
