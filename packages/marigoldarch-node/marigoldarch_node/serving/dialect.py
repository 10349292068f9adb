"""Interface of the adapter for the protocol of an infrastructure's callers, targets and operators.

An adapter only decodes headers and bodies into the types below and encodes these types; it makes no
decisions. It is an object with the methods of `Dialect`.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple, Protocol

from marigoldarch.clock import Millis
from marigoldarch.serving.routing import PromptSize

if TYPE_CHECKING:
    from marigoldarch.serving.declaration import DeclarationFault, ServingDeclaration
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.http_server import Headers, Request
    from marigoldarch_node.serving.target_connections import ResponseHead, TargetRequest


@dataclass(frozen=True)
class Announce:
    """A target announces itself or renews its announcement."""

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
    """An operator requests the stored declaration."""


@dataclass(frozen=True)
class Evacuate:
    """An operator asks that nothing new be sent to the targets of a data centre."""

    data_centre: str


@dataclass(frozen=True)
class EndEvacuation:
    """An operator withdraws an `Evacuate`."""

    data_centre: str


@dataclass(frozen=True)
class FindEntries:
    """A caller asks the directory for the addresses of entries."""

    data_centre: str


@dataclass(frozen=True)
class CheckReadiness:
    """The infrastructure checks whether the entry accepts requests."""


ControlRequest = (
    Announce
    | Leave
    | PutDeclaration
    | GetDeclaration
    | Evacuate
    | EndEvacuation
    | FindEntries
    | CheckReadiness
)


class RequestInfo(NamedTuple):
    """The decoded headers of a caller's request.

    `key` is the customer's API key. `caller_timeout_ms` is how long the caller waits for the
    response, None if it does not say. `last_event` is the event id after which a stream resumes.
    `shared_parts` are the names of the prompt's parts that other prompts may have too.
    """

    request_id: str
    host: str
    path: str
    key: str
    caller_timeout_ms: Millis | None
    prompt: PromptSize | None
    last_event: int | None
    shared_parts: tuple[str, ...] = ()


class ForwardingInfo(NamedTuple):
    """What the system adds to the headers of a request for one target.

    Each of `helpers` is `IP:PORT`, or `IP:PORT/ID` with the id of a memory reservation. `priority`
    is 0 to 9. `time_left_ms` is what remains of the caller's timeout.
    """

    target_id: str
    customer: str
    time_left_ms: Millis
    last_event: int | None
    priority: int | None
    helpers: tuple[str, ...]


class ResponseInfo(NamedTuple):
    """The decoded headers of a target's response.

    With `proves_not_run` the target has not run the request and never will. `failed_target` names
    the target that caused a refusal, by id or address; it is empty if the response names none. With
    `is_misdirected`, another target than the intended one has responded. With `is_leaving` the
    target accepts no requests for much longer. `wait_ms` is how long it wants no request from this
    node, None if it does not ask for a wait. `unreadable_headers` are names with invalid values.
    `limit_per_s` is how many requests a second the target accepts from all nodes together, None if it
    names no limit; with `is_limit_unreadable` it names one that cannot be decoded. `cold_ms` is how much
    longer the target stays cold, None if it does not say.
    """

    request_id: str
    proves_not_run: bool
    is_signed: bool
    is_event_stream: bool
    retry_after_ms: Millis | None
    failed_target: str
    is_misdirected: bool = False
    is_leaving: bool = False
    wait_ms: Millis | None = None
    unreadable_headers: tuple[str, ...] = ()
    limit_per_s: float | None = None
    is_limit_unreadable: bool = False
    cold_ms: Millis | None = None


class UnreadableAnnouncement(NamedTuple):
    """The reason why an announcement cannot be decoded."""

    reason: str


class Dialect(Protocol):
    """Decodes and encodes the messages of one protocol."""

    def read_control_request(self, request: Request) -> ControlRequest | None:
        """Decode a request to the system itself; return None if it is unknown."""
        ...

    def read_declaration(self, body: bytes) -> ServingDeclaration | DeclarationFault:
        """Decode a declaration, or return its fault; its parts need not be consistent."""
        ...

    def read_announcement(self, target_id: str, body: bytes) -> Target | UnreadableAnnouncement:
        """Decode the announcement of a target, or return why that fails."""
        ...

    def read_cold_ms(self, body: bytes) -> Millis | None:
        """Decode how much longer a target stays cold by its announcement, None if it does not say."""
        ...

    def read_request(self, request: Request) -> RequestInfo:
        """Decode the headers of a caller's request."""
        ...

    def target_headers(self, request: Request, forwarding: ForwardingInfo) -> Headers:
        """Return the headers of a request as it is sent to a target."""
        ...

    def reservation(
        self, target: Target, reservation_id: str, tokens: int, hold_ms: Millis
    ) -> TargetRequest:
        """Encode the request that reserves memory for `hold_ms`, or renews a reservation."""
        ...

    def release(self, target: Target, reservation_id: str) -> TargetRequest:
        """Encode the request that releases reserved memory."""
        ...

    def health_check(self, target: Target, path: str) -> TargetRequest:
        """Encode a request for the health of a target, at the path that its service declares."""
        ...

    def read_response(self, head: ResponseHead) -> ResponseInfo:
        """Decode the headers of a target's response."""
        ...

    def caller_headers(self, head: ResponseHead) -> Headers:
        """Return the headers of a target's response that are forwarded to the caller."""
        ...

    def refusal_headers(self, request_id: str, retry_after_ms: Millis | None) -> Headers:
        """Return the headers of an error response of the system's own."""
        ...

    def encode_entry_addresses(self, addresses: list[str], ttl_ms: Millis) -> bytes:
        """Encode a directory response: addresses of entries, and how long they may be used."""
        ...
