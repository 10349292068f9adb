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
    Folder,
    Name,
    Names,
    Number,
    Option,
    Peers,
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
    voters = Names("Nodes that hold the replicated log.", is_required=True)
    peers = Peers("All nodes, this one included.", is_required=True)
    data_folder = Folder(
        "Folder of the replicated log; needed on voters, and where a repair may place one.", None
    )
    installation = Name("Name of the installation; its data folders carry it.", "marigoldarch")
    log_format = Choice("Format of the log.", "text", ("text", "json"))
    log_level = Choice("Least level to log.", "info", ("debug", "info", "warning", "error"))
    timeline_file = Folder("File that time line events are appended to.", None)
    directory_ttl_ms = Number("Time-to-live of directory answers, ms.", 2000, 100, 60_000)
    ledger_retention_h = Number(
        "How long calls that run at most once are remembered, h; a key resent later runs again.",
        72,
        37,
        8_760,
    )
    ledger_max_mb = Number(
        "Most memory for those calls, MB; then new ones are refused.", 16, 1, 1024
    )
    operator_key_sha256 = Sha256List("Digests of the keys that operators may present.", ())
    target_key_sha256 = Sha256List("Digests of the keys that targets may present.", ())
    peer_key_sha256 = Sha256List("Digests of the keys that nodes may present here.", ())
    peer_key = Secret("Key that this node presents to the others; better as a variable.", "")
    keys_file = Folder("TOML file with more digests, loaded anew when it changes.", None)
    tls_certificate = Folder("PEM certificate for callers, targets and operators.", None)
    tls_key = Folder("PEM key of --tls-certificate.", None)
    peer_tls_certificate = Folder("PEM certificate for the links between nodes.", None)
    peer_tls_key = Folder("PEM key of --peer-tls-certificate.", None)
    peer_tls_authority = Folder("PEM authority that signs the nodes' certificates.", None)
    max_connections = Number("Most connections of callers at once.", 10_000, 1, 1_000_000)


def declared_options() -> dict[str, Option[Any]]:
    """Return the options by name, in their declared order."""
    return {name: item for name, item in vars(NodeOptions).items() if isinstance(item, Option)}


class NodeSettings:
    """The validated settings of a node."""

    def __init__(self, values: dict[str, Any]) -> None:
        self._values = values
        self._core = _core_settings(values)

    @property
    def core(self) -> CoreSettings:
        """Return the settings of the core."""
        return self._core

    @property
    def data_folder(self) -> Path | None:
        """Return the folder of the replicated log."""
        return self._values["data_folder"]

    @property
    def installation(self) -> str:
        """Return the name of the installation."""
        return self._values["installation"]

    @property
    def timeline_file(self) -> Path | None:
        """Return the file of time line events."""
        return self._values["timeline_file"]

    @property
    def log_format(self) -> str:
        """Return the format of the log."""
        return self._values["log_format"]

    @property
    def log_level(self) -> str:
        """Return the least level to log."""
        return self._values["log_level"]

    @property
    def digests(self) -> KeyDigests:
        """Return the digests of the keys given as flags or variables."""
        names = ("operator_key_sha256", "target_key_sha256", "peer_key_sha256")
        return KeyDigests(*(self._values[name] for name in names))

    @property
    def keys_file(self) -> Path | None:
        """Return the file of further digests."""
        return self._values["keys_file"]

    @property
    def caller_tls(self) -> TlsFiles | None:
        """Return the certificate files of the interface to callers."""
        return self._tls("tls_certificate", "tls_key")

    @property
    def peer_tls(self) -> TlsFiles | None:
        """Return the certificate files of the links between nodes."""
        return self._tls("peer_tls_certificate", "peer_tls_key", "peer_tls_authority")

    @property
    def max_connections(self) -> int:
        """Return how many connections of callers may be open at once."""
        return int(self._values["max_connections"])

    @property
    def peer_key(self) -> str:
        """Return the key that nodes present to each other."""
        return self._values["peer_key"]

    def _tls(self, certificate: str, key: str, authority: str = "") -> TlsFiles | None:
        path = self._values[certificate]
        if path is None:
            return None
        option = vars(NodeOptions)[certificate]
        name = f"{option.flag} ({option.variable})"
        return TlsFiles(name, path, self._values[key], self._values.get(authority))


def load_settings(
    flags: Mapping[str, Any], environment: Mapping[str, str]
) -> Result[NodeSettings, ConfigurationError]:
    """Validate flags, which go before environment variables."""
    options = declared_options()
    unknown = sorted(set(flags) - set(options))
    if unknown:
        remedy = "see --help for the flags that exist"
        return Error(ConfigurationError(f"--{unknown[0].replace('_', '-')}: unknown; {remedy}"))
    values: dict[str, Any] = {}
    try:
        for name, option in options.items():
            values[name] = _read(option, flags, environment)
        _check_together(values)
    except ConfigurationError as error:
        return Error(error)
    return Ok(NodeSettings(values))


def _read(option: Option[Any], flags: Mapping[str, Any], environment: Mapping[str, str]) -> Any:
    if option.name in flags:
        return option.parse(flags[option.name])
    if option.variable in environment:
        return option.parse(environment[option.variable])
    if option.is_required:
        raise option.fail("required; set the flag or the environment variable")
    return option.default


def _check_together(values: dict[str, Any]) -> None:
    peers = {peer.node for peer in values["peers"]}
    if values["node"] not in peers:
        raise NodeOptions.peers.fail(f"add this node, {values['node']}")
    _check_unique(values)
    missing = sorted(set(values["voters"]) - peers)
    if missing:
        raise NodeOptions.voters.fail(f"add {missing[0]} to --peers or remove it here")
    _check_tls(values)
    if values["peer_key_sha256"] and not values["peer_key"]:
        raise NodeOptions.peer_key.fail("required where the other nodes' keys are checked")
    if values["node"] in values["voters"] and values["data_folder"] is None:
        raise NodeOptions.data_folder.fail("required on a voter; name a folder on a disk")


def _check_unique(values: dict[str, Any]) -> None:
    """Check that names and addresses occur once; a repeated voter would count twice."""
    if len(set(values["voters"])) < len(values["voters"]):
        raise NodeOptions.voters.fail("name each node once")
    names = [peer.node for peer in values["peers"]]
    addresses = [a for peer in values["peers"] for a in (peer.caller_address, peer.peer_address)]
    if len(set(names)) < len(names) or len(set(addresses)) < len(addresses):
        raise NodeOptions.peers.fail("name each node and each address once")
    own = next(peer for peer in values["peers"] if peer.node == values["node"])
    if (own.caller_address, own.peer_address) != (values["caller_address"], values["peer_address"]):
        raise NodeOptions.peers.fail("give this node the addresses of its own flags")


def _check_tls(values: dict[str, Any]) -> None:
    for names in (
        ("tls_certificate", "tls_key"),
        ("peer_tls_certificate", "peer_tls_key", "peer_tls_authority"),
    ):
        given = [name for name in names if values[name] is not None]
        missing = [name for name in names if values[name] is None]
        if given and missing:
            option = vars(NodeOptions)[missing[0]]
            raise option.fail(f"required with {vars(NodeOptions)[given[0]].flag}")


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
