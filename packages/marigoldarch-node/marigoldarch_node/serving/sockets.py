"""Sockets, with options that make the kernel end connections to unreachable peers."""

from __future__ import annotations

import errno
import fcntl
import select
import socket
import struct
import termios
from contextlib import suppress
from functools import lru_cache
from typing import NamedTuple

import trio

from marigoldarch.addresses import is_address

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1


class SilenceBounds(NamedTuple):
    """How long the kernel keeps a connection whose peer acknowledges nothing.

    `unacknowledged_ms` holds for sent data and for data that waits as the peer does not read. On
    Linux it also takes precedence over the number of keep-alive probes.
    """

    unacknowledged_ms: int
    keepalive_probes: int


PEER_BOUNDS = SilenceBounds(1500, 2)
"""For nodes: long enough for several retransmissions, which begin after 200 ms."""

TARGET_BOUNDS = SilenceBounds(5000, 4)
"""For targets, which may read nothing for a second, and longer on a slow machine. Not longer than a few
seconds, as a request that may not be sent again waits for a dead host as long."""

MEMORY_BOUNDS = SilenceBounds(2500, 2)
"""For a target whose request holds memory at others, which must be free within 3.5 s after its host has
gone dark: the kernel gives it up 3 s after it was last heard, when two probes have had no answer, by
either bound."""

CALLER_BOUNDS = SilenceBounds(20_000, 2)
"""For callers, which may read slowly."""

BACKLOG = 1024

TCP_CLOSE = 7
"""The kernel's state, first in `struct tcp_info`, of a connection that was reset or has ended on both sides."""

TCP_INFO_BYTES = 104
LAST_HEARD = struct.Struct("=II")
LAST_HEARD_OFFSET = 52
"""In the kernel's `struct tcp_info`: the ages of the last data and of the last acknowledgement received, in
milliseconds."""

LINGER_ZERO = struct.pack("ii", 1, 0)
"""A `struct linger` with which closing a socket drops what it has not sent."""


class Connection(NamedTuple):
    """A connected socket, and a stream over it."""

    socket: socket.socket
    stream: trio.SocketStream

    def has_input(self) -> bool:
        """Return whether data or the end of the connection can be read."""
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def has_orderly_end(self) -> bool:
        """Return whether the peer has ended its side of the connection, and has not reset it.

        The kernel reports a reset once: a task that sends may take the error, and one that reads meets
        an end without data. It is true as well where the kernel does not tell the state.
        """
        try:
            state = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return True
        return state[:1] != bytes([TCP_CLOSE])

    def unheard_ms(self) -> float:
        """Return how long the peer's host has neither sent nor acknowledged anything.

        The kernel probes a silent peer each second; the program at the other end takes no part. Returns
        0 for a closed connection, and where the kernel does not tell.
        """
        try:
            info = self.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return 0.0
        if len(info) < LAST_HEARD_OFFSET + LAST_HEARD.size:
            return 0.0
        return float(min(LAST_HEARD.unpack_from(info, LAST_HEARD_OFFSET)))

    def bound_silence(self, *, holds_memory: bool) -> None:
        """Change how long the kernel keeps the connection to a target that acknowledges nothing.

        It is less while the target's request holds memory at others.
        """
        with suppress(OSError):
            _set_bounds(self.socket, MEMORY_BOUNDS if holds_memory else TARGET_BOUNDS)

    def close(self) -> None:
        """Close the connection at once."""
        self.stream.socket.close()

    def abort(self) -> None:
        """Close the connection with a reset; what the peer has not acknowledged is sent no more."""
        with suppress(OSError):
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        self.close()


def set_tcp_options(sock: trio.socket.SocketType | socket.socket, bounds: SilenceBounds) -> None:
    """Set the options of every TCP connection of a node."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    _set_bounds(sock, bounds)


def _set_bounds(sock: trio.socket.SocketType | socket.socket, bounds: SilenceBounds) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, bounds.keepalive_probes)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, bounds.unacknowledged_ms)


def has_peer_ended(sock: trio.socket.SocketType) -> bool:
    """Return whether the peer has closed its side, also while bytes before that are unread."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def unsent_bytes(sock: trio.socket.SocketType) -> int | None:
    """Return how many bytes the peer has not acknowledged, None where the kernel does not tell."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except OSError:
        return None
    return int.from_bytes(answer, "little")


MAX_SHOWN_CHARACTERS = 60
"""How much of an odd address a log line shows."""


@lru_cache(maxsize=4096)
def split_address(address: str) -> tuple[str, int]:
    """Return IP and port of `IP:PORT`; raise `OSError` for any other text.

    Addresses come from other nodes and targets, and whoever connects expects that this fails.
    """
    if not is_address(address):
        raise OSError(errno.EINVAL, f"not IP:PORT: {address[:MAX_SHOWN_CHARACTERS]!r}")
    host, _, port = address.rpartition(":")
    return host, int(port)


async def connect(
    address: str, timeout_ms: float, bounds: SilenceBounds = PEER_BOUNDS
) -> Connection:
    """Open a connection; raise `OSError`, or `trio.TooSlowError` after `timeout_ms`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    set_tcp_options(sock, bounds)
    trio_socket = trio.socket.from_stdlib_socket(sock)
    try:
        with trio.fail_after(timeout_ms / 1000.0):
            await trio_socket.connect(split_address(address))
    except BaseException:
        trio_socket.close()
        raise
    return Connection(sock, trio.SocketStream(trio_socket))


async def listen(address: str) -> trio.SocketListener:
    """Listen on `IP:PORT`."""
    host, port = split_address(address)
    listeners = await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)
    return listeners[0]


class DatagramEndpoint(NamedTuple):
    """A bound datagram socket without blocking calls, and the same socket for waiting on it."""

    socket: socket.socket
    stream: trio.socket.SocketType


async def open_datagrams(address: str) -> DatagramEndpoint:
    """Return a datagram socket bound to `IP:PORT`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    stream = trio.socket.from_stdlib_socket(sock)
    await stream.bind(split_address(address))
    return DatagramEndpoint(sock, stream)
