"""A replica that leaves is gone two seconds after its notice, in the middle of a stream without a length."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.dont_write_bytecode = True
sys.path.insert(0, str(FOLDER))

from standins import (  # noqa: E402
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
    event,
    events_of,
    main,
    route,
    send_stream,
)

EVENTS = 38  # of the kind `quiz`
EVENT_GAP_S = 0.2  # within the pause of 250 ms
# `scale_in`, "spot": a share of .147 at most, gone 2 s after the notice; another one comes 4 s later.
REPLICAS = 7
NOTICE_S = 2.0
SUCCESSOR_S = 4.0
# `garble`, "unframed": at most 5 in 100 answers have no length. The stand-in does not spoil them.
UNFRAMED = 4
QUICK_STREAMS = 84
LONG_STREAMS = 14
LATER_STREAMS = 32
QUICK_GAP_S = 0.002


class StreamReplica(Replica):
    """A replica that streams; the first `unframed_left` long streams have no length and end with their connection."""

    unframed_left = 0

    async def run(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        """Stream the answer, quickly to a request of the path `/quiz/quick`."""
        last = int(request.header("last-event-id") or 0)
        is_quick = request.path.endswith("/quick")
        gap_s = QUICK_GAP_S if is_quick else EVENT_GAP_S
        if is_quick or self.unframed_left == 0:
            await send_stream(writer, self.signed(request), last + 1, EVENTS, gap_s)
            return True
        self.unframed_left -= 1
        self.record.line(f"replica {self.ident}: {request.header('request-id')} without a length")
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in self.signed(request).items()]
        writer.write("\r\n".join([*lines, "", ""]).encode())
        for number in range(last + 1, EVENTS + 1):
            writer.write(event(number))
            await writer.drain()
            await asyncio.sleep(gap_s)
        return False


def child_main(fields: dict) -> None:
    """Run a replica until the process is killed; a line on standard input tells it that it leaves."""

    class Place:
        """What a replica needs of the platform."""

        port = fields["port"]
        controls = fields["controls"]

        @staticmethod
        def replica_ip() -> str:
            return fields["ip"]

        @staticmethod
        def address(control: str) -> str:
            return control

    class Output:
        """Prints the lines of the record."""

        @staticmethod
        def line(text: str) -> None:
            print(text, flush=True)

    async def run() -> None:
        replica = StreamReplica(Place(), Output(), fields["ident"], "coach-models", fields["zone"])
        replica.unframed_left = UNFRAMED
        await replica.start()
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(None, sys.stdin.readline)
        replica.says_leaving = True
        replica.state = "draining"
        print(f"replica {replica.ident}: leaves", flush=True)
        await asyncio.sleep(3600)

    asyncio.run(run())


async def case(record: Record, has_trouble: bool) -> bool:
    """Return whether no stream ends as complete before its last event."""
    platform = Platform(record, entries=1)
    child: subprocess.Popen[str] | None = None
    try:
        fields = {
            "ident": "i-engine-spot",
            "zone": platform.zones[0],
            "ip": platform.replica_ip(),
            "port": platform.port,
            "controls": [platform.address(machine) for machine in platform.controls],
        }
        child = subprocess.Popen(
            [sys.executable, str(Path(__file__).resolve()), json.dumps(fields)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        os.set_blocking(child.stdout.fileno(), False)
        others = [
            StreamReplica(platform, record, f"i-engine-{n}", "coach-models", platform.zones[n % 3])
            for n in range(REPLICAS - 1)
        ]
        routes = [route("quiz", "streaming", "coach-models", 10000, 300, gap_target_ms=250)]
        await begin(platform, others, configuration(routes, [ENGINES]))
        entry = platform.entries[0]

        async def ask(request_id: str, path: str = "/quiz/x") -> Message | None:
            """Send a stream request."""
            headers = {
                "Request-Id": request_id,
                "Model": "m",
                "Token-Count": "5000,1292",
                "Prompt-Prefix": f"ab:40,{request_id}:4960",
                "Request-Deadline": "10000",
                "Authorization": f"Bearer {KEY}",
            }
            record.line(f"client: {request_id} sent")
            return await call(platform.address(entry), "POST", path, headers, b"prompt")

        quick: list[Message | None] = []
        for number in range(QUICK_STREAMS // LONG_STREAMS):
            names = [f"q{number:x}{item:02x}" for item in range(LONG_STREAMS)]
            quick += await asyncio.gather(*(ask(name, "/quiz/quick") for name in names))
        first = [asyncio.create_task(ask(f"d{number:03x}")) for number in range(LONG_STREAMS)]
        await asyncio.sleep(1.0)
        # The replica leaves: it says so in its answers at once, and with its next check-in.
        child.stdin.write("leave\n")
        child.stdin.flush()
        notice_s = time.monotonic()
        later = [f"e{number:03x}" for number in range(LATER_STREAMS)]
        more = [asyncio.create_task(ask(name, "/quiz/quick")) for name in later]
        await asyncio.sleep(max(0.0, notice_s + NOTICE_S - time.monotonic()))
        if has_trouble:
            child.send_signal(signal.SIGKILL)
            child.wait()
            record.line("replica i-engine-spot: killed")
        await asyncio.sleep(max(0.0, notice_s + NOTICE_S + SUCCESSOR_S - time.monotonic()))
        successor = StreamReplica(
            platform, record, "i-engine-successor", "coach-models", platform.zones[0]
        )
        others.append(successor)
        await successor.start()
        answers = [*quick, *await asyncio.gather(*first, *more)]
        for text in child.stdout.read().splitlines():
            record.line(f"(told later) {text}")
        broken = 0
        for number, answer in enumerate(answers):
            if answer is None:
                record.line(f"client: request {number} has no answer")
                continue
            ids = events_of(answer.body)
            signature = answer.header("server-signature")
            is_short = answer.status == 200 and answer.is_whole and ids != list(range(1, EVENTS + 1))
            broken += is_short
            record.line(
                f"client: {signature} {answer.status}, ends as complete: {answer.is_whole}, "
                f"events 1 to {ids[-1] if ids else 0} of {EVENTS}{', BROKEN' if is_short else ''}"
            )
        if not any(a is not None and "spot" in a.header("server-signature") for a in answers):
            raise CannotRunError("the replica that leaves has run nothing")
        for replica in others:
            await replica.stop()
        return broken == 0
    finally:
        if child is not None:
            child.kill()
            child.wait()
        platform.stop()


if __name__ == "__main__":
    if len(sys.argv) > 1:
        child_main(json.loads(sys.argv[1]))
    else:
        main(FOLDER, case)
