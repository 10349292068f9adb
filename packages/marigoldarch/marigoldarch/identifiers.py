"""Identifiers and addresses that several parts share."""

from __future__ import annotations

from typing import NamedTuple


class ReplicaName(NamedTuple):
    """A replica of the log: its node, and the random id of its data folder."""

    node: str
    replica_id: str

    def __str__(self) -> str:
        return f"{self.node}/{self.replica_id}"


class PoolId(NamedTuple):
    """A pool: the targets of one model or plain service in one data centre."""

    data_centre: str
    name: str

    def __str__(self) -> str:
        return f"{self.data_centre}/{self.name}"


class PermitId(NamedTuple):
    """A permit's id in its pool: the scheduler's fencing token and a serial number under it."""

    epoch: int
    serial: int

    def __str__(self) -> str:
        return f"{self.epoch}-{self.serial}"

    @classmethod
    def parse(cls, text: str) -> PermitId:
        """Parse the text form of a permit id; raise `ValueError` if it is malformed."""
        epoch, _, serial = text.partition("-")
        return cls(int(epoch), int(serial))


class TargetAddress(NamedTuple):
    """A target's network address, and the run of its process that is meant."""

    target: str
    incarnation: str
    address: str


class NodeAddress(NamedTuple):
    """A node's data centre, and its addresses for callers and for other nodes."""

    node: str
    data_centre: str
    caller_address: str
    peer_address: str
