"""The first start of an installation: the listed voters become its first configuration.

Only the first listed voter forms the configuration, and only when every listed voter has answered
its own query that its disk is blank. A voter whose disk is emptied later therefore never starts
an installation anew beside the one that lives on in the others.
"""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.control.configuration import Configuration
from marigoldarch.effects import Effect, Send
from marigoldarch.identifiers import ReplicaName
from marigoldarch.messages import BootstrapQuery, BootstrapReply
from marigoldarch.settings import ControlSettings


class Bootstrap:
    """The part of a blank replica in the first start."""

    def __init__(
        self, own: ReplicaName, voters: tuple[str, ...], settings: ControlSettings
    ) -> None:
        self._own = own
        self._voters = voters
        self._interval_ms = settings.bootstrap_interval_ms
        self._due_ms: Millis = float("-inf")
        self._blank = {own.node: own}

    @property
    def is_coordinator(self) -> bool:
        """Return whether this replica forms the first configuration."""
        return bool(self._voters) and self._voters[0] == self._own.node

    def tick(self, now_ms: Millis) -> list[Effect]:
        """Ask the voters that have not answered yet."""
        if not self.is_coordinator or now_ms < self._due_ms:
            return []
        self._due_ms = now_ms + self._interval_ms
        query = BootstrapQuery(self._own.replica_id)
        return [Send(voter, query) for voter in self._voters if voter not in self._blank]

    def on_query(self, sender: str, query: BootstrapQuery) -> list[Effect]:
        """Tell the coordinator that this replica is blank.

        A replica that was told of no voters, as after a restart during the first start, answers
        too: only a coordinator that forms the installation asks.
        """
        if self._voters and (sender != self._voters[0] or self._own.node not in self._voters):
            return []
        return [Send(sender, BootstrapReply(query.coordinator_replica, self._own.replica_id))]

    def on_reply(self, sender: str, reply: BootstrapReply) -> None:
        """Count a blank replica."""
        if reply.coordinator_replica == self._own.replica_id and sender in self._voters:
            self._blank[sender] = ReplicaName(sender, reply.from_replica)

    def form(self) -> Configuration | None:
        """Return the first configuration once all listed voters are known to be blank."""
        if not self.is_coordinator or len(self._blank) < len(self._voters):
            return None
        return Configuration(tuple(self._blank[voter] for voter in self._voters))
