"""The settings file of a serving node, in TOML: validated as a whole, and read again when it changes."""

from __future__ import annotations

import tomllib
from typing import TYPE_CHECKING

import msgspec

from marigoldarch.exceptions import ConfigurationError

if TYPE_CHECKING:
    from pathlib import Path

MAX_PORT = 65_535


class Bounds(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits: time to stop, the retry budget, targets' waits and crashes, and the memory for responses."""

    stop_grace_ms: float = 8000.0
    """How long a node may take to stop before the infrastructure kills it."""

    retry_ratio: float = 0.2
    """Retries allowed within the window, as a share of the requests in it."""

    retry_slack: float = 20.0
    """Retries allowed within the window beyond that share."""

    retry_window_ms: float = 10_000.0

    max_target_wait_ms: float = 60_000.0
    """The longest wait that a target may ask for, so that a faulty value does not disable it."""

    min_target_rate_per_s: float = 0.05
    """The lowest limit that a target may name in requests a second; a lower one counts as this."""

    max_target_rate_per_s: float = 100_000.0
    """The highest limit; a higher one counts as this."""

    crash_limit: int = 3
    """Crashes of targets after which requests with the same part in their prompts are not sent."""

    crash_quarantine_ms: float = 120_000.0
    """How long they are not sent at first; twice as long each time that a target crashes after it."""

    max_response_bytes: int = 16 * 1024 * 1024
    """The size of the body of a target's response that is not a stream."""

    max_held_response_bytes: int = 32 * 1024 * 1024
    """The size of all responses that an entry holds at once."""

    max_declaration_bytes: int = 16 * 1024 * 1024
    """The size of a declaration that a control host accepts."""


class ServingSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The settings of one node; addresses are `IP:PORT`, empty where nothing is served.

    `data_centres` are those that operators may evacuate; if it is empty, those that nodes and targets
    tell of.
    """

    node: str
    ip: str
    data_centre: str
    peer_port: int
    control_hosts: list[str]
    caller_address: str = ""
    health_address: str = ""
    control_address: str = ""
    directory_address: str = ""
    metrics_port: int = 0
    data_folder: str = ""
    is_first_start: bool = False
    tolerated_losses: int = 1
    data_centres: list[str] = []
    memory_mb: float = 200.0
    """The memory of the host for this process, in MB (1,000,000 bytes)."""

    max_descriptors: int = 0
    """How many descriptors the process may open; 0 stands for the limit that it finds."""

    bounds: Bounds = Bounds()

    @property
    def peer_address(self) -> str:
        """Return the address for other nodes, which is also this node's name among them."""
        return f"{self.ip}:{self.peer_port}"

    @property
    def control_peers(self) -> tuple[str, ...]:
        """Return the peer addresses of the control hosts that the settings name."""
        hosts = {host.rpartition(":")[0] for host in self.control_hosts if host}
        return tuple(sorted(f"{host}:{self.peer_port}" for host in hosts))


def load_settings(path: Path) -> ServingSettings:
    """Read and validate a file; raise `ConfigurationError` that names the option and a remedy."""
    try:
        plain = tomllib.loads(path.read_text())
        settings = msgspec.convert(plain, ServingSettings)
    except OSError as error:
        raise ConfigurationError(f"settings file {path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigurationError(f"settings file: not valid TOML: {error}") from error
    except msgspec.ValidationError as error:
        raise ConfigurationError(
            f"settings file: {error}; see docs/user-guide/serving.md"
        ) from error
    _check(settings)
    return settings


def _check(settings: ServingSettings) -> None:
    if not settings.node:
        raise ConfigurationError("node: give the node a name")
    if not 0 < settings.peer_port <= MAX_PORT:
        raise ConfigurationError(f"peer_port: use a port from 1 to {MAX_PORT}")
    if not settings.control_peers:
        raise ConfigurationError("control_hosts: name at least one control host as IP:PORT")
    for name in ("caller_address", "health_address", "control_address", "directory_address"):
        address = getattr(settings, name)
        if address and not address.rpartition(":")[2].isdigit():
            raise ConfigurationError(f"{name}: use IP:PORT, not {address!r}")
        if address == settings.peer_address:
            raise ConfigurationError(
                f"{name}: {address} is for other nodes; change it or peer_port"
            )
    if not settings.bounds.max_target_wait_ms > 0:
        raise ConfigurationError("bounds.max_target_wait_ms: use more than 0")
    if not 0 < settings.bounds.min_target_rate_per_s <= settings.bounds.max_target_rate_per_s:
        raise ConfigurationError(
            f"bounds.min_target_rate_per_s: {settings.bounds.min_target_rate_per_s} is not between 0 "
            "and bounds.max_target_rate_per_s; lower it or raise the other"
        )
    if settings.bounds.crash_limit < 2:
        raise ConfigurationError(
            f"bounds.crash_limit: use 2 or more, not {settings.bounds.crash_limit}"
        )
    if not settings.bounds.crash_quarantine_ms > 0:
        raise ConfigurationError(
            f"bounds.crash_quarantine_ms: use more than 0, not {settings.bounds.crash_quarantine_ms}"
        )
    if settings.bounds.max_response_bytes < 1:
        raise ConfigurationError("bounds.max_response_bytes: use 1 byte or more")
    if settings.bounds.max_held_response_bytes < 2 * settings.bounds.max_response_bytes:
        raise ConfigurationError(
            f"bounds.max_held_response_bytes: {settings.bounds.max_held_response_bytes} is less than "
            "twice bounds.max_response_bytes; raise it or lower the other"
        )
    if settings.bounds.max_declaration_bytes < 1:
        raise ConfigurationError("bounds.max_declaration_bytes: use 1 byte or more")
    if not settings.memory_mb > 0:
        raise ConfigurationError(f"memory_mb: use more than 0, not {settings.memory_mb}")
    if settings.max_descriptors < 0:
        raise ConfigurationError(
            f"max_descriptors: use 0 or more, not {settings.max_descriptors}; "
            "0 stands for the limit of the process"
        )
    if settings.tolerated_losses < 0:
        raise ConfigurationError("tolerated_losses: use 0 or more")
