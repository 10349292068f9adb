"""Automatic membership of the document's log: the next configuration change, one at a time.

A change depends only on the configuration, on the replicas' acknowledgements and on when each host
was last heard from, so that a new leader continues where the previous one stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.identifiers import ReplicaName

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.control.configuration import Configuration

HOST_ALIVE_TIMEOUT_MS: Millis = 1500.0
"""A host counts as alive if it was heard from within this time: three hellos, each 500 ms."""

HOST_LOST_TIMEOUT_MS: Millis = 4000.0
"""A voter that is silent for this time may be replaced by another host.

It is the shortest catch-up time of a replacement (`catch_up_s`) that any deployment sets.
"""

RECENT_ACK_MS: Millis = 1000.0
"""An acknowledgement within this time, ten append intervals, shows that a replica follows."""

LEARNER_LOST_TIMEOUT_MS: Millis = 10_000.0
"""A learner that is silent for this time is removed."""


class KnownHost(NamedTuple):
    """A control host: its replica, when it was last heard from, and whether it is stopping.

    `data_format` is the newest format of log entries that it applies.
    """

    replica: ReplicaName
    heard_ms: Millis
    is_leaving: bool
    data_format: int = 0


class MembershipChange(NamedTuple):
    """A new configuration, the reason for it, and the replica that is added or removed."""

    configuration: Configuration
    reason: str
    replica: ReplicaName


class LeaderView(NamedTuple):
    """What a leader knows of the other replicas and their hosts.

    `hosts` has the control hosts heard from since `listening_since_ms`, by name. `is_synced` tells
    whether a replica follows and has all committed entries. `acked_ms` returns the time of the
    latest append that a replica acknowledged, or minus infinity if there is none.
    """

    own_name: ReplicaName
    hosts: dict[str, KnownHost]
    is_synced: Callable[[ReplicaName], bool]
    acked_ms: Callable[[ReplicaName], Millis]
    listening_since_ms: Millis
    tolerated_losses: int


def next_change(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> MembershipChange | None:
    """Return the next change, or None if the configuration needs none.

    A lost voter is removed before its successor is added, so that a majority never counts both.
    """
    hosts = view.hosts
    replaced = _find_replaced_member(configuration, view.own_name, hosts)
    synced_learner = _find_synced_learner(configuration, hosts, view.is_synced, now_ms)
    has_synced_successor = (
        synced_learner is not None and replaced is not None and synced_learner.node == replaced.node
    )
    if replaced is not None and (replaced in configuration.learners or has_synced_successor):
        return MembershipChange(configuration.without(replaced), "disk was replaced", replaced)
    new_replica = _find_new_replica(configuration, hosts, now_ms)
    if new_replica is not None:
        return MembershipChange(configuration.with_learner(new_replica), "host is new", new_replica)
    if synced_learner is not None:
        wanted_voters = 2 * view.tolerated_losses + 1
        if len(configuration.voters) < wanted_voters:
            return MembershipChange(
                configuration.with_voter(synced_learner), "voters are missing", synced_learner
            )
        lost_voter = _find_lost_voter(configuration, view, now_ms)
        if lost_voter is not None and _has_majority(
            configuration.without(lost_voter), view, now_ms
        ):
            return MembershipChange(configuration.without(lost_voter), "voter is lost", lost_voter)
    silent_learner = _find_silent_learner(configuration, view, now_ms)
    if silent_learner is not None:
        return MembershipChange(
            configuration.without(silent_learner), "learner is lost", silent_learner
        )
    return None


def _find_replaced_member(
    configuration: Configuration, own_name: ReplicaName, hosts: dict[str, KnownHost]
) -> ReplicaName | None:
    """Return a member whose host now has another replica, as its disk was replaced."""
    for member in configuration.members:
        host = hosts.get(member.node)
        if member != own_name and host is not None and host.replica != member:
            return member
    return None


def _find_new_replica(
    configuration: Configuration, hosts: dict[str, KnownHost], now_ms: Millis
) -> ReplicaName | None:
    for host in hosts.values():
        is_alive = now_ms < host.heard_ms + HOST_ALIVE_TIMEOUT_MS
        if is_alive and not host.is_leaving and host.replica not in configuration.members:
            return host.replica
    return None


def _find_synced_learner(
    configuration: Configuration,
    hosts: dict[str, KnownHost],
    is_synced: Callable[[ReplicaName], bool],
    now_ms: Millis,
) -> ReplicaName | None:
    for learner in configuration.learners:
        host = hosts.get(learner.node)
        if host is None or host.replica != learner or host.is_leaving:
            continue
        if now_ms < host.heard_ms + HOST_ALIVE_TIMEOUT_MS and is_synced(learner):
            return learner
    return None


def _find_lost_voter(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> ReplicaName | None:
    """Return a voter that is leaving, or has been silent for `HOST_LOST_TIMEOUT_MS`.

    Load pattern: all hosts restart while one is cut off. A leader that has just started has not
    heard from any host yet; a host it never heard from counts as heard from at the leader's start.
    """
    for voter in configuration.voters:
        host = view.hosts.get(voter.node)
        if voter == view.own_name:
            continue
        heard_ms = host.heard_ms if host else view.listening_since_ms
        if host is not None and host.is_leaving:
            return voter
        if now_ms >= max(heard_ms, view.acked_ms(voter)) + HOST_LOST_TIMEOUT_MS:
            return voter
    return None


def _has_majority(configuration: Configuration, view: LeaderView, now_ms: Millis) -> bool:
    """Return whether a majority acknowledges; without one the change would never commit."""
    voters = configuration.voters
    recently_acked = [
        voter
        for voter in voters
        if voter == view.own_name or now_ms < view.acked_ms(voter) + RECENT_ACK_MS
    ]
    return len(recently_acked) >= configuration.majority


def _find_silent_learner(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> ReplicaName | None:
    for learner in configuration.learners:
        host = view.hosts.get(learner.node)
        heard_ms = host.heard_ms if host else view.listening_since_ms
        if now_ms >= heard_ms + LEARNER_LOST_TIMEOUT_MS:
            return learner
    return None
