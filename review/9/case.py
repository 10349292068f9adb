"""A replica leaves, and many processes are killed at the moment at which that is acknowledged."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER))

from standins import (  # noqa: E402
    BOUNDS,
    GRADEBOOK,
    KEY,
    CannotRunError,
    Platform,
    Record,
    Replica,
    begin,
    call,
    call_control,
    configuration,
    main,
    route,
    wait_ready,
)

RESTART_S = 0.4  # all processes are back within a second
ENTRIES = 5
KILLED_ENTRIES = 3  # `herd_kill`: share (.6); of the core all are killed
SERVES_ON_S = 14.0  # drain_ms after the acknowledgement and a little longer, at times many seconds
REQUESTS = 20


async def case(record: Record, has_trouble: bool) -> bool:
    """Return whether no request reaches the replica after `drain_ms`, from machines in touch."""
    platform = Platform(record, entries=ENTRIES)
    try:
        replicas = [
            Replica(platform, record, f"i-desk-{n}", "gradebook", platform.zones[n], 6)
            for n in range(3)
        ]
        declared = configuration([route("status", "idempotent", "gradebook", 3000, 400)], [GRADEBOOK])
        await begin(platform, replicas, declared)
        await send(platform, record, "before")
        leaving = replicas[0]
        if not leaving.arrivals:
            raise CannotRunError("the replica that leaves has served nothing before")
        # It never reports that it drains: it sends DELETE first and serves on.
        leaving.is_checking_in = False
        leaving.says_leaving = True
        answer = await call_control(platform, "DELETE", f"/-/instances/{leaving.ident}")
        acknowledged_s = time.monotonic()
        if answer is None or answer.status != 200:
            raise CannotRunError("the DELETE was not acknowledged")
        killed = [*platform.controls, *platform.entries[:KILLED_ENTRIES]]
        if has_trouble:
            platform.kill_at_once(killed)
        record.line(f"replica {leaving.ident}: DELETE acknowledged")
        if has_trouble:
            await asyncio.sleep(RESTART_S)
            for machine in killed:
                platform.start(machine)
        started_s = time.monotonic()
        await wait_ready(platform)
        # All machines are in touch from here on.
        in_touch_s = started_s + BOUNDS["stable_window_ms"] / 1000.0 + 0.8
        await asyncio.sleep(max(0.0, in_touch_s - time.monotonic()))
        sent_s = time.monotonic()
        arrived_before = len(leaving.arrivals)
        await send(platform, record, "after")
        late = leaving.arrivals[arrived_before:]
        record.line(
            f"sent {sent_s - acknowledged_s:.1f} s after the acknowledgement and "
            f"{sent_s - started_s:.1f} s after the last start: {len(late)} requests reached the "
            f"replica that has left; drain_ms is {BOUNDS['drain_ms']}"
        )
        await asyncio.sleep(max(0.0, acknowledged_s + SERVES_ON_S - time.monotonic()))
        for replica in replicas:
            await replica.stop()
        is_late = sent_s - acknowledged_s > BOUNDS["drain_ms"] / 1000.0
        return not (late and is_late)
    finally:
        platform.stop()


async def send(platform: Platform, record: Record, label: str) -> None:
    """Send requests to the entries at the same time, and record the answers."""

    async def send_one(number: int) -> None:
        entry = platform.entries[number % len(platform.entries)]
        headers = {
            "Request-Id": f"{label}-{number}",
            "Request-Deadline": "3000",
            "Authorization": f"Bearer {KEY}",
        }
        record.line(f"client: {label}-{number} sent to {entry.name}")
        answer = await call(platform.address(entry), "GET", "/status/x", headers)
        status = answer.status if answer is not None else "no answer"
        record.line(f"client: {label}-{number} gets {status}")

    await asyncio.gather(*(send_one(number) for number in range(REQUESTS)))


if __name__ == "__main__":
    main(FOLDER, case)
