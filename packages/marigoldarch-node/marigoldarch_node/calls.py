"""Calls in progress: the channel between a target's stream and its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from marigoldarch.entry.stream import Frame
    from marigoldarch.outcomes import Outcome

FRAMES_IN_FLIGHT = 16
"""How many frames a slow caller may have outstanding before its target is held back."""

CHARACTERS_IN_FLIGHT = 1024 * 1024
"""How much text of such frames may be outstanding, apart from the last frame."""


class Payload(NamedTuple):
    """What a target needs of a call: a prompt, or the body of a plain service call."""

    model: str = ""
    adapter: str = ""
    version: str = ""
    prompt: str = ""
    max_tokens: int = 0
    service: str = ""
    method: str = ""
    body: str = ""


class Call:
    """One call: frames flow from `send` to `take`, then `outcome` is final."""

    def __init__(self, request_id: str, payload: Payload) -> None:
        self.request_id = request_id
        self.payload = payload
        self._outcome: Outcome | None = None
        self._relayed_tokens = 0
        self._frames: list[Frame] = []
        self._characters = 0
        self._is_abandoned = False
        self._readers = trio.lowlevel.ParkingLot()
        self._writers = trio.lowlevel.ParkingLot()

    @property
    def outcome(self) -> Outcome | None:
        """Return the final outcome, once there is one."""
        return self._outcome

    @property
    def relayed_tokens(self) -> int:
        """Return how many tokens of the answer have been passed on."""
        return self._relayed_tokens

    @property
    def is_full(self) -> bool:
        """Return whether the caller is behind by as much as it may be."""
        is_long = self._characters >= CHARACTERS_IN_FLIGHT
        return is_long or len(self._frames) >= FRAMES_IN_FLIGHT

    async def send(self, frame: Frame) -> None:
        """Pass a frame on; wait while the caller is behind.

        A frame is counted as relayed in the same step in which it is passed on, so that an attempt
        that is cancelled here leaves neither a gap nor a repetition to the next one.
        """
        while self.is_full and not self._is_closed:
            await self._writers.park()
        if self._is_closed:
            return
        self._frames.append(frame)
        self._characters += len(frame.text)
        self._relayed_tokens = frame.offset + frame.tokens
        self._readers.unpark_all()

    async def take(self) -> list[Frame]:
        """Return all frames that wait, at least one; none when the outcome is known."""
        while not self._frames and self._outcome is None:
            await self._readers.park()
        frames, self._frames = self._frames, []
        self._characters = 0
        self._writers.unpark_all()
        return frames

    def abandon(self) -> None:
        """Let go of the frames: nobody reads them any more."""
        self._is_abandoned = True
        self._frames.clear()
        self._writers.unpark_all()

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome and end the frames."""
        self._outcome = outcome
        self._readers.unpark_all()
        self._writers.unpark_all()

    @property
    def _is_closed(self) -> bool:
        return self._is_abandoned or self._outcome is not None


class CallTable:
    """The calls of this node by request id."""

    def __init__(self) -> None:
        self._calls: dict[str, Call] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def open(self, request_id: str, payload: Payload) -> Call:
        """Add a call."""
        call = Call(request_id, payload)
        self._calls[request_id] = call
        return call

    def find(self, request_id: str) -> Call | None:
        """Return a call that is still open."""
        return self._calls.get(request_id)

    def finish(self, request_id: str, outcome: Outcome) -> None:
        """Give a call its outcome and remove it."""
        call = self._calls.pop(request_id, None)
        if call is not None:
            call.finish(outcome)
