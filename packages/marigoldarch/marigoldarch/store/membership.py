"""Which replicas hold the document: the next change of the configuration, one at a time.

A change depends only on the configuration, on what replicas have acknowledged and on which hosts
are heard of, so that a new leader goes on where an earlier one stopped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from marigoldarch.clock import Millis
from marigoldarch.identifiers import ReplicaName

if TYPE_CHECKING:
    from collections.abc import Callable

    from marigoldarch.control.configuration import Configuration

HOST_ALIVE_MS: Millis = 1500.0
"""A host counts as alive if it was heard of within three of its hello intervals of 500 ms."""

HOST_LOST_MS: Millis = 4000.0
"""A silent voter may be replaced by a spare host after this time, the shortest `catch_up_s` of the
deployments."""

IN_TOUCH_MS: Millis = 1000.0
"""A replica counts as in touch by what it has acknowledged within this time: ten append intervals."""

LEARNER_LOST_MS: Millis = 10_000.0
"""A silent learner is dropped after this time."""


class KnownHost(NamedTuple):
    """A control host: its replica, and when it was last heard of."""

    replica: ReplicaName
    heard_ms: Millis
    is_leaving: bool


class MembershipChange(NamedTuple):
    """A new configuration and the reason for it."""

    configuration: Configuration
    reason: str
    replica: ReplicaName


class LeaderView(NamedTuple):
    """What a leader knows of the other replicas.

    `hosts` has the control hosts that were heard of since `listening_since_ms`, by name. `acked_ms`
    tells when a replica last acknowledged an append, minus infinity if it never did.
    """

    own: ReplicaName
    hosts: dict[str, KnownHost]
    is_synced: Callable[[ReplicaName], bool]
    acked_ms: Callable[[ReplicaName], Millis]
    listening_since_ms: Millis
    tolerated_losses: int


def next_change(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> MembershipChange | None:
    """Return the next change, or None if the configuration is as it should be.

    The lost voter is removed before its successor is added, so that a majority never counts both.
    """
    hosts = view.hosts
    stale = _find_stale(configuration, view.own, hosts)
    spare = _find_synced_learner(configuration, hosts, view.is_synced, now_ms)
    is_replaced = spare is not None and stale is not None and spare.node == stale.node
    if stale is not None and (stale in configuration.learners or is_replaced):
        return MembershipChange(configuration.without(stale), "disk was replaced", stale)
    newcomer = _find_newcomer(configuration, hosts, now_ms)
    if newcomer is not None:
        return MembershipChange(configuration.with_learner(newcomer), "host is new", newcomer)
    if spare is not None:
        wanted = 2 * view.tolerated_losses + 1
        if len(configuration.voters) < wanted:
            return MembershipChange(configuration.with_voter(spare), "voters are missing", spare)
        lost = _find_lost(configuration, view, now_ms)
        if lost is not None and _has_majority(configuration.without(lost), view, now_ms):
            return MembershipChange(configuration.without(lost), "voter is lost", lost)
    silent = _find_silent_learner(configuration, view, now_ms)
    if silent is not None:
        return MembershipChange(configuration.without(silent), "learner is lost", silent)
    return None


def _find_stale(
    configuration: Configuration, own: ReplicaName, hosts: dict[str, KnownHost]
) -> ReplicaName | None:
    """Return a member whose host now has another disk."""
    for member in configuration.members:
        host = hosts.get(member.node)
        if member != own and host is not None and host.replica != member:
            return member
    return None


def _find_newcomer(
    configuration: Configuration, hosts: dict[str, KnownHost], now_ms: Millis
) -> ReplicaName | None:
    for host in hosts.values():
        is_alive = now_ms < host.heard_ms + HOST_ALIVE_MS
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
        if now_ms < host.heard_ms + HOST_ALIVE_MS and is_synced(learner):
            return learner
    return None


def _find_lost(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> ReplicaName | None:
    """Return a voter that has left, or that this leader has not heard from for long.

    Load pattern: all hosts start again while one is cut off. A leader that has just started has
    heard of nobody yet, which says nothing.
    """
    for voter in configuration.voters:
        host = view.hosts.get(voter.node)
        if voter == view.own:
            continue
        heard_ms = host.heard_ms if host else view.listening_since_ms
        if host is not None and host.is_leaving:
            return voter
        if now_ms >= max(heard_ms, view.acked_ms(voter)) + HOST_LOST_MS:
            return voter
    return None


def _has_majority(configuration: Configuration, view: LeaderView, now_ms: Millis) -> bool:
    """Return whether a majority acknowledges now; a change that none follows would never end."""
    voters = configuration.voters
    in_touch = [
        voter
        for voter in voters
        if voter == view.own or now_ms < view.acked_ms(voter) + IN_TOUCH_MS
    ]
    return len(in_touch) >= configuration.majority


def _find_silent_learner(
    configuration: Configuration, view: LeaderView, now_ms: Millis
) -> ReplicaName | None:
    for learner in configuration.learners:
        host = view.hosts.get(learner.node)
        heard_ms = host.heard_ms if host else view.listening_since_ms
        if now_ms >= heard_ms + LEARNER_LOST_MS:
            return learner
    return None
