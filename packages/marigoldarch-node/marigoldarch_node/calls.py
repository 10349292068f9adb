"""Calls in progress: bounded queues of frames between target streams and callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from marigoldarch.entry.stream import Frame
    from marigoldarch.outcomes import Outcome

MAX_PENDING_FRAMES = 16
"""How many unread frames a call queues before its target's stream is paused."""

MAX_PENDING_CHARACTERS = 1024 * 1024
"""How many characters of text a call queues before the stream is paused.

The last queued frame may exceed it.
"""


class Payload(NamedTuple):
    """The input of a call for its target: a prompt, or the body of a plain service call."""

    model: str = ""
    adapter: str = ""
    version: str = ""
    prompt: str = ""
    max_tokens: int = 0
    service: str = ""
    method: str = ""
    body: str = ""


class Call:
    """A call in progress.

    `send_frame` queues frames, `take_frames` returns them to the caller's task, and `outcome` is
    set once at the end.
    """

    def __init__(self, request_id: str, payload: Payload) -> None:
        self.request_id = request_id
        self.payload = payload
        self._outcome: Outcome | None = None
        self._relayed_tokens = 0
        self._pending_frames: list[Frame] = []
        self._pending_characters = 0
        self._is_abandoned = False
        self._readers = trio.lowlevel.ParkingLot()
        self._writers = trio.lowlevel.ParkingLot()

    @property
    def outcome(self) -> Outcome | None:
        """Return the final outcome, or None while the call is in progress."""
        return self._outcome

    @property
    def relayed_tokens(self) -> int:
        """Return how many tokens of the answer were queued for the caller."""
        return self._relayed_tokens

    @property
    def is_full(self) -> bool:
        """Return whether the queue has reached its limit of frames or characters."""
        has_long_text = self._pending_characters >= MAX_PENDING_CHARACTERS
        return has_long_text or len(self._pending_frames) >= MAX_PENDING_FRAMES

    async def send_frame(self, frame: Frame) -> None:
        """Queue a frame; wait while the queue is full.

        Frames sent after the call has an outcome or is abandoned are dropped. A frame is queued and
        counted as relayed without a checkpoint in between, so that the next attempt neither skips
        nor repeats tokens when this one is cancelled here.
        """
        while self.is_full and not self._is_closed:
            await self._writers.park()
        if self._is_closed:
            return
        self._pending_frames.append(frame)
        self._pending_characters += len(frame.text)
        self._relayed_tokens = frame.offset + frame.tokens
        self._readers.unpark_all()

    async def take_frames(self) -> list[Frame]:
        """Wait for frames and return all that are queued.

        Returns an empty list once the outcome is set and the queue is empty.
        """
        while not self._pending_frames and self._outcome is None:
            await self._readers.park()
        frames, self._pending_frames = self._pending_frames, []
        self._pending_characters = 0
        self._writers.unpark_all()
        return frames

    def abandon(self) -> None:
        """Drop all queued and future frames, as no reader is left."""
        self._is_abandoned = True
        self._pending_frames.clear()
        self._writers.unpark_all()

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome; later frames are dropped."""
        self._outcome = outcome
        self._readers.unpark_all()
        self._writers.unpark_all()

    @property
    def _is_closed(self) -> bool:
        return self._is_abandoned or self._outcome is not None


class CallTable:
    """The calls in progress on this node, by request id."""

    def __init__(self) -> None:
        self._calls: dict[str, Call] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, request_id: str, payload: Payload) -> Call:
        """Add a call and return it."""
        call = Call(request_id, payload)
        self._calls[request_id] = call
        return call

    def find(self, request_id: str) -> Call | None:
        """Return a call in progress, or None."""
        return self._calls.get(request_id)

    def finish(self, request_id: str, outcome: Outcome) -> None:
        """Set the outcome of a call and remove the call; does nothing for an unknown one."""
        call = self._calls.pop(request_id, None)
        if call is not None:
            call.finish(outcome)
