"""Identifiers and small records that several parts share."""

from __future__ import annotations

from typing import NamedTuple


class ReplicaName(NamedTuple):
    """A replica of the log: its node, and the random identity of its data folder."""

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
    """A permit of a pool, unique over all schedulers by the pool's fencing number."""

    epoch: int
    serial: int

    def __str__(self) -> str:
        return f"{self.epoch}-{self.serial}"

    @classmethod
    def parse(cls, text: str) -> PermitId:
        """Parse the form that `str` gives; raise `ValueError` on any other text."""
        epoch, _, serial = text.partition("-")
        return cls(int(epoch), int(serial))


class TargetAddress(NamedTuple):
    """Where a target listens, and which run of it is meant."""

    target: str
    incarnation: str
    address: str


class NodeAddress(NamedTuple):
    """Where a node listens for callers and for its peers."""

    node: str
    data_centre: str
    caller_address: str
    peer_address: str
