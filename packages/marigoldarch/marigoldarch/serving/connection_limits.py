"""Decides how many connections a node accepts, and which one without progress it closes for another.

Load pattern: callers open connections without end, and send nothing on them or read no answer. Each
takes a descriptor and memory, so their number is bounded. Beyond the bound the connection that has been
idle for longest is closed, one that never carried a request first, then the one whose response has
been unread for longest, so that a new caller is served.
"""

from __future__ import annotations

from typing import Protocol

from marigoldarch.clock import Millis

CONNECTION_BYTES = 32_768
"""What a connection takes: its state and what waits in the kernel unread."""

CONNECTION_MEMORY_SHARE = 0.3
"""The part of a host's memory for connections."""

DESCRIPTOR_SHARE = 0.7
"""The part of a process's descriptors for connections of callers; targets and nodes take the rest."""

RESERVED_DESCRIPTORS = 200
"""Descriptors that are kept for files."""

MIN_IDLE_MS: Millis = 1000.0
"""A connection is idle for this time before it is closed for another: its request may be on the way."""

MIN_UNREAD_MS: Millis = 3000.0
"""The same for a response that its caller does not read: a lost packet may delay it for a second."""

UNREAD_TIMEOUT_MS: Millis = 10_000.0
"""How long a caller may read nothing of a response, or of a piece of a large one."""

MIN_CONNECTIONS = 16
MAX_CONNECTIONS = 3000


def connection_limit(memory_bytes: int, max_descriptors: int) -> int:
    """Return how many connections of callers a process may have."""
    by_memory = int(memory_bytes * CONNECTION_MEMORY_SHARE) // CONNECTION_BYTES
    by_descriptors = int((max_descriptors - RESERVED_DESCRIPTORS) * DESCRIPTOR_SHARE)
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, by_memory, by_descriptors))


class Closable(Protocol):
    """A connection that can be closed while it waits for its caller."""

    def close_if_idle(self) -> None:
        """Close the connection if it waits for a request."""
        ...

    def close_if_unread(self) -> None:
        """Close the connection if its caller does not read the response."""
        ...


class WaitingConnections:
    """The connections of a server that wait for their callers: for a request, or to be read."""

    def __init__(self) -> None:
        self._unused: dict[Closable, Millis] = {}
        self._used: dict[Closable, Millis] = {}
        self._unread: dict[Closable, Millis] = {}

    def add_idle(self, connection: Closable, now_ms: Millis, *, is_used: bool) -> None:
        """Note that a connection waits for a request."""
        (self._used if is_used else self._unused)[connection] = now_ms

    def remove_idle(self, connection: Closable) -> None:
        """Note that a connection no longer waits for a request."""
        if self._used.pop(connection, None) is None:
            self._unused.pop(connection, None)

    def add_unread(self, connection: Closable, now_ms: Millis) -> None:
        """Note that a response waits until its caller reads, if that isn't noted already."""
        self._unread.setdefault(connection, now_ms)

    def remove_unread(self, connection: Closable) -> None:
        """Note that a response no longer waits."""
        self._unread.pop(connection, None)

    def close_unread(self, now_ms: Millis) -> int:
        """Close the connections whose callers read nothing for too long; return their number."""
        count = 0
        while (connection := _take_first(self._unread, now_ms - UNREAD_TIMEOUT_MS)) is not None:
            connection.close_if_unread()
            count += 1
        return count

    def close_one(self, now_ms: Millis) -> bool:
        """Close the connection that should go first; return False if none may go."""
        for group in (self._unused, self._used):
            connection = _take_first(group, now_ms - MIN_IDLE_MS)
            if connection is not None:
                connection.close_if_idle()
                return True
        connection = _take_first(self._unread, now_ms - MIN_UNREAD_MS)
        if connection is not None:
            connection.close_if_unread()
        return connection is not None


def _take_first(group: dict[Closable, Millis], until_ms: Millis) -> Closable | None:
    """Remove and return the first connection of a group if it waits since `until_ms` or before."""
    first = next(iter(group.items()), None)
    if first is None or first[1] > until_ms:
        return None
    del group[first[0]]
    return first[0]
