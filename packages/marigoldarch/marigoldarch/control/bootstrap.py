"""Bootstrap of an installation: the listed voters become its first configuration.

Only the first listed voter, the coordinator, forms the configuration, and only after every listed
voter has answered the coordinator's query that it is uninitialized. A voter whose disk is emptied
later therefore never forms a second installation beside the one that the other voters still hold.
"""

from __future__ import annotations

from marigoldarch.clock import Millis
from marigoldarch.control.configuration import Configuration
from marigoldarch.effects import Effect, Send
from marigoldarch.identifiers import ReplicaName
from marigoldarch.messages import BootstrapQuery, BootstrapReply
from marigoldarch.settings import ControlSettings


class Bootstrap:
    """The bootstrap of one uninitialized replica."""

    def __init__(
        self, own_name: ReplicaName, voters: tuple[str, ...], settings: ControlSettings
    ) -> None:
        self._own_name = own_name
        self._voters = voters
        self._interval_ms = settings.bootstrap_interval_ms
        self._next_query_ms: Millis = float("-inf")
        self._uninitialized = {own_name.node: own_name}

    @property
    def is_coordinator(self) -> bool:
        """Return whether this replica, as the first listed voter, forms the first configuration."""
        return bool(self._voters) and self._voters[0] == self._own_name.node

    def tick(self, now_ms: Millis) -> list[Effect]:
        """As coordinator, query the listed voters that have not answered yet."""
        if not self.is_coordinator or now_ms < self._next_query_ms:
            return []
        self._next_query_ms = now_ms + self._interval_ms
        query = BootstrapQuery(self._own_name.replica_id)
        return [Send(voter, query) for voter in self._voters if voter not in self._uninitialized]

    def on_query(self, sender: str, query: BootstrapQuery) -> list[Effect]:
        """Tell the coordinator that this replica is uninitialized.

        A replica with an empty voter list, as after a restart during bootstrap, answers any sender:
        only a coordinator that forms an installation sends queries.
        """
        if self._voters and (sender != self._voters[0] or self._own_name.node not in self._voters):
            return []
        return [Send(sender, BootstrapReply(query.coordinator_replica, self._own_name.replica_id))]

    def on_reply(self, sender: str, reply: BootstrapReply) -> None:
        """Record a listed voter that is uninitialized."""
        if reply.coordinator_replica == self._own_name.replica_id and sender in self._voters:
            self._uninitialized[sender] = ReplicaName(sender, reply.from_replica)

    def first_configuration(self) -> Configuration | None:
        """Return the first configuration once all listed voters are known to be uninitialized."""
        if not self.is_coordinator or len(self._uninitialized) < len(self._voters):
            return None
        return Configuration(tuple(self._uninitialized[voter] for voter in self._voters))
