"""The options of a node, and the settings that result from them."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

from expression import Error, Ok, Result

from marigoldarch.exceptions import ConfigurationError
from marigoldarch.identifiers import NodeAddress
from marigoldarch.settings import ControlSettings, CoreSettings, EntrySettings
from marigoldarch_node.config.options import (
    Address,
    Choice,
    FilePath,
    Name,
    NameList,
    Number,
    Option,
    PeerList,
    Secret,
    Sha256List,
)
from marigoldarch_node.security.keys import KeyDigests
from marigoldarch_node.security.tls import TlsFiles

if TYPE_CHECKING:
    from collections.abc import Mapping
    from pathlib import Path

_RUN_ID_BYTES = 8
_MS_PER_HOUR = 3_600_000.0
_BYTES_PER_MB = 1_000_000


class NodeOptions:
    """Every option of `marigoldarchd`."""

    node = Name("Name of this node.", is_required=True)
    data_centre = Name("Data centre of this node.", is_required=True)
    caller_address = Address("IP:PORT for callers, targets and operators.", is_required=True)
    peer_address = Address("IP:PORT for the other nodes.", is_required=True)
    voters = NameList(
        "Nodes that hold a replica of the log from the first start on.", is_required=True
    )
    peers = PeerList("All nodes, including this one.", is_required=True)
    data_folder = FilePath(
        "Folder of the replicated log; required on voters and nodes that a repair may make voters.",
        None,
    )
    installation = Name("Name of the installation; stored in its data folders.", "marigoldarch")
    log_format = Choice("Format of the log output.", "text", ("text", "json"))
    log_level = Choice("Lowest level to log.", "info", ("debug", "info", "warning", "error"))
    timeline_file = FilePath("File that time line events are appended to.", None)
    directory_ttl_ms = Number("Time-to-live of directory answers, ms.", 2000, 100, 60_000)
    ledger_retention_h = Number(
        "Retention of calls that run at most once, h; a key that is resent later runs again.",
        72,
        37,
        8_760,
    )
    ledger_max_mb = Number(
        "Maximum memory for calls that run at most once, MB; beyond it, new ones are refused.",
        16,
        1,
        1024,
    )
    operator_key_sha256 = Sha256List("Digests of the keys that operators may present.", ())
    target_key_sha256 = Sha256List("Digests of the keys that targets may present.", ())
    peer_key_sha256 = Sha256List(
        "Digests of the keys that other nodes may present to this one.", ()
    )
    peer_key = Secret(
        "Key that this node presents to other nodes; preferably set by the environment variable.",
        "",
    )
    keys_file = FilePath("TOML file with additional key digests, reloaded when it changes.", None)
    tls_certificate = FilePath("PEM certificate for callers, targets and operators.", None)
    tls_key = FilePath("PEM private key of --tls-certificate.", None)
    peer_tls_certificate = FilePath("PEM certificate for the links between nodes.", None)
    peer_tls_key = FilePath("PEM private key of --peer-tls-certificate.", None)
    peer_tls_authority = FilePath(
        "PEM certificate of the authority that signs the nodes' certificates.", None
    )
    max_connections = Number(
        "Maximum number of concurrent caller connections.", 10_000, 1, 1_000_000
    )


def declared_options() -> dict[str, Option[Any]]:
    """Return the options by name, in the order of their declaration."""
    return {name: item for name, item in vars(NodeOptions).items() if isinstance(item, Option)}


class NodeSettings:
    """The validated settings of a node."""

    def __init__(self, values: dict[str, Any]) -> None:
        self._values = values
        self._core = _core_settings(values)

    @property
    def core(self) -> CoreSettings:
        """Return the settings that the core package uses."""
        return self._core

    @property
    def data_folder(self) -> Path | None:
        """Return the folder of the replicated log, or `None` on a node that stores none."""
        return self._values["data_folder"]

    @property
    def installation(self) -> str:
        """Return the name of the installation."""
        return self._values["installation"]

    @property
    def timeline_file(self) -> Path | None:
        """Return the file that time line events are appended to, or `None`."""
        return self._values["timeline_file"]

    @property
    def log_format(self) -> str:
        """Return the format of the log output."""
        return self._values["log_format"]

    @property
    def log_level(self) -> str:
        """Return the lowest level to log."""
        return self._values["log_level"]

    @property
    def digests(self) -> KeyDigests:
        """Return the key digests given by flags or environment variables."""
        names = ("operator_key_sha256", "target_key_sha256", "peer_key_sha256")
        return KeyDigests(*(self._values[name] for name in names))

    @property
    def keys_file(self) -> Path | None:
        """Return the file of additional key digests, or `None`."""
        return self._values["keys_file"]

    @property
    def caller_tls(self) -> TlsFiles | None:
        """Return the TLS files of the interface for callers, targets and operators, or `None`."""
        return self._tls_files("tls_certificate", "tls_key")

    @property
    def peer_tls(self) -> TlsFiles | None:
        """Return the TLS files of the links between nodes, or `None`."""
        return self._tls_files("peer_tls_certificate", "peer_tls_key", "peer_tls_authority")

    @property
    def max_connections(self) -> int:
        """Return the maximum number of concurrent caller connections."""
        return int(self._values["max_connections"])

    @property
    def peer_key(self) -> str:
        """Return the key that this node presents to other nodes; empty if it has none."""
        return self._values["peer_key"]

    def _tls_files(self, certificate: str, key: str, authority: str = "") -> TlsFiles | None:
        path = self._values[certificate]
        if path is None:
            return None
        option = vars(NodeOptions)[certificate]
        name = f"{option.flag} ({option.variable})"
        return TlsFiles(name, path, self._values[key], self._values.get(authority))


def load_settings(
    flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Result[NodeSettings, ConfigurationError]:
    """Validate flags and environment variables; a flag takes precedence over its variable."""
    options = declared_options()
    unknown = sorted(set(flags) - set(options))
    if unknown:
        remedy = "see --help for the flags that exist"
        return Error(ConfigurationError(f"--{unknown[0].replace('_', '-')}: unknown; {remedy}"))
    values: dict[str, Any] = {}
    try:
        for name, option in options.items():
            values[name] = _read_option(option, flags, environment)
        _check_consistency(values)
    except ConfigurationError as error:
        return Error(error)
    return Ok(NodeSettings(values))


def _read_option(
    option: Option[Any], flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Any:
    if option.name in flags:
        return option.parse(flags[option.name])
    if option.variable in environment:
        return option.parse(environment[option.variable])
    if option.is_required:
        raise option.error("required; set the flag or the environment variable")
    return option.default


def _check_consistency(values: dict[str, Any]) -> None:
    """Check rules that involve several options; raise `ConfigurationError`."""
    peers = {peer.node for peer in values["peers"]}
    if values["node"] not in peers:
        raise NodeOptions.peers.error(f"add this node, {values['node']}")
    _check_unique(values)
    missing = sorted(set(values["voters"]) - peers)
    if missing:
        raise NodeOptions.voters.error(f"add {missing[0]} to --peers or remove it here")
    _check_tls(values)
    if values["peer_key_sha256"] and not values["peer_key"]:
        raise NodeOptions.peer_key.error("required with --peer-key-sha256")
    if values["node"] in values["voters"] and values["data_folder"] is None:
        raise NodeOptions.data_folder.error(
            "required on a voter; use a folder on a persistent disk"
        )


def _check_unique(values: dict[str, Any]) -> None:
    """Check that names and addresses are unique; a repeated voter would have two votes."""
    if len(set(values["voters"])) < len(values["voters"]):
        raise NodeOptions.voters.error("name each node once")
    names = [peer.node for peer in values["peers"]]
    addresses = [a for peer in values["peers"] for a in (peer.caller_address, peer.peer_address)]
    if len(set(names)) < len(names) or len(set(addresses)) < len(addresses):
        raise NodeOptions.peers.error("name each node and each address once")
    own = next(peer for peer in values["peers"] if peer.node == values["node"])
    if (own.caller_address, own.peer_address) != (values["caller_address"], values["peer_address"]):
        raise NodeOptions.peers.error("list this node with the addresses of its own flags")


def _check_tls(values: dict[str, Any]) -> None:
    """Check that the TLS files of an interface are given together or not at all."""
    for names in (
        ("tls_certificate", "tls_key"),
        ("peer_tls_certificate", "peer_tls_key", "peer_tls_authority"),
    ):
        given = [name for name in names if values[name] is not None]
        missing = [name for name in names if values[name] is None]
        if given and missing:
            option = vars(NodeOptions)[missing[0]]
            raise option.error(f"required with {vars(NodeOptions)[given[0]].flag}")


def _core_settings(values: dict[str, Any]) -> CoreSettings:
    address = NodeAddress(
        values["node"], values["data_centre"], values["caller_address"], values["peer_address"]
    )
    return CoreSettings(
        address,
        values["voters"],
        values["peers"],
        secrets.token_hex(_RUN_ID_BYTES),
        secrets.randbits(32),
        control=ControlSettings(
            ledger_retention_ms=values["ledger_retention_h"] * _MS_PER_HOUR,
            ledger_max_bytes=int(values["ledger_max_mb"] * _BYTES_PER_MB),
        ),
        entry=EntrySettings(directory_ttl_ms=values["directory_ttl_ms"]),
        has_data_folder=values["data_folder"] is not None,
    )
