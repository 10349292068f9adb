"""What an adapter translates between the product and the protocol that callers and targets speak.

The product decides; an adapter only decodes bodies and headers into the types below, and encodes
them. It is an object with the methods of `Dialect`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, Protocol

from marigoldarch.clock import Millis
from marigoldarch.serving.routing import Prompt

if TYPE_CHECKING:
    from expression import Result

    from marigoldarch.serving.declaration import DeclarationFault, ServingDeclaration
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.http_server import Headers, Request
    from marigoldarch_node.serving.target_connections import ResponseHead, TargetRequest


@dataclass(frozen=True)
class Announce:
    """A target announces itself."""

    target_id: str


@dataclass(frozen=True)
class Leave:
    """A target has left."""

    target_id: str


@dataclass(frozen=True)
class PutDeclaration:
    """An operator sends a declaration."""


@dataclass(frozen=True)
class GetDeclaration:
    """An operator reads the declaration in force."""


@dataclass(frozen=True)
class FindEntries:
    """A caller asks where to connect."""

    data_centre: str


@dataclass(frozen=True)
class CheckReadiness:
    """The infrastructure asks whether the node takes callers."""


ControlRequest = Announce | Leave | PutDeclaration | GetDeclaration | FindEntries | CheckReadiness


class RequestInfo(NamedTuple):
    """What a caller's request says of itself.

    `caller_timeout_ms` is how long the caller waits, `last_event` the id after which a stream goes on.
    """

    request_id: str
    host: str
    path: str
    key: str
    caller_timeout_ms: Millis | None
    prompt: Prompt | None
    last_event: int | None


class Forwarding(NamedTuple):
    """What the system adds to a request for one target; `helpers` are `IP:PORT` or with a ticket."""

    target_id: str
    customer: str
    time_left_ms: Millis
    last_event: int | None
    priority: int | None
    helpers: tuple[str, ...]


class ResponseInfo(NamedTuple):
    """What a target's answer says of itself."""

    request_id: str
    proves_not_run: bool
    is_signed: bool
    is_event_stream: bool
    retry_after_ms: Millis | None
    failed_target: str


class UnreadableAnnouncement(NamedTuple):
    """An announcement that names no target to use."""

    reason: str


class Dialect(Protocol):
    """The translations of one protocol."""

    def read_control_request(self, request: Request) -> ControlRequest | None:
        """Return what a request to the system itself asks for, None if nothing known."""
        ...

    def read_declaration(self, body: bytes) -> Result[ServingDeclaration, DeclarationFault]:
        """Decode a declaration, without checking what its parts mean together."""
        ...

    def read_announcement(
        self, target_id: str, body: bytes
    ) -> Result[Target, UnreadableAnnouncement]:
        """Decode what a target says of itself."""
        ...

    def read_request(self, request: Request) -> RequestInfo:
        """Decode the headers of a caller's request."""
        ...

    def target_headers(self, request: Request, forwarding: Forwarding) -> Headers:
        """Return the headers for a target."""
        ...

    def reservation(
        self, target: Target, reservation_id: str, tokens: int, hold_ms: Millis
    ) -> TargetRequest:
        """Encode the order that sets memory aside, or renews that."""
        ...

    def release(self, target: Target, reservation_id: str) -> TargetRequest:
        """Encode the order that gives memory back."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Decode the headers of a target's answer."""
        ...

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of a target's answer that reach the caller."""
        ...

    def refusal_headers(self, request_id: str, retry_after_ms: Millis | None) -> Headers:
        """Return the headers of an answer of the system's own."""
        ...

    def encode_entry_addresses(self, addresses: list[str], ttl_ms: Millis) -> bytes:
        """Encode the answer to a caller that asks where to connect."""
        ...
