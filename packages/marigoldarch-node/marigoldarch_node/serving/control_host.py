"""The process of a control host.

It keeps a replica of the declaration's store, registers targets, and serves the directory, where
callers look up entries.
"""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldarch.exceptions import CodecError, DamagedLogError
from marigoldarch.serving.cold_news import TargetsCold
from marigoldarch.serving.declaration import (
    ServingDeclaration,
    describe_fault,
    validate_declaration,
)
from marigoldarch.serving.presence import (
    DATA_FORMAT,
    HELLO_INTERVAL_MS,
    Hello,
    HostsKnown,
    NodeRole,
    Presence,
)
from marigoldarch.serving.watch import (
    WATCH_MESSAGES,
    EntriesChanged,
    HostStatus,
    NodesTold,
    pack_targets,
)
from marigoldarch.settings import ControlSettings
from marigoldarch.store.document import Document
from marigoldarch.store.messages import STORE_MESSAGES, TargetsHeard, TargetsNoted
from marigoldarch.store.reducer import Store, StoreSettings
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.serving.body_reader import too_large
from marigoldarch_node.serving.caller_guard import CallerGuard
from marigoldarch_node.serving.datagrams import DatagramSocket
from marigoldarch_node.serving.departure_recorder import ControlHosts
from marigoldarch_node.serving.dialect import (
    Announce,
    EndEvacuation,
    Evacuate,
    FindEntries,
    GetDeclaration,
    Leave,
    PutDeclaration,
)
from marigoldarch_node.serving.evacuation_orders import EvacuationOrders, OrderContext
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.http_server import (
    JSON_HEADERS,
    HttpServer,
    ServerLimits,
    ServerState,
)
from marigoldarch_node.serving.limit_history import LimitHistory
from marigoldarch_node.serving.metrics import ServingMetrics
from marigoldarch_node.serving.metrics_server import serve_metrics
from marigoldarch_node.serving.peer_stream import (
    DOCUMENT_PATH,
    MESSAGES_PATH,
    REMOTE_STATUS_INTERVAL,
    Subscribers,
    Subscription,
    subscriber_data_centre,
    subscriber_role,
)
from marigoldarch_node.serving.store_runtime import StoreRuntime
from marigoldarch_node.serving.stored_declaration import (
    compress_declaration,
    decompress_declaration,
)
from marigoldarch_node.serving.target_registrar import TargetFiles, TargetRegistrar
from marigoldarch_node.storage.departure_file import DepartureFile
from marigoldarch_node.storage.folder import DataFolder
from marigoldarch_node.storage.target_file import TargetFile

if TYPE_CHECKING:
    from pathlib import Path

    from marigoldarch.control.durable import DurableState
    from marigoldarch.serving.report_recipients import EntryNode
    from marigoldarch_node.serving.body_reader import Refusal
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.http_server import Exchange, Request
    from marigoldarch_node.serving.settings import ServingSettings

STORE_TIMEOUT_MS = 900.0
"""How long a request waits for the store to put or read a document. Clients try another control host
after one second without a response."""

DIRECTORY_TTL_MS = 1000.0
"""How long callers may use a directory response: a third of the time for which a stopping entry
accepts requests, as some callers use it for three times as long."""

CONTROL_SHARE = 1 / 2
"""The part of the connections for each of the addresses of control and directory."""

INSTALLATION = "serving"

STORE_TIMING = ControlSettings(
    append_interval_ms=100.0,
    election_timeout_min_ms=350.0,
    election_timeout_max_ms=700.0,
    snapshot_entries=12,
    log_tail_entries=6,
)
"""The log holds whole documents, so it is compacted after few entries. The hosts are about a
millisecond apart, so a leader is replaced when three of its appends are missing."""

log = EventLog("control")


