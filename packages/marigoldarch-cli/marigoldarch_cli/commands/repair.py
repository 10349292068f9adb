"""Replace a lost replica of the log."""

from __future__ import annotations

import time

from expression import Error, Ok, Result

from marigoldarch.control.repair_state import RepairState
from marigoldarch.exceptions import MarigoldarchError
from marigoldarch_cli.client import NodeClient, RequestError

_REMEDIES = {
    RepairState.UNKNOWN_REPLICA: "that node held no replica that could have been lost",
    RepairState.IS_LEADER: "that replica leads, so it is not lost",
    RepairState.NO_REPLACEMENT: "the node that is to take over is not up or has no data folder",
}
STEP_MS = 5_000.0


def repair(
    client: NodeClient, lost: str, replacement: str, timeout_s: float
) -> Result[str, MarigoldarchError]:
    """Ask until the repair is done; it then survives a second loss."""
    body = {"lost": lost, "replacement": replacement, "wait_ms": STEP_MS}
    end_s = time.monotonic() + timeout_s
    state = RepairState.WAITING
    while time.monotonic() < end_s:
        match client.request("POST", "/v1/operator/repair", body):
            case Result(tag="error", error=problem):
                return Error(problem)
            case Result(tag="ok", ok=answer) if answer.status not in (200, 202, 409):
                return Error(RequestError(f"the node refuses: {answer.body}"))
            case Result(tag="ok", ok=answer):
                state = RepairState(answer.body["status"])
        if state is RepairState.DONE:
            return Ok(f"done: {replacement} holds all that was acknowledged and votes")
        if state.is_refusal:
            return Error(RequestError(f"{state}: {_REMEDIES[state]}"))
    remedy = _REMEDIES.get(state, "run the command again, it goes on where it is")
    return Error(RequestError(f"not done after {timeout_s:g} s, state {state}: {remedy}"))
