"""Tests of calls to targets that send bytes without end, or that break off their answers."""

from __future__ import annotations

import socket
import struct
import time
import unittest
from contextlib import suppress
from typing import TYPE_CHECKING

import trio

from marigoldarch.codec import encode_json
from marigoldarch.identifiers import PermitId, TargetAddress
from marigoldarch_node.calls import Payload
from marigoldarch_node.edge.target_client import TargetClient, TargetError
from marigoldarch_node.tests.serving.support import read_until, scripted_target

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from marigoldarch.entry.stream import Frame

LATEST_END_S = 8.0
MAX_SENT_BYTES = 48 * 1024 * 1024
"""What a scripted target sends at most, so that a failing test does not fill the machine."""

CHUNKED = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PERMIT = PermitId(7, 1)
PAYLOAD = Payload(model="m", prompt="p", max_tokens=10)


class EndlessHeadTests(unittest.TestCase):
    """One faulty target must not hold a node with what precedes the body of its answer."""

    def call(self, filler: bytes) -> None:
        """Call a target that sends a filler without end before any body; its call must end."""

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"}")
            while True:
                await stream.send_all(filler)

        async def run() -> None:
            async with scripted_target(talk) as address:
                with trio.fail_after(LATEST_END_S), self.assertRaises(TargetError):
                    await TargetClient().call_service(
                        TargetAddress("t", "i", address), PERMIT, 1, PAYLOAD
                    )

        trio.run(run)

    def test_informational_responses_without_end_end_the_call(self) -> None:
        """Guards against a target that holds the processor: httpcore passes over any number of them."""
        self.call(b"HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n" * 1000)

    def test_answer_with_many_short_fields_is_none(self) -> None:
        body = encode_json({"call": str(PERMIT), "body": "whole"})
        fields = b"a: b\r\n" * 300 + b"content-length: %d\r\n\r\n" % len(body)
        self.call(b"HTTP/1.1 200 OK\r\n" + fields + body)


