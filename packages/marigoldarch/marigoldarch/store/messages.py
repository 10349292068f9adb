"""Messages between control hosts: those of the log, and those of the document and its readers."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.codec import Codec
from marigoldarch.control.dispatch import REPLICA_MESSAGES
from marigoldarch.serving.targets import Target


@dataclass(frozen=True)
class PutRequest:
    """Ask the leader to store a document; resent until answered."""

    request_id: str
    version: int
    text: str


@dataclass(frozen=True)
class PutReply:
    """Tell that the stored version is at least the one asked for, durably."""

    request_id: str


@dataclass(frozen=True)
class ReadRequest:
    """Ask the leader up to which index a reader has to have applied the log."""

    request_id: str


@dataclass(frozen=True)
class ReadReply:
    """Name an index that covers everything acknowledged before the request."""

    request_id: str
    index: int


@dataclass(frozen=True)
class TargetsHeard:
    """Announcements that another control host has taken; `batch` is to be confirmed if not 0."""

    batch: int
    targets: tuple[Target, ...]


@dataclass(frozen=True)
class TargetsNoted:
    """Confirm a batch of announcements."""

    batch: int


STORE_MESSAGES = Codec(
    (*REPLICA_MESSAGES, PutRequest, PutReply, ReadRequest, ReadReply, TargetsHeard, TargetsNoted)
)