class ControlHost:
    """Runs one control host."""

    def __init__(
        self, settings: ServingSettings, dialect: Dialect, data_folder: Path, start_id: int
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._start_id = start_id
        self._clock = SystemClock()
        self._rng = random.Random(start_id)
        self._started_ms = self._clock.monotonic_ms()
        self._metrics = ServingMetrics()
        self._guard = CallerGuard(settings, self._metrics, self._clock, 0)
        self._sent_declaration = (Document(), b"")
        self._presence = Presence(self._started_ms, settings.data_centre)
        self._entry_subscribers = Subscribers(WATCH_MESSAGES)
        self._control_subscribers = Subscribers(STORE_MESSAGES)
        self._folder = DataFolder(data_folder, settings.node, INSTALLATION)
        store_settings = StoreSettings(
            settings.peer_address,
            settings.control_peers if settings.is_first_start else (),
            settings.tolerated_losses,
            STORE_TIMING,
            start_id,
        )
        store = Store(store_settings, _open_data_folder(self._folder))
        self._store = StoreRuntime(
            store, self._folder, self._clock, self._metrics, self._control_subscribers.send
        )
        self._store.on_document = self._on_document
        self._store.on_evacuations = self._publish_status
        self._evacuation_orders = EvacuationOrders(
            self._store, self._clock, self._metrics, STORE_TIMEOUT_MS
        )
        self._targets = TargetRegistrar(
            dialect,
            self._clock,
            self._metrics,
            self._entry_subscribers,
            self._control_subscribers,
            TargetFiles(TargetFile(data_folder), DepartureFile(data_folder)),
            settings.data_centre,
            self._count_hosts,
        )
        self._targets.restore()
        self._update_cold_services(store.document)
        self._seed_hosts: set[str] = set(settings.control_peers)
        self._subscribed: set[str] = set()
        self._last_sent_hosts: tuple[str, ...] = ()
        self._last_sent_entries: dict[str, set[EntryNode]] = {}
        self._last_sent_status: HostStatus | None = None
        self._status_count = 0
        self._serial = 0
        self._is_leaving = False
        self._nursery: trio.Nursery | None = None
        self._datagrams: DatagramSocket | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        settings = self._settings
        self._datagrams = await DatagramSocket.open(settings.peer_address, Hello | HostsKnown)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            peer_limits = LimitHistory(ServerLimits(body_bytes=0))
            peers = ServerState(self._serve_peer, peer_limits, self._clock)
            await nursery.start(HttpServer(peers).serve, settings.peer_address)
            limits = LimitHistory(ServerLimits(body_bytes=settings.bounds.max_declaration_bytes))
            for address in (settings.control_address, settings.directory_address):
                if address:
                    state = self._guard.server_state(
                        self._serve_control_request,
                        limits,
                        share=CONTROL_SHARE,
                        check_head=self._refuse_by_head,
                    )
                    await nursery.start(HttpServer(state).serve, address)
            await serve_metrics(settings, self._metrics, self._guard, self._gauge_values, nursery)
            nursery.start_soon(self._store.run, lambda: self._presence.control_hosts)
            nursery.start_soon(self._datagrams.receive, self._on_datagram)
            nursery.start_soon(self._send_hellos)
            nursery.start_soon(self._targets.relay_renewals)
            nursery.start_soon(self._targets.save_changes)
            nursery.start_soon(self._targets.record_departures)

    async def stop(self) -> None:
        """Transfer leadership and announce that this host leaves, before the process ends."""
        self._is_leaving = True
        self._store.transfer_leadership()
        await self._send_hello()

    def apply_settings(self, settings: ServingSettings) -> None:
        """Apply a changed settings file; control hosts that it names are added."""
        self._settings = settings
        self._seed_hosts.update(settings.control_peers)

    def _gauge_values(self) -> dict[str, float]:
        replica = self._store.store.replica
        return {
            "is_leader": replica.is_leader,
            "term": replica.term,
            "voters": len(replica.configuration.voters),
            "commit_index": replica.commit_index,
            "declaration_version": self._store.store.document.version,
            "evacuated_data_centres": len(self._store.store.evacuations.data_centres),
            "targets": len(self._targets.targets),
            "watchers": len(self._entry_subscribers.names),
            "watch_bytes": self._entry_subscribers.sent_bytes,
            "log_bytes": self._control_subscribers.sent_bytes,
            "held_request_bytes": self._guard.memory.held_bytes,
        }

    # Nodes

    async def _send_hellos(self) -> None:
        while True:
            await self._send_hello()
            self._publish_status()
            self._guard.tend()
            now_ms = self._clock.monotonic_ms()
            self._targets.expire()
            self._targets.tell_elsewhere()
            self._presence.expire(now_ms)
            await trio.sleep(HELLO_INTERVAL_MS / 1000.0)

    async def _send_hello(self) -> None:
        self._serial += 1
        settings = self._settings
        hello = Hello(
            settings.peer_address,
            NodeRole.CONTROL,
            self._start_id,
            self._serial,
            settings.data_centre,
            "",
            self._store.store.replica.name.replica_id,
            is_ready=True,
            is_leaving=self._is_leaving,
            data_format=DATA_FORMAT,
        )
        self._presence.receive(hello, self._clock.monotonic_ms())
        others = [host for host in self._known_hosts() if host != settings.peer_address]
        for host in others:
            self._subscribe(host)
        await self._datagrams.send(hello, *others)

    def _known_hosts(self) -> list[str]:
        """Return the control hosts known from hellos, settings, other hosts and the replica set."""
        voters = {name.node for name in self._store.store.replica.configuration.members}
        return sorted({*self._presence.control_hosts, *self._seed_hosts, *voters})

    def _count_hosts(self) -> ControlHosts:
        """Return how many control hosts are known."""
        return ControlHosts(len(self._known_hosts()), self._settings.tolerated_losses)

    async def _on_datagram(self, message: Hello | HostsKnown) -> None:
        match message:
            case Hello():
                await self._on_hello(message)
            case HostsKnown(hosts=hosts):
                self._seed_hosts.update(hosts)

    async def _on_hello(self, hello: Hello) -> None:
        now_ms = self._clock.monotonic_ms()
        is_new = self._presence.receive(hello, now_ms)
        if is_new:
            log.info("new node discovered", peer=hello.node, role=str(hello.role))
        # Every fourth hello is answered with the control hosts that this one knows. Subscribers get
        # them in their streams.
        if hello.serial % 4 == 1 and hello.node not in self._entry_subscribers.names:
            known = HostsKnown(self._presence.live_host_names())
            await self._datagrams.send(known, hello.node)

    def _subscribe(self, host: str) -> None:
        if host in self._subscribed:
            return
        self._subscribed.add(host)
        subscription = Subscription(
            self._settings.peer_address,
            NodeRole.CONTROL,
            host,
            STORE_MESSAGES,
            self._on_peer_message,
            lambda peer, is_connected: None,
        )
        self._nursery.start_soon(subscription.run)

    # Messages between control hosts

    async def _serve_peer(self, exchange: Exchange) -> None:
        path = exchange.request.target.partition("?")[0]
        if path == MESSAGES_PATH and subscriber_role(exchange) == NodeRole.ENTRY:
            messages = self._initial_entry_messages(subscriber_data_centre(exchange))
            cold_targets = self._targets.cold_targets()
            await self._entry_subscribers.serve(exchange, messages, cold_targets)
        elif path == MESSAGES_PATH:
            targets = TargetsHeard(0, tuple(self._targets.known_targets))
            cold_targets = self._targets.cold_targets()
            await self._control_subscribers.serve(exchange, [targets], cold_targets)
        elif path == DOCUMENT_PATH:
            document = self._store.store.document
            await exchange.answer(200, JSON_HEADERS, msgspec.json.encode(document))
        else:
            await exchange.answer(404, [])

    def _on_peer_message(self, peer: str, message: object) -> None:
        match message:
            case TargetsHeard() | TargetsNoted() | TargetsCold():
                self._targets.receive(peer, message)
            case _:
                self._store.receive(peer, message)

    # Streams to entries

    def _initial_entry_messages(self, data_centre: str) -> list[object]:
        """Return the whole state, which an entry of a data centre gets when it connects."""
        targets = pack_targets(self._targets.targets)
        entries = self._last_sent_entries.setdefault(
            data_centre, self._presence.entries_for(data_centre, self._clock.monotonic_ms())
        )
        nodes = NodesTold(self._live_hosts(), tuple(sorted(entries)))
        return [targets, nodes, self._host_status()]

    def _host_status(self) -> HostStatus:
        """Return the status that entries get."""
        now_ms = self._clock.monotonic_ms()
        evacuations = self._store.store.evacuations
        return HostStatus(
            self._store.store.document.version,
            self._targets.has_all_targets,
            self._settings.data_centre,
            len(self._presence.entry_nodes(now_ms)),
            evacuations if evacuations.revision else None,
        )

    def _live_hosts(self) -> tuple[str, ...]:
        return tuple(sorted(self._presence.live_host_names()))

    def _publish_status(self) -> None:
        """Send the host's status to the entries, and the changes of nodes.

        Entries of other data centres get a status that says nothing new less often. The empty
        message to the other control hosts keeps their streams from timing out.
        """
        self._publish_nodes()
        status = self._host_status()
        last = self._last_sent_status
        is_news = last is None or replace(status, entry_count=last.entry_count) != last
        self._last_sent_status = status
        is_remote_due = self._status_count % REMOTE_STATUS_INTERVAL == 0
        self._status_count += 1
        for data_centre in self._entry_subscribers.groups:
            if is_news or is_remote_due or data_centre == self._settings.data_centre:
                self._entry_subscribers.send_to_group(data_centre, status)
        self._control_subscribers.send_to_all(TargetsHeard(0, ()))

    def _publish_nodes(self) -> None:
        """Send the entries of each data centre what has changed among the nodes that they know."""
        now_ms = self._clock.monotonic_ms()
        hosts = self._live_hosts()
        has_new_hosts = hosts != self._last_sent_hosts
        self._last_sent_hosts = hosts
        for data_centre in self._entry_subscribers.groups:
            entries = self._presence.entries_for(data_centre, now_ms)
            before = self._last_sent_entries.get(data_centre, set())
            self._last_sent_entries[data_centre] = entries
            if has_new_hosts:
                nodes = NodesTold(hosts, tuple(sorted(entries)))
                self._entry_subscribers.send_to_group(data_centre, nodes)
            elif entries != before:
                removed = tuple(sorted(entry.node for entry in before - entries))
                changed = EntriesChanged(tuple(sorted(entries - before)), removed)
                self._entry_subscribers.send_to_group(data_centre, changed)

    def _on_document(self, document: Document) -> None:
        self._update_cold_services(document)
        self._publish_status()

    def _update_cold_services(self, document: Document) -> None:
        """Learn from a declaration of which services' targets entries must know cold phases."""
        if not document.version:
            return
        try:
            declaration = self._dialect.read_declaration(decompress_declaration(document))
        except CodecError as error:
            log.error("stored declaration cannot be decoded", reason=str(error))
            return
        if isinstance(declaration, ServingDeclaration):
            self._targets.cold_services = frozenset(
                service.name for service in declaration.services if service.cold is not None
            )

    # Requests of targets, operators and callers

    async def _serve_control_request(self, exchange: Exchange) -> None:
        match self._dialect.read_control_request(exchange.request):
            case Announce(target_id=target_id):
                await self._targets.handle_announcement(exchange, target_id)
            case Leave(target_id=target_id):
                await self._targets.handle_leave(exchange, target_id)
            case PutDeclaration():
                await self._put_declaration(exchange)
            case GetDeclaration():
                await self._get_declaration(exchange)
            case Evacuate(data_centre=data_centre):
                await self._evacuation_orders.handle(
                    exchange, data_centre, self._order_context(), is_withdrawn=False
                )
            case EndEvacuation(data_centre=data_centre):
                await self._evacuation_orders.handle(
                    exchange, data_centre, self._order_context(), is_withdrawn=True
                )
            case FindEntries(data_centre=data_centre):
                await self._find_entries(exchange, data_centre)
            case _:
                await exchange.answer(404, [])

    async def _put_declaration(self, exchange: Exchange) -> None:
        body = exchange.request.body
        decoded = self._dialect.read_declaration(body)
        if isinstance(decoded, ServingDeclaration):
            decoded = validate_declaration(decoded)
        match decoded:
            case ServingDeclaration(version=version):
                pass
            case fault:
                log.warning("declaration refused", reason=describe_fault(fault))
                self._metrics.declarations.inc({"outcome": "invalid"})
                await exchange.answer(
                    400, JSON_HEADERS, msgspec.json.encode({"error": describe_fault(fault)})
                )
                return
        document = Document(version, compress_declaration(body))
        is_stored = await self._store.put(document, STORE_TIMEOUT_MS)
        log.info("declaration put", version=version, is_stored=is_stored)
        self._metrics.declarations.inc({"outcome": "stored" if is_stored else "unsure"})
        await exchange.answer(200 if is_stored else 503, JSON_HEADERS, b"{}")

    async def _get_declaration(self, exchange: Exchange) -> None:
        document = await self._store.read(STORE_TIMEOUT_MS)
        if document is None or not document.version:
            log.warning("read refused", reason="no majority" if document is None else "empty")
            await exchange.answer(503, JSON_HEADERS, b"{}")
            return
        try:
            body = self._encoded_declaration(document)
        except CodecError as error:
            log.error("read refused", reason=str(error))
            await exchange.answer(503, JSON_HEADERS, b"{}")
            return
        await exchange.answer(200, JSON_HEADERS, body)

    def _encoded_declaration(self, document: Document) -> bytes:
        """Return the declaration of a document; callers that read the same one share its bytes."""
        if self._sent_declaration[0] != document:
            self._sent_declaration = (document, decompress_declaration(document))
        return self._sent_declaration[1]

    def _refuse_by_head(self, request: Request, body_bytes: int) -> Refusal | None:
        """Refuse a large body unless it is a declaration; no other request has one."""
        is_declaration = isinstance(self._dialect.read_control_request(request), PutDeclaration)
        return None if is_declaration else too_large()

    def _order_context(self) -> OrderContext:
        """Return what this host knows for an order.

        The data centres are those of the settings; if these name none, those of nodes and targets.
        """
        now_ms = self._clock.monotonic_ms()
        data_centres = set(self._settings.data_centres) or {
            self._settings.data_centre,
            *(entry.data_centre for entry in self._presence.entry_nodes(now_ms)),
            *(target.data_centre for target in self._targets.targets),
        }
        return OrderContext(data_centres, self._presence.entries_of_earlier_builds(now_ms))

    async def _find_entries(self, exchange: Exchange, data_centre: str) -> None:
        now_ms = self._clock.monotonic_ms()
        addresses = self._presence.addresses(data_centre, now_ms, self._rng)
        if not addresses or not self._presence.is_warmed_up(now_ms):
            await exchange.answer(503, JSON_HEADERS, b"{}")
            return
        await exchange.answer(
            200, JSON_HEADERS, self._dialect.encode_entry_addresses(addresses, DIRECTORY_TTL_MS)
        )


def _open_data_folder(folder: DataFolder) -> DurableState:
    """Read the data folder; if the log is damaged, move it away and join as a new replica."""
    try:
        return folder.open()
    except DamagedLogError as error:
        log.error("damaged log moved away", reason=str(error))
        folder.quarantine_damaged_log()
        return folder.open()
