"""Replicas leave a share of the orders unanswered, and carry them out seconds later."""

from __future__ import annotations

import asyncio
import random
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "lib-2"))

from standins import (  # noqa: E402
    BOUNDS,
    ENGINES,
    KEY,
    CannotRunError,
    Message,
    Platform,
    Record,
    Replica,
    begin,
    call,
    configuration,
    main,
    route,
    send_stream,
)

REPLICAS = 60
PROMPTS = 28
PROMPT_TOKENS = 400_000  # more than the memory of one engine; the largest prompts have a million
READING_S = 1.0
EVENTS = 24
EVENT_GAP_S = 0.5
LATE_SHARE = 0.35  # the site's `applied_late`: x = 0.35, for_s = 5.5; twice, one after the other
LATE_FOR_S = 11.0
LATE_S = (2.0, 12.0)  # when such orders are carried out
MIN_STRETCH_S = 2.0  # the rule counts stretches of two seconds or more
GOAL_MS = 15000


@dataclass
class Ticket:
    """Memory set aside at one replica, by one id: the spans of time, and when its last request ended."""

    until_s: float = 0.0
    spans: list[list[float]] = field(default_factory=list)
    used_until_s: float = 0.0

    def hold(self, now_s: float, hold_s: float) -> None:
        """Reserve or renew; the time runs from the arrival of the order."""
        if self.spans and now_s <= self.until_s:
            self.spans[-1][1] = max(self.spans[-1][1], now_s + hold_s)
        else:
            self.spans.append([now_s, now_s + hold_s])
        self.until_s = max(self.until_s, now_s + hold_s)

    def release(self, now_s: float) -> None:
        """End the reservation."""
        if self.spans and now_s < self.until_s:
            self.spans[-1][1] = now_s
        self.until_s = min(self.until_s, now_s)

    def stays(self) -> bool:
        """Return whether it stays set aside, without a gap, from the last request's end past `free_ms`."""
        limit_s = self.used_until_s + BOUNDS["free_ms"] / 1000.0
        return any(begun <= self.used_until_s and end > limit_s for begun, end in self.spans)

    def returns(self) -> bool:
        """Return whether it is set aside for `MIN_STRETCH_S` in a row, all of it past `free_ms`."""
        limit_s = self.used_until_s + BOUNDS["free_ms"] / 1000.0
        return any(end - max(begun, limit_s) >= MIN_STRETCH_S for begun, end in self.spans)