class EndlessAnswersTests(unittest.TestCase):
    """One faulty target must not fill the memory or hold the processor of a node."""

    def call_endless_target(
        self, filler: bytes, call: Callable[[TargetClient, TargetAddress], Awaitable[object]]
    ) -> float:
        """Call a target that sends chunks without end; return the processor time of the failure."""

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(CHUNKED)
            data = filler * (65_536 // len(filler))
            for _ in range(MAX_SENT_BYTES // len(data)):
                await stream.send_all(data)
            await trio.sleep_forever()

        async def run() -> float:
            async with scripted_target(talk) as address:
                began_s = time.process_time()
                with trio.fail_after(LATEST_END_S), self.assertRaisesRegex(TargetError, "exceeds"):
                    await call(TargetClient(), TargetAddress("t", "i", address))
                return time.process_time() - began_s

        return trio.run(run)

    async def generate(self, client: TargetClient, address: TargetAddress) -> list[Frame]:
        """Return the frames of a stream."""
        frames = client.generate(address, PERMIT, 1, PAYLOAD, priority=0, offset=0, rank=0, size=1)
        return [frame async for frame in frames]

    async def call_service(self, client: TargetClient, address: TargetAddress) -> str:
        """Return the answer of a plain service."""
        return await client.call_service(address, PERMIT, 1, PAYLOAD)

    # Guards against a target that holds the processor with a frame, each of whose chunks was
    # searched together with all bytes before it.
    def test_incomplete_answers_share_a_bound(self) -> None:
        """Guards against many answers, each within its bound, that fill a node together."""
        kept: list[int] = []

        async def talk(stream: trio.SocketStream) -> None:
            path = await read_until(stream, b"}")
            size = 900 * 1024 if b"/generate" in path else 15 * 1024 * 1024
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n")
            await stream.send_all(b"x" * size)
            kept.append(size)
            await trio.sleep_forever()

        async def run(call: Callable[..., Awaitable[object]], calls: int) -> int:
            ended = 0

            async def call_one(client: TargetClient, address: TargetAddress) -> None:
                nonlocal ended
                with suppress(TargetError):
                    await call(client, address)
                ended += 1

            async with scripted_target(talk) as address, trio.open_nursery() as nursery:
                client = TargetClient()
                for _ in range(calls):
                    nursery.start_soon(call_one, client, TargetAddress("t", "i", address))
                with trio.move_on_after(LATEST_END_S):
                    while len(kept) + ended < calls or not ended:
                        await trio.sleep(0.01)
                nursery.cancel_scope.cancel()
            return ended

        self.assertGreater(trio.run(run, self.call_service, 6), 0)
        kept.clear()
        self.assertGreater(trio.run(run, self.generate, 60), 0)

    def test_frame_without_end_ends_the_call(self) -> None:
        filler = b"40\r\n" + b"x" * 64 + b"\r\n"
        self.assertLess(self.call_endless_target(filler, self.generate), 5.0)

    # Guards against the same with chunks of one byte, each of which costs processor time.
    def test_frame_of_tiny_chunks_without_end_ends_the_call(self) -> None:
        self.call_endless_target(b"1\r\nx\r\n", self.generate)

    def test_answer_of_tiny_chunks_without_end_ends_the_call(self) -> None:
        self.call_endless_target(b"1\r\nx\r\n", self.call_service)

    def test_answer_without_end_ends_the_call(self) -> None:
        filler = b"1000\r\n" + b"x" * 4096 + b"\r\n"
        self.call_endless_target(filler, self.call_service)


class BrokenOffAnswersTests(unittest.TestCase):
    """A part of an answer, or bytes that are no answer, must not be taken for one.

    A service's answer names its call in JSON, and a stream has a last frame, so that an answer without a
    length shows whether it is whole.
    """

    def assert_no_answer(self, answer: bytes) -> None:
        """Check a long upload to a target that answers at once, then resets the connection."""

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"\r\n\r\n")
            await stream.send_all(answer)
            await trio.sleep(0.005)
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            stream.socket.close()

        async def run() -> None:
            payload = Payload(service="desk", method="put", body="u" * 3_500_000)
            async with scripted_target(talk) as address:
                with trio.fail_after(LATEST_END_S), self.assertRaises(TargetError):
                    target = TargetAddress("t", "i", address)
                    await TargetClient().call_service(target, PERMIT, 1, payload)

        trio.run(run)

    def test_part_of_an_answer_that_is_reset_during_the_upload_is_no_answer(self) -> None:
        body = encode_json({"call": str(PERMIT), "body": "whole"})
        for length in (0, 1, len(body) - 1):
            self.assert_no_answer(b"HTTP/1.1 200 OK\r\n\r\n" + body[:length])

    def test_other_statuses_are_no_answer(self) -> None:
        body = encode_json({"call": str(PERMIT), "body": "whole"})
        for status in (b"000", b"099", b"199", b"600", b"999"):
            self.assert_no_answer(b"HTTP/1.1 " + status + b" X\r\n\r\n" + body)

    def test_stream_that_ends_without_its_last_frame_has_none(self) -> None:
        frame = {"permit": str(PERMIT), "attempt": 1, "offset": 0, "text": "a", "tokens": 1}

        async def talk(stream: trio.SocketStream) -> None:
            await read_until(stream, b"}}")
            line = encode_json(frame) + b"\n"
            await stream.send_all(b"HTTP/1.1 200 OK\r\n\r\n" + line + line[:-2])

        async def run() -> list[Frame]:
            async with scripted_target(talk) as address:
                frames = TargetClient().generate(
                    TargetAddress("t", "i", address),
                    PERMIT,
                    1,
                    PAYLOAD,
                    priority=0,
                    offset=0,
                    rank=0,
                    size=1,
                )
                return [item async for item in frames]

        self.assertEqual([item.is_end for item in trio.run(run)], [False])
