"""Attempts: run target calls and relay their streams to callers."""

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

STREAM_END_S = 0.5
"""How long the end of an answered stream is awaited, so that its connection can be used again."""

RELEASE_LIMIT_S = 3.0

log = get_logger("attempts")


class MemberFailedError(MarigoldarchError):
    """One target of a gang failed."""

    def __init__(self, rank: int, cause: str) -> None:
        super().__init__(cause)
        self.rank = rank


class Attempt(NamedTuple):
    """One attempt in progress."""

    effect: CallTarget
    call: Call
    check: StreamCheck


class Attempts:
    """The target calls in progress, by request and attempt."""

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
        self._scopes: dict[tuple[str, int], trio.CancelScope] = {}

    def __len__(self) -> int:
        return len(self._scopes)

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt."""
        scope = self._scopes.get((request_id, attempt))
        if scope is not None:
            scope.cancel()

    async def run(self, effect: CallTarget) -> None:
        """Run one attempt to its end and submit what came of it.

        An attempt that does not end with its answer is cancelled at its targets.
        """
        call = self._calls.find(effect.request_id)
        if call is None:
            return
        key = (effect.request_id, effect.attempt)
        offset = max(effect.offset, call.relayed_tokens)
        check = StreamCheck(str(effect.permit), effect.attempt, offset)
        failure: TargetFailed | None = None
        is_cancelled = True
        with trio.CancelScope() as scope:
            self._scopes[key] = scope
            failure = await self._try(Attempt(effect, call, check))
            is_cancelled = False
        del self._scopes[key]
        if failure is not None:
            self._submit(failure)
        if is_cancelled or failure is not None or len(effect.targets) > 1:
            await self._release_all(effect)

    async def _try(self, attempt: Attempt) -> TargetFailed | None:
        """Submit the answer, or return the failure."""
        try:
            if attempt.call.payload.service:
                await self._call_service(attempt)
            elif len(attempt.effect.targets) == 1:
                await self._relay(attempt)
            else:
                await self._relay_gang(attempt)
        except NodeFailedError:
            raise
        except (TargetError, StreamError, MemberFailedError) as error:
            return self._failed(attempt, error)
        except Exception as error:
            log.error("An attempt failed with {}.", type(error).__name__, exc_info=True)
            return self._failed(attempt, error)
        return None

    def _failed(self, attempt: Attempt, error: Exception) -> TargetFailed:
        effect = attempt.effect
        is_single = len(effect.targets) == 1
        is_unsent = isinstance(error, TargetError) and error.is_unsent and is_single
        rank = error.rank if isinstance(error, MemberFailedError) else 0
        return TargetFailed(
            self._clock.monotonic_ms(),
            effect.request_id,
            effect.attempt,
            effect.targets[rank].target,
            is_unsent,
            attempt.call.relayed_tokens,
        )

    def _answered(self, attempt: Attempt, tokens: int, body: str) -> None:
        effect = attempt.effect
        now_ms = self._clock.monotonic_ms()
        self._submit(TargetAnswered(now_ms, effect.request_id, effect.attempt, tokens, body))

    async def _call_service(self, attempt: Attempt) -> None:
        effect = attempt.effect
        body = await self._client.call_service(
            effect.targets[0], effect.permit, effect.attempt, attempt.call.payload
        )
        self._answered(attempt, 0, body)

    async def _relay_gang(self, attempt: Attempt) -> None:
        """Relay the first target's stream while the others hold their shares."""
        failures: list[MemberFailedError] = []
        async with trio.open_nursery() as nursery:

            async def hold(rank: int) -> None:
                failures.append(await self._hold_member(attempt, rank))
                nursery.cancel_scope.cancel()

            for rank in range(1, len(attempt.effect.targets)):
                nursery.start_soon(hold, rank)
            try:
                await self._relay(attempt)
            except (TargetError, StreamError) as error:
                failures.append(MemberFailedError(0, str(error)))
            nursery.cancel_scope.cancel()
        if failures and not attempt.check.is_ended:
            raise failures[0]

    async def _relay(self, attempt: Attempt) -> None:
        check = attempt.check
        async with aclosing(self._generate(attempt, 0)) as stream:
            is_first = True
            async for frame in stream:
                if not check.accept(frame):
                    continue
                await attempt.call.send(frame)
                if is_first:
                    is_first = False
                    await self._first_token(attempt)
                if check.is_ended:
                    self._answered(attempt, check.offset, "")
                    with trio.move_on_after(STREAM_END_S):
                        await anext(stream, None)
                    return
        raise StreamError("the stream ended without its end marker")

    async def _first_token(self, attempt: Attempt) -> None:
        """Let the caller's task write the first frame, then tell the core of it."""
        effect = attempt.effect
        now_ms = self._clock.monotonic_ms()
        await trio.lowlevel.cancel_shielded_checkpoint()
        self._submit(FirstToken(now_ms, effect.request_id, effect.attempt))

    async def _hold_member(self, attempt: Attempt, rank: int) -> MemberFailedError:
        """Keep a gang member's share reserved; return only when the member fails."""
        try:
            async with aclosing(self._generate(attempt, rank)) as stream:
                async for _ in stream:
                    pass
        except TargetError as error:
            return MemberFailedError(rank, str(error))
        return MemberFailedError(rank, "the member ended its stream")

    def _generate(self, attempt: Attempt, rank: int) -> AsyncGenerator[Frame]:
        effect = attempt.effect
        return self._client.generate(
            effect.targets[rank],
            effect.permit,
            effect.attempt,
            attempt.call.payload,
            priority=effect.priority,
            offset=attempt.check.offset,
            rank=rank,
            size=len(effect.targets),
        )

    async def _release_all(self, effect: CallTarget) -> None:
        """Tell all targets that the permit has ended; the scheduler repeats what gets lost."""
        with trio.move_on_after(RELEASE_LIMIT_S):
            async with trio.open_nursery() as nursery:
                for target in effect.targets:
                    nursery.start_soon(self._client.release, target, effect.permit)
