"""Attempts: calls to targets whose answers are relayed to callers."""

from __future__ import annotations

from contextlib import aclosing
from typing import TYPE_CHECKING, NamedTuple

import trio

from marigoldarch.effects import CallTarget
from marigoldarch.entry.stream import StreamCheck
from marigoldarch.events import Event, FirstToken, TargetAnswered, TargetFailed
from marigoldarch.exceptions import MarigoldarchError, NodeFailedError, StreamError
from marigoldarch_node.edge.target_client import TargetClient, TargetError
from marigoldarch_node.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    from marigoldarch.clock import Clock
    from marigoldarch.entry.stream import Frame
    from marigoldarch_node.calls import Call, CallTable

STREAM_END_TIMEOUT_S = 0.5
"""How long to wait for a response to end after its last frame, to reuse its connection."""

RELEASE_TIMEOUT_S = 3.0

log = get_logger("attempts")


class GangMemberError(MarigoldarchError):
    """A member of a gang failed; `rank` is its position in the gang."""

    def __init__(self, rank: int, cause: str, *, is_connection_lost: bool = False) -> None:
        super().__init__(cause)
        self.rank = rank
        self.is_connection_lost = is_connection_lost


class Attempt(NamedTuple):
    """An attempt in progress."""

    effect: CallTarget
    call: Call
    stream_check: StreamCheck


