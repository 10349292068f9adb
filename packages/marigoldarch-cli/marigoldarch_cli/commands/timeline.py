"""Fetch the time lines of all nodes, merge them in causal order, and format them as text."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import urlencode

import msgspec
from expression import Error, Ok, Result

from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError

LANE_WIDTH_CHARS = 30


class Event(NamedTuple):
    """One event; (`wall_ms`, `counter`) is a timestamp of a hybrid logical clock."""

    wall_ms: int
    counter: int
    node: str
    kind: str
    fields: dict[str, Any]


class MergedTimeline(NamedTuple):
    """The merged events, and the names of the nodes whose events could not be fetched."""

    events: list[Event]
    missing_nodes: list[str]


def render(
    client: NodeClient,
    open_client: Callable[[str], NodeClient],
    filters: dict[str, str],
    limit: int,
) -> Result[str, MarigoldarchError]:
    """Return the merged time line as text.

    Empty `filters` are left out of the query. Filtered by a request, the events are shown in one
    lane per node, otherwise as a list. `limit` holds for each node.
    """
    query = {name: text for name, text in filters.items() if text}
    path = "/v1/operator/timeline?" + urlencode({**query, "limit": limit})
    match fetch_timeline(client, open_client, path):
        case Result(tag="ok", ok=timeline):
            pass
        case Result(error=error):
            return Error(error)
    lines = (
        format_lanes(timeline.events) if filters.get("request") else format_list(timeline.events)
    )
    lines += [f"no answer from {node}: its events are missing" for node in timeline.missing_nodes]
    return Ok("\n".join(lines))


def fetch_timeline(
    client: NodeClient, open_client: Callable[[str], NodeClient], path: str
) -> Result[MergedTimeline, RequestError]:
    """Fetch the events of the client's node, and of all nodes whose addresses it returns."""
    match _get_body(client, path):
        case Result(tag="ok", ok=first_body):
            pass
        case Result(error=error):
            return Error(error)
    events_by_node = {}
    missing_nodes = []
    for node, address in sorted(first_body["nodes"].items()):
        match _get_body(open_client(address), path):
            case Result(tag="ok", ok=body):
                events_by_node[node] = body["events"]
            case _:
                missing_nodes.append(node)
    return Ok(
        MergedTimeline(
            merge_events([first_body["events"], *events_by_node.values()]), missing_nodes
        )
    )


def merge_events(event_lists: list[list[list[Any]]]) -> list[Event]:
    """Return the events of several nodes in causal order, each once.

    The first node may also be among the nodes that it returns, so that its events come twice.
    """
    events = [msgspec.convert(plain, Event) for event_list in event_lists for plain in event_list]
    # Fields are compared as text, as a dict cannot be hashed.
    unique = {event[:4] + (str(event.fields),): event for event in events}
    return sorted(unique.values(), key=lambda event: event[:3])


def format_list(events: list[Event]) -> list[str]:
    """Return one line for each event."""
    return [f"{e.wall_ms}.{e.counter:<4} {e.node:<10} {_format_event(e)}" for e in events]


def format_lanes(events: list[Event]) -> list[str]:
    """Return a line for each event: milliseconds since the first, and the event in its node's lane.

    The first line names the nodes above their lanes.
    """
    if not events:
        return ["no events"]
    nodes = sorted({event.node for event in events})
    first_ms = events[0].wall_ms
    lines = [" " * 12 + "".join(f"{node:<{LANE_WIDTH_CHARS}}" for node in nodes).rstrip()]
    for event in events:
        indent = " " * (LANE_WIDTH_CHARS * nodes.index(event.node))
        lines.append(f"{event.wall_ms - first_ms:>8} ms {indent}{_format_event(event)}")
    return lines


def _format_event(event: Event) -> str:
    fields = {name: value for name, value in event.fields.items() if name != "request"}
    return " ".join([event.kind, *(f"{name}={value}" for name, value in fields.items())])


def _get_body(client: NodeClient, path: str) -> Result[dict[str, Any], RequestError]:
    match client.request("GET", path):
        case Result(tag="ok", ok=response) if response.status == 200:
            return Ok(response.body)
        case Result(tag="ok", ok=response):
            return Error(RequestError(f"the node refuses: {response.body}"))
        case Result(error=error):
            return Error(error)
