"""Calls in progress: the channel between a target's stream and its caller."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import trio

if TYPE_CHECKING:
    from marigoldarch.entry.stream import Frame
    from marigoldarch.outcomes import Outcome

FRAMES_IN_FLIGHT = 16
"""How many frames a slow caller may have outstanding before its target is held back."""


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


def _open_frames() -> tuple[trio.MemorySendChannel[Frame], trio.MemoryReceiveChannel[Frame]]:
    return trio.open_memory_channel(FRAMES_IN_FLIGHT)


class Call:
    """One call: frames flow from `send` to `frames`, then `outcome` is final."""

    def __init__(self, request_id: str, payload: Payload) -> None:
        self.request_id = request_id
        self.payload = payload
        self._outcome: Outcome | None = None
        self._sender, self._receiver = _open_frames()

    @property
    def outcome(self) -> Outcome | None:
        """Return the final outcome, once there is one."""
        return self._outcome

    @property
    def frames(self) -> trio.MemoryReceiveChannel[Frame]:
        """Return the frames; the channel ends when the outcome is known."""
        return self._receiver

    async def send(self, frame: Frame) -> None:
        """Pass a frame on; wait while the caller is behind."""
        try:
            await self._sender.send(frame)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return

    def abandon(self) -> None:
        """Let go of the frames: nobody reads them any more."""
        self._receiver.close()

    def finish(self, outcome: Outcome) -> None:
        """Set the outcome and end the frames."""
        self._outcome = outcome
        self._sender.close()


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
