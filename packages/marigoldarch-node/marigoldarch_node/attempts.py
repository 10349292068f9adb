"""Attempts: run target calls and relay their streams to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from marigoldarch.effects import CallTarget
from marigoldarch.entry.stream import StreamCheck
from marigoldarch.events import Event, FirstToken, TargetAnswered, TargetFailed
from marigoldarch.exceptions import StreamError
from marigoldarch_node.edge.target_client import TargetClient, TargetError

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.clock import Clock
    from marigoldarch.identifiers import PermitId, TargetAddress
    from marigoldarch_node.calls import Call, CallTable


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

    def cancel(self, request_id: str, attempt: int) -> None:
        """Stop an attempt."""
        scope = self._scopes.get((request_id, attempt))
        if scope is not None:
            scope.cancel()

    async def run(self, effect: CallTarget) -> None:
        """Run one attempt to its end and submit what came of it."""
        call = self._calls.find(effect.request_id)
        if call is None:
            return
        key = (effect.request_id, effect.attempt)
        check = StreamCheck(str(effect.permit), effect.attempt, effect.offset)
        event: Event | None = None
        with trio.CancelScope() as scope:
            self._scopes[key] = scope
            event = await self._try(effect, call, check)
        del self._scopes[key]
        if event is None or len(effect.targets) > 1:
            await self._release_all(effect.targets, effect.permit)
        if event is not None:
            self._submit(event)

    async def _try(self, effect: CallTarget, call: Call, check: StreamCheck) -> Event:
        try:
            if call.payload.service:
                body = await self._client.call_service(
                    effect.targets[0], effect.permit, effect.attempt, call.payload
                )
                return self._answered(effect, 0, body)
            await self._relay(effect, call, check)
            return self._answered(effect, check.offset, "")
        except (TargetError, StreamError) as error:
            is_unsent = isinstance(error, TargetError) and error.is_unsent and check.offset == 0
            return TargetFailed(
                self._clock.monotonic_ms(),
                effect.request_id,
                effect.attempt,
                effect.targets[0].target,
                is_unsent and len(effect.targets) == 1,
                check.offset,
            )

    def _answered(self, effect: CallTarget, tokens: int, body: str) -> TargetAnswered:
        now_ms = self._clock.monotonic_ms()
        return TargetAnswered(now_ms, effect.request_id, effect.attempt, tokens, body)

    async def _relay(self, effect: CallTarget, call: Call, check: StreamCheck) -> None:
        if len(effect.targets) == 1:
            await self._relay_lead(effect, call, check)
            return
        failures: list[str] = []
        async with trio.open_nursery() as nursery:

            async def hold(rank: int) -> None:
                await self._hold_member(effect, call, rank)
                failures.append(effect.targets[rank].target)
                nursery.cancel_scope.cancel()

            for rank in range(1, len(effect.targets)):
                nursery.start_soon(hold, rank)
            try:
                await self._relay_lead(effect, call, check)
            except (TargetError, StreamError) as error:
                failures.append(str(error))
            nursery.cancel_scope.cancel()
        if failures and not check.is_ended:
            raise TargetError(f"the gang failed: {failures[0]}", is_unsent=False)

    async def _relay_lead(self, effect: CallTarget, call: Call, check: StreamCheck) -> None:
        is_first = True
        stream = self._client.generate(
            effect.targets[0],
            effect.permit,
            effect.attempt,
            call.payload,
            priority=effect.priority,
            offset=effect.offset,
            rank=0,
            size=len(effect.targets),
        )
        async for frame in stream:
            if not check.accept(frame):
                continue
            if is_first:
                is_first = False
                now_ms = self._clock.monotonic_ms()
                self._submit(FirstToken(now_ms, effect.request_id, effect.attempt))
            await call.send(frame)
            if check.is_ended:
                return
        raise StreamError("the stream ended without its end marker")

    async def _hold_member(self, effect: CallTarget, call: Call, rank: int) -> None:
        """Keep a gang member's share reserved; return only when the member fails."""
        stream = self._client.generate(
            effect.targets[rank],
            effect.permit,
            effect.attempt,
            call.payload,
            priority=effect.priority,
            offset=effect.offset,
            rank=rank,
            size=len(effect.targets),
        )
        try:
            async for _ in stream:
                pass
        except TargetError:
            return

    async def _release_all(self, targets: tuple[TargetAddress, ...], permit: PermitId) -> None:
        for target in targets:
            await self._client.release(target, permit)
