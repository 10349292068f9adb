"""The live permits of a pool, indexed by id, request, entry node and target."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from marigoldarch.clock import Millis
from marigoldarch.identifiers import PermitId, TargetAddress
from marigoldarch.messages import WorkItem
from marigoldarch.pools.estimates import Lane


@dataclass(eq=False)
class Permit:
    """A live permit: the entry node and request that use it, and the memory it claims on targets.

    `prefill_ends_ms` and `ends_ms` are estimates; `deadline_ms` is that of the request.
    `prefill_work_ms` is the estimated prefill on each target. `is_prefill_sample` tells that the
    time to first token shows the prefill rate, as the targets were idle and nothing was cached.
    """

    permit_id: PermitId
    node: str
    item: WorkItem
    lane: Lane
    targets: list[TargetAddress]
    tokens_per_target: int
    granted_ms: Millis
    prefill_ends_ms: Millis
    ends_ms: Millis
    deadline_ms: Millis
    withdrawn_ms: Millis | None = None
    prefill_work_ms: Millis = 0.0
    is_urgent: bool = False
    is_prefill_sample: bool = False

    @property
    def key(self) -> tuple[str, int]:
        """Return the request id and attempt number, which identify the request."""
        return self.item.request_id, self.item.attempt


class PermitTable:
    """The live permits of a pool."""

    def __init__(self) -> None:
        self._by_id: dict[PermitId, Permit] = {}
        self._by_request: dict[tuple[str, int], PermitId] = {}
        self._by_node: defaultdict[str, dict[PermitId, None]] = defaultdict(dict)
        self._by_target: defaultdict[str, dict[PermitId, None]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._by_id)

    def __iter__(self) -> Iterator[PermitId]:
        return iter(self._by_id)

    def __contains__(self, permit_id: PermitId) -> bool:
        return permit_id in self._by_id

    @property
    def nodes(self) -> list[str]:
        """Return the names of the entry nodes that hold permits."""
        return [node for node, held in self._by_node.items() if held]

    def find(self, permit_id: PermitId) -> Permit | None:
        """Return the live permit with an id, or None."""
        return self._by_id.get(permit_id)

    def find_by_request(self, key: tuple[str, int]) -> Permit | None:
        """Return the live permit of a request's attempt, or None."""
        permit_id = self._by_request.get(key)
        return self._by_id.get(permit_id) if permit_id else None

    def of_node(self, node: str) -> list[Permit]:
        """Return the live permits of an entry node."""
        return [self._by_id[permit_id] for permit_id in self._by_node.get(node, ())]

    def of_target(self, target: str) -> list[Permit]:
        """Return the live permits on any incarnation of a target."""
        return [self._by_id[permit_id] for permit_id in self._by_target.get(target, ())]

    def add(self, permit: Permit) -> None:
        """Add a live permit."""
        self._by_id[permit.permit_id] = permit
        self._by_request[permit.key] = permit.permit_id
        self._by_node[permit.node][permit.permit_id] = None
        for address in permit.targets:
            self._by_target[address.target][permit.permit_id] = None

    def remove(self, permit_id: PermitId) -> Permit | None:
        """Remove and return the live permit with an id, or return None."""
        permit = self._by_id.pop(permit_id, None)
        if permit is None:
            return None
        if self._by_request.get(permit.key) == permit_id:
            del self._by_request[permit.key]
        held = self._by_node[permit.node]
        held.pop(permit_id, None)
        if not held:
            del self._by_node[permit.node]
        for address in permit.targets:
            held = self._by_target[address.target]
            held.pop(permit_id, None)
            if not held:
                del self._by_target[address.target]
        return permit