class AttemptRunner:
    """Runs attempts, each identified by its request and attempt number."""

    def __init__(
        self,
        calls: CallTable,
        client: TargetClient,
        clock: Clock,
        submit: Callable[[Event], None],
    ) -> None:
        self._calls = calls
        self._client = client
        self._clock = clock
        self._submit = submit
        self._cancel_scopes: dict[tuple[str, int], trio.CancelScope] = {}

    def __len__(self) -> int:
        return len(self._cancel_scopes)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Cancel an attempt; does nothing if it is not in progress."""
        scope = self._cancel_scopes.get((request_id, attempt))
        if scope is not None:
            scope.cancel()

    async def run(self, effect: CallTarget) -> None:
        """Run an attempt and submit the event of its answer or failure.

        The permit is released on all targets if the attempt is cancelled, fails or used a gang. A
        cancelled attempt submits no failure.
        """
        call = self._calls.find(effect.request_id)
        if call is None:
            return
        key = (effect.request_id, effect.attempt)
        offset = max(effect.offset, call.relayed_tokens)
        stream_check = StreamCheck(str(effect.permit), effect.attempt, offset)
        failure: TargetFailed | None = None
        is_cancelled = True
        with trio.CancelScope() as scope:
            self._cancel_scopes[key] = scope
            failure = await self._call_targets(Attempt(effect, call, stream_check))
            is_cancelled = False
        del self._cancel_scopes[key]
        if failure is not None:
            self._submit(failure)
        if is_cancelled or failure is not None or len(effect.targets) > 1:
            await self._release_permit(effect)

    async def _call_targets(self, attempt: Attempt) -> TargetFailed | None:
        """Call the targets; submit the answer, or return the failure event."""
        try:
            if attempt.call.payload.service:
                await self._call_service(attempt)
            elif len(attempt.effect.targets) == 1:
                await self._relay_stream(attempt)
            else:
                await self._relay_gang_stream(attempt)
        except NodeFailedError:
            raise
        except (TargetError, StreamError, GangMemberError) as error:
            return self._failure_event(attempt, error)
        except Exception as error:
            log.error("An attempt raised {}.", type(error).__name__, exc_info=True)
            return self._failure_event(attempt, error)
        return None

    def _failure_event(self, attempt: Attempt, error: Exception) -> TargetFailed:
        effect = attempt.effect
        is_single = len(effect.targets) == 1
        is_unsent = isinstance(error, TargetError) and error.is_unsent and is_single
        rank = error.rank if isinstance(error, GangMemberError) else 0
        is_call_error = isinstance(error, (TargetError, GangMemberError))
        return TargetFailed(
            self._clock.monotonic_ms(),
            effect.request_id,
            effect.attempt,
            effect.targets[rank].target,
            is_unsent,
            attempt.call.relayed_tokens,
            is_call_error and error.is_connection_lost,
        )

    def _submit_answer(self, attempt: Attempt, tokens: int, body: str) -> None:
        effect = attempt.effect
        now_ms = self._clock.monotonic_ms()
        self._submit(TargetAnswered(now_ms, effect.request_id, effect.attempt, tokens, body))

    async def _call_service(self, attempt: Attempt) -> None:
        effect = attempt.effect
        body = await self._client.call_service(
            effect.targets[0], effect.permit, effect.attempt, attempt.call.payload
        )
        self._submit_answer(attempt, 0, body)

    async def _relay_gang_stream(self, attempt: Attempt) -> None:
        """Relay the first target's stream while the other gang members hold their shares.

        Raises `GangMemberError` when any member fails before the answer is complete.
        """
        failures: list[GangMemberError] = []
        async with trio.open_nursery() as nursery:

            async def watch_member(rank: int) -> None:
                failures.append(await self._hold_gang_member(attempt, rank))
                nursery.cancel_scope.cancel()

            for rank in range(1, len(attempt.effect.targets)):
                nursery.start_soon(watch_member, rank)
            try:
                await self._relay_stream(attempt)
            except TargetError as error:
                failures.append(
                    GangMemberError(0, str(error), is_connection_lost=error.is_connection_lost)
                )
            except StreamError as error:
                failures.append(GangMemberError(0, str(error)))
            nursery.cancel_scope.cancel()
        if failures and not attempt.stream_check.is_ended:
            raise failures[0]

    async def _relay_stream(self, attempt: Attempt) -> None:
        stream_check = attempt.stream_check
        async with aclosing(self._open_stream(attempt, 0)) as stream:
            is_first = True
            async for frame in stream:
                if not stream_check.accept(frame):
                    continue
                await attempt.call.send_frame(frame)
                if is_first:
                    is_first = False
                    await self._submit_first_token(attempt)
                if stream_check.is_ended:
                    self._submit_answer(attempt, stream_check.offset, "")
                    with trio.move_on_after(STREAM_END_TIMEOUT_S):
                        await anext(stream, None)
                    return
        raise StreamError("the stream ended without its end marker")

    async def _submit_first_token(self, attempt: Attempt) -> None:
        """Submit the first-token event after the caller's task had a chance to write the frame."""
        effect = attempt.effect
        now_ms = self._clock.monotonic_ms()
        await trio.lowlevel.cancel_shielded_checkpoint()
        self._submit(FirstToken(now_ms, effect.request_id, effect.attempt))

    async def _hold_gang_member(self, attempt: Attempt, rank: int) -> GangMemberError:
        """Keep a gang member's stream open, which reserves its share, until it fails or ends."""
        try:
            async with aclosing(self._open_stream(attempt, rank)) as stream:
                async for _ in stream:
                    pass
        except TargetError as error:
            return GangMemberError(rank, str(error), is_connection_lost=error.is_connection_lost)
        return GangMemberError(rank, "a gang member ended its stream")

    def _open_stream(self, attempt: Attempt, rank: int) -> AsyncGenerator[Frame]:
        effect = attempt.effect
        return self._client.generate(
            effect.targets[rank],
            effect.permit,
            effect.attempt,
            attempt.call.payload,
            priority=effect.priority,
            offset=attempt.stream_check.offset,
            rank=rank,
            size=len(effect.targets),
        )

    async def _release_permit(self, effect: CallTarget) -> None:
        """Release the permit on all targets; the scheduler repeats releases that are lost."""
        with trio.move_on_after(RELEASE_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                for target in effect.targets:
                    nursery.start_soon(self._client.release_permit, target, effect.permit)
