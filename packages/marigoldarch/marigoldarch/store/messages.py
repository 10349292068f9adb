"""Messages between control hosts: those of the log, of the document and of targets."""

from __future__ import annotations

from dataclasses import dataclass

from marigoldarch.codec import Codec
from marigoldarch.control.dispatch import REPLICA_MESSAGES
from marigoldarch.serving.cold_news import TargetsCold
from marigoldarch.serving.evacuations import EvacuationOrder
from marigoldarch.serving.targets import Target


@dataclass(frozen=True)
class PutRequest:
    """Ask the leader to store a document; resent until answered."""

    request_id: str
    version: int
    text: str


@dataclass(frozen=True)
class PutReply:
    """Confirm that the requested version, or a higher one, is durable on a majority."""

    request_id: str


@dataclass(frozen=True)
class EvacuationRequest:
    """Ask the leader to log an order; resent until answered.

    The answer is a `ReadReply`: whoever has applied its index knows whether the order had an effect.
    """

    request_id: str
    order: EvacuationOrder


@dataclass(frozen=True)
class ReadRequest:
    """Ask the leader for the read index: the log index that a reader must have applied."""

    request_id: str


@dataclass(frozen=True)
class ReadReply:
    """Return a read index that covers everything acknowledged before the request."""

    request_id: str
    index: int


@dataclass(frozen=True)
class TargetsHeard:
    """Target announcements that another control host received; confirmed if `batch` is not 0."""

    batch: int
    targets: tuple[Target, ...]


@dataclass(frozen=True)
class TargetsNoted:
    """Confirm a batch of target announcements."""

    batch: int


STORE_MESSAGES = Codec(
    (
        *REPLICA_MESSAGES,
        PutRequest,
        PutReply,
        EvacuationRequest,
        ReadRequest,
        ReadReply,
        TargetsHeard,
        TargetsNoted,
        TargetsCold,
    )
)