class Engine(Replica):
    """A replica that sets memory aside; while `late_share` is not 0 it carries out orders late."""

    late_share = 0.0
    rng = random.Random()

    def __post_init__(self) -> None:
        super().__post_init__()
        self.tickets: dict[str, Ticket] = {}
        self.by_address: dict[str, Engine] = {}

    async def order(self, fields: dict, writer: asyncio.StreamWriter) -> bool:
        """Carry out an order now, or leave it without an answer and carry it out later."""
        if self.rng.random() < self.late_share:
            delay_s = self.rng.uniform(*LATE_S)
            self.record.line(
                f"replica {self.ident}: {fields['op']} {fields['id']} gets no answer, "
                f"carried out in {delay_s:.1f} s"
            )
            self._tasks.append(asyncio.create_task(self._apply_late(fields, delay_s)))
            await asyncio.sleep(LATE_S[1])
            return False
        self._apply(fields, "")
        await self.respond(writer, 200, {"Content-Type": "application/json"}, b'{"free":100000}')
        return True

    async def _apply_late(self, fields: dict, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        self._apply(fields, ", late")

    def _apply(self, fields: dict, note: str) -> None:
        now_s = time.monotonic()
        ticket = self.tickets.setdefault(fields["id"], Ticket())
        if fields["op"] == "reserve":
            ticket.hold(now_s, fields["hold_ms"] / 1000.0)
        else:
            ticket.release(now_s)
        self.record.line(f"replica {self.ident}: {fields['op']} {fields['id']} carried out{note}")

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Read the prompt with the helpers, and stream the answer."""
        request_id = request.header("request-id")
        helpers = [item.strip() for item in request.header("helpers").split(",") if item.strip()]
        self.record.line(f"replica {self.ident}: {request_id} runs with helpers {helpers}")
        tickets = []
        for helper in helpers:
            address, _, ident = helper.partition("/")
            ticket = self.by_address[address].tickets.get(ident)
            if ident and (ticket is None or ticket.until_s < time.monotonic()):
                await self.respond(writer, 503, {"Not-Executed": "1", "Request-Id": request_id})
                return True
            if ident:
                tickets.append(ticket)
        stream = asyncio.create_task(self._stream(request, writer))
        try:
            while not stream.done():
                await asyncio.sleep(0.02)
                if any(ticket.until_s < time.monotonic() for ticket in tickets):
                    self.record.line(f"replica {self.ident}: the memory of {request_id} has expired")
                    stream.cancel()
                    return False
            await stream
        finally:
            stream.cancel()
            for ticket in tickets:
                ticket.used_until_s = time.monotonic()
            self.record.line(f"replica {self.ident}: {request_id} has ended")
        return True

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(READING_S)
        last = int(request.header("last-event-id") or 0)
        await send_stream(writer, self.signed(request), last + 1, EVENTS, EVENT_GAP_S)


async def case(record: Record, has_trouble: bool) -> bool:
    """Return whether all memory is free `free_ms` after the last request that used it."""
    platform = Platform(record, entries=2)
    Engine.rng = random.Random()
    try:
        replicas = [
            Engine(platform, record, f"i-engine-{n}", "coach-models", platform.zones[n % 3])
            for n in range(REPLICAS)
        ]
        by_address = {replica.address: replica for replica in replicas}
        for replica in replicas:
            replica.by_address = by_address
        routes = [route("binder", "streaming", "coach-models", 25000, GOAL_MS)]
        await begin(platform, replicas, configuration(routes, [ENGINES]))

        async def ask(number: int) -> None:
            """Send a long prompt, and record its answer."""
            request_id = f"b{number:03x}"
            headers = {
                "Request-Id": request_id,
                "Model": "m",
                "Token-Count": f"{PROMPT_TOKENS},600",
                "Prompt-Prefix": f"ab:40,{request_id}:{PROMPT_TOKENS - 40}",
                "Request-Deadline": "25000",
                "Authorization": f"Bearer {KEY}",
            }
            entry = platform.entries[number % len(platform.entries)]
            record.line(f"client: {request_id} sent to {entry.name}")
            answer = await call(platform.address(entry), "POST", "/binder/x", headers, b"prompt")
            status = answer.status if answer is not None else "no answer"
            is_whole = answer is not None and answer.is_whole
            record.line(f"client: {request_id} gets {status}, whole: {is_whole}")

        asked = asyncio.gather(*(ask(number) for number in range(PROMPTS)))
        # The disturbance begins in the middle of the streams.
        await asyncio.sleep(READING_S + EVENTS * EVENT_GAP_S - LATE_FOR_S + 0.5)
        if has_trouble:
            record.line(f"trouble: {LATE_SHARE} of the orders are carried out late from now on")
            Engine.late_share = LATE_SHARE
        await asyncio.sleep(LATE_FOR_S)
        Engine.late_share = 0.0
        record.line("trouble: orders are carried out at once again")
        await asked
        await asyncio.sleep(LATE_S[1] + 3.0)
        used = [
            (replica, ident, ticket)
            for replica in replicas
            for ident, ticket in replica.tickets.items()
            if ticket.used_until_s
        ]
        if not used:
            raise CannotRunError("no request has used memory that was set aside")
        staying = returning = 0
        for replica, ident, ticket in used:
            spans = [
                (round(begun - ticket.used_until_s, 2), round(end - ticket.used_until_s, 2))
                for begun, end in ticket.spans
            ]
            staying += ticket.stays()
            returning += ticket.returns()
            record.line(
                f"replica {replica.ident}: ticket {ident} set aside in {spans}, in s from the end of "
                f"its last request{', STAYS' if ticket.stays() else ''}"
            )
        record.line(
            f"of {len(used)} tickets {staying} stayed set aside past free_ms without a gap; {returning} "
            f"were set aside for {MIN_STRETCH_S} s in a row later than that, which is not judged"
        )
        for replica in replicas:
            await replica.stop()
        return staying == 0
    finally:
        platform.stop()


if __name__ == "__main__":
    main(FOLDER, case)
