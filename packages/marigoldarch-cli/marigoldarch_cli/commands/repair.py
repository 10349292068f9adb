"""Replace a lost replica of the replicated log."""

from __future__ import annotations

import time

from expression import Error, Ok, Result

from marigoldarch.control.repair_state import RepairState
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError

_EXPLANATIONS = {
    RepairState.UNKNOWN_REPLICA: "that node held no replica that could have been lost",
    RepairState.IS_LEADER: "that replica is the leader, so it is not lost",
    RepairState.NO_REPLACEMENT: "the replacement node is not up or has no data folder",
}
REQUEST_WAIT_MS = 5_000.0
"""After this time a node responds with the state reached, and the request is repeated."""


def repair(
    client: NodeClient, lost: str, replacement: str, timeout_s: float
) -> Result[str, MarigoldarchError]:
    """Repeat the request until the repair is done, refused or `timeout_s` has passed.

    Once the repair is done, the log survives the loss of another replica.
    """
    body = {"lost": lost, "replacement": replacement, "wait_ms": REQUEST_WAIT_MS}
    deadline_s = time.monotonic() + timeout_s
    state = RepairState.WAITING
    while time.monotonic() < deadline_s:
        match client.request("POST", "/v1/operator/repair", body):
            case Result(tag="error", error=error):
                return Error(error)
            case Result(tag="ok", ok=response) if response.status not in (200, 202, 409):
                return Error(RequestError(f"the node refuses: {response.body}"))
            case Result(tag="ok", ok=response):
                state = RepairState(response.body["status"])
        if state is RepairState.DONE:
            return Ok(f"done: {replacement} holds all that was acknowledged and votes")
        if state.is_refusal:
            return Error(RequestError(f"{state}: {_EXPLANATIONS[state]}"))
    explanation = _EXPLANATIONS.get(
        state, "run the command again; the repair continues from this state"
    )
    return Error(RequestError(f"not done after {timeout_s:g} s, state {state}: {explanation}"))
