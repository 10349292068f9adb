"""Gather the time lines of all nodes, merge them in causal order, and show them as text."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError

LANE_WIDTH = 30


class Event(NamedTuple):
    """One event; (`wall_ms`, `counter`) is a stamp of a hybrid logical clock."""

    wall_ms: int
    counter: int
    node: str
    kind: str
    fields: dict[str, Any]


class Gathered(NamedTuple):
    """The merged events, and the nodes that did not answer."""

    events: list[Event]
    missing: list[str]


def show(
    client: NodeClient,
    open_client: Callable[[str], NodeClient],
    wanted: dict[str, str],
    limit: int,
) -> Result[str, MarigoldarchError]:
    """Return the merged time line as text; one request is drawn in a lane for each node."""
    query = {name: text for name, text in wanted.items() if text}
    path = "/v1/operator/timeline?" + urlencode({**query, "limit": limit})
    match gather(client, open_client, path):
        case Result(tag="ok", ok=gathered):
            pass
        case Result(error=problem):
            return Error(problem)
    lines = draw(gathered.events) if wanted.get("request") else listing(gathered.events)
    lines += [f"no answer from {node}: its events are missing" for node in gathered.missing]
    return Ok("\n".join(lines))


def gather(
    client: NodeClient, open_client: Callable[[str], NodeClient], path: str
) -> Result[Gathered, RequestError]:
    """Ask a node, and through it all others, for their events."""
    match _ask(client, path):
        case Result(tag="ok", ok=first):
            pass
        case Result(error=problem):
            return Error(problem)
    answers = {}
    missing = []
    for node, address in sorted(first["nodes"].items()):
        match _ask(open_client(address), path):
            case Result(tag="ok", ok=answer):
                answers[node] = answer["events"]
            case _:
                missing.append(node)
    return Ok(Gathered(merge([first["events"], *answers.values()]), missing))


def merge(parts: list[list[list[Any]]]) -> list[Event]:
    """Return the events of several nodes in causal order, each once."""
    events = [msgspec.convert(plain, Event) for part in parts for plain in part]
    unique = {event[:4] + (str(event.fields),): event for event in events}
    return sorted(unique.values(), key=lambda event: event[:3])


def listing(events: list[Event]) -> list[str]:
    """Return one line for each event."""
    return [f"{e.wall_ms}.{e.counter:<4} {e.node:<10} {_describe(e)}" for e in events]


def draw(events: list[Event]) -> list[str]:
    """Return the events with milliseconds since the first, in one lane for each node."""
    if not events:
        return ["no events"]
    nodes = sorted({event.node for event in events})
    begin_ms = events[0].wall_ms
    lines = [" " * 12 + "".join(f"{node:<{LANE_WIDTH}}" for node in nodes).rstrip()]
    for event in events:
        lane = " " * (LANE_WIDTH * nodes.index(event.node))
        lines.append(f"{event.wall_ms - begin_ms:>8} ms {lane}{_describe(event)}")
    return lines


def _describe(event: Event) -> str:
    fields = {name: value for name, value in event.fields.items() if name != "request"}
    return " ".join([event.kind, *(f"{name}={value}" for name, value in fields.items())])


def _ask(client: NodeClient, path: str) -> Result[dict[str, Any], RequestError]:
    match client.request("GET", path):
        case Result(tag="ok", ok=answer) if answer.status == 200:
            return Ok(answer.body)
        case Result(tag="ok", ok=answer):
            return Error(RequestError(f"the node refuses: {answer.body}"))
        case Result(error=problem):
            return Error(problem)
