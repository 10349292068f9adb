"""The process of an entry: it serves callers and follows the control hosts and the other entries.

Control hosts send it targets, nodes and the version of the declaration over streams; it fetches the
declaration itself. Entries exchange their running work as datagrams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import trio

from marigoldarch.exceptions import CodecError
from marigoldarch.serving.candidates import cached_name_hash
from marigoldarch.serving.cold_news import TargetsCold
from marigoldarch.serving.declaration import ServingDeclaration
from marigoldarch.serving.limit_messages import LimitAnswer, LimitAsk
from marigoldarch.serving.presence import (
    DATA_FORMAT,
    HELLO_INTERVAL_MS,
    Hello,
    HostsKnown,
    NodeRole,
    hello_recipients,
)
from marigoldarch.serving.report_recipients import (
    EntryNode,
    ReportRecipients,
    is_summarizer,
    relay_recipients,
    report_recipients,
)
from marigoldarch.serving.routing import RoutingTable
from marigoldarch.serving.stopping import plan_stop
from marigoldarch.serving.target_lists import is_sound
from marigoldarch.serving.waiting_tickets import Lane
from marigoldarch.serving.watch import (
    WATCH_MESSAGES,
    EntriesChanged,
    HostStatus,
    NodesTold,
    TargetSilent,
    TargetsTold,
    TargetTold,
    unpack_targets,
)
from marigoldarch.serving.work_reports import PoolSummary, RelayedReport, WorkReport
from marigoldarch.store.document import Document
from marigoldarch_node.serving.attempt_plan import EntryContext
from marigoldarch_node.serving.caller_guard import SIDE_SHARE, CallerGuard
from marigoldarch_node.serving.datagrams import DatagramSocket
from marigoldarch_node.serving.dialect import CheckReadiness
from marigoldarch_node.serving.entry_state import EntryState, run_cleanup
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.http_server import HttpServer
from marigoldarch_node.serving.memory_reservations import ReservationManager
from marigoldarch_node.serving.metrics_server import serve_metrics
from marigoldarch_node.serving.peer_stream import (
    DOCUMENT_PATH,
    IDLE_TIMEOUT_S,
    REMOTE_IDLE_TIMEOUT_S,
    Subscription,
    fetch_body,
)
from marigoldarch_node.serving.proxy import Proxy
from marigoldarch_node.serving.stored_declaration import decompress_declaration
from marigoldarch_node.serving.target_connections import ResponseError, TargetConnectionPool
from marigoldarch_node.serving.target_paths import TargetPaths
from marigoldarch_node.serving.tunnel_server import TunnelServer

if TYPE_CHECKING:
    from marigoldarch.serving.targets import Target
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.http_server import Exchange
    from marigoldarch_node.serving.settings import ServingSettings

FETCH_TIMEOUT_S = 0.6
FETCH_RETRY_DELAY_S = 0.1
CONNECTION_CLEANUP_INTERVAL_S = 1.0
SUMMARY_INTERVAL_S = 0.3
"""How often the work that stays in a data centre is summarized for the others."""

UNFETCHED = (
    OSError,
    trio.TooSlowError,
    ResponseError,
    msgspec.MsgspecError,
    RecursionError,
    CodecError,
)
"""Why a declaration is not fetched from a control host, which may hold one that cannot be decoded."""

EntryMessage = WorkReport | PoolSummary | RelayedReport | HostsKnown | LimitAsk | LimitAnswer
"""The datagrams that an entry receives."""

log = EventLog("entry")


class EntryHost:
    """Runs one entry."""

    def __init__(self, settings: ServingSettings, dialect: Dialect, start_id: int) -> None:
        self._settings = settings
        self._dialect = dialect
        self._start_id = start_id
        self._state = EntryState(settings, start_id)
        connections = TargetConnectionPool(self._state.clock)
        self._paths = TargetPaths(self._state, dialect, connections)
        self._tunnels = TunnelServer(self._state, self._paths)
        self._reservations = ReservationManager(self._state, dialect, self._paths)
        proxy = Proxy(EntryContext(self._state, dialect, self._paths, self._reservations))
        self._guard = CallerGuard(
            settings,
            self._state.metrics,
            self._state.clock,
            settings.bounds.max_held_response_bytes,
        )
        self._caller_server = HttpServer(
            self._guard.server_state(
                proxy.handle, self._state.limits, check_head=proxy.refuse_by_head
            )
        )
        self._control_hosts: set[str] = set(settings.control_peers)
        self._subscribed: dict[str, trio.CancelScope] = {}
        self._versions_by_host: dict[str, int] = {}
        self._local_hosts: set[str] = set()
        self._entries_by_host: dict[str, set[EntryNode]] = {}
        self._entry_counts_by_host: dict[str, int] = {}
        self._own_node = EntryNode(settings.peer_address, settings.data_centre)
        self._newer_version = trio.Event()
        self._serial = 0
        self._nursery: trio.Nursery | None = None
        self._datagrams: DatagramSocket | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        settings, state = self._settings, self._state
        self._datagrams = await DatagramSocket.open(settings.peer_address, EntryMessage)
        state.permissions.send = self._send_limit_message
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            health = self._guard.server_state(self._serve_health, state.limits, share=SIDE_SHARE)
            await nursery.start(HttpServer(health).serve, settings.health_address)
            await nursery.start(self._caller_server.serve, settings.caller_address)
            await serve_metrics(settings, state.metrics, self._guard, self._gauge_values, nursery)
            await nursery.start(self._tunnels.serve)
            nursery.start_soon(self._paths.run)
            nursery.start_soon(self._datagrams.receive, self._on_datagram)
            nursery.start_soon(self._send_hellos)
            nursery.start_soon(self._send_work_reports)
            nursery.start_soon(self._send_summaries)
            nursery.start_soon(self._fetch_declarations)
            nursery.start_soon(self._close_expired_connections)
            nursery.start_soon(self._reservations.run)
            nursery.start_soon(run_cleanup, state)

    async def stop(self) -> None:
        """Leave the directory, then drain.

        New requests are accepted for a time, and running ones may finish until the grace time ends. Those
        that can't are refused by the proxy before they are sent.
        """
        state = self._state
        began_ms = state.clock.monotonic_ms()
        plan = state.stop_plan = plan_stop(began_ms, self._settings.bounds.stop_grace_ms)
        self._update_entries()
        self._caller_server.announce_closing()
        await self._send_hello(is_change=True)
        await trio.sleep((plan.accept_until_ms - began_ms) / 1000.0)
        self._caller_server.close_idle()
        while self._has_connections and state.clock.monotonic_ms() < plan.end_ms:
            self._caller_server.close_idle()
            await trio.sleep(0.05)
        log.info(
            "connections drained",
            open_connections=self._caller_server.open_connections,
            open_tunnels=self._tunnels.open_tunnels,
        )

    @property
    def _has_connections(self) -> bool:
        """Return whether callers, or other entries on their behalf, are still connected."""
        return bool(self._caller_server.open_connections or self._tunnels.open_tunnels)

    def apply_settings(self, settings: ServingSettings) -> None:
        """Apply a changed settings file; control hosts that it names are added."""
        self._settings = settings
        self._control_hosts.update(settings.control_peers)

    def _gauge_values(self) -> dict[str, float]:
        state = self._state
        return {
            "caller_connections": self._caller_server.open_connections,
            "caller_idle_timeouts": self._caller_server.idle_timeouts,
            "usable_targets": len(state.target_view.usable),
            "other_entries": state.workload.peer_count,
            "summarized_data_centres": state.workload.summary_count,
            "oldest_report_ms": state.workload.oldest_report_ms,
            "control_host_silence_ms": state.control_host_silence_ms,
            "declaration_version": state.table.version if state.table else 0,
            "lost_links": len(state.links.lost_targets),
            "lost_data_centres": len(state.links.lost_data_centres),
            "tunnels_in_use": self._paths.tunnels_in_use,
            "carried_tunnels": self._tunnels.open_tunnels,
            "tickets": self._reservations.lease_count,
            "evacuated_data_centres": len(state.evacuations.data_centres),
            "leaving_targets": len(state.target_view.leaving),
            "waiting_targets": state.waits.count,
            "limited_targets": len(state.target_limits.rates),
            "cold_targets": state.cold.count(state.clock.monotonic_ms()),
            "waiting_short": state.waiting.count(Lane.SHORT),
            "waiting_long": state.waiting.count(Lane.LONG),
            "lent_limits": state.permissions.account_count,
            "suspected_parts": state.crashes.suspect_count,
            "held_response_bytes": state.response_memory.held_bytes,
            "held_response_head_bytes": state.response_heads.held_bytes,
            "held_request_bytes": self._guard.memory.held_bytes,
        }

    async def _serve_health(self, exchange: Exchange) -> None:
        if not isinstance(self._dialect.read_control_request(exchange.request), CheckReadiness):
            await exchange.answer(404, [])
            return
        await exchange.answer(200 if self._state.is_ready else 503, [])

    # Control hosts

    async def _send_hellos(self) -> None:
        was_ready = False
        while True:
            is_ready = self._state.is_ready
            is_change = is_ready != was_ready
            if is_change:
                log.info(
                    "readiness", is_ready=is_ready, targets=len(self._state.target_view.usable)
                )
                was_ready = is_ready
            await self._send_hello(is_change=is_change)
            await trio.sleep(HELLO_INTERVAL_MS / 1000.0)

    async def _send_hello(self, *, is_change: bool) -> None:
        hello = self._hello()
        for host in self._control_hosts:
            self._subscribe(host)
        recipients = hello_recipients(
            self._control_hosts, self._local_hosts, hello.serial, is_change=is_change
        )
        await self._datagrams.send(hello, *recipients)

    def _hello(self) -> Hello:
        self._serial += 1
        settings, state = self._settings, self._state
        return Hello(
            settings.peer_address,
            NodeRole.ENTRY,
            self._start_id,
            self._serial,
            settings.data_centre,
            settings.caller_address,
            "",
            state.is_ready,
            state.stop_plan is not None,
            DATA_FORMAT,
        )

    async def _on_datagram(self, message: EntryMessage) -> None:
        match message:
            case WorkReport():
                self._state.workload.receive(message)
            case PoolSummary():
                self._state.workload.receive_summary(message)
            case RelayedReport(report=report):
                await self._relay_report(report)
            case HostsKnown(hosts=hosts):
                self._control_hosts.update(hosts)
            case LimitAsk() | LimitAnswer():
                self._state.permissions.receive(message)

    def _update_entries(self) -> None:
        """Let the entries that are known now own the limits of targets, and be gateways."""
        is_own = self._state.stop_plan is None
        entries = self._known_entries()
        self._state.permissions.set_entries(entries, is_own=is_own)
        self._paths.set_entries(entries - {self._own_node})

    def _send_limit_message(self, node: str, message: LimitAsk | LimitAnswer) -> None:
        self._nursery.start_soon(self._datagrams.send, message, node)

    async def _send_work_reports(self) -> None:
        """Send the reports of this entry's running work to the other entries, until cancelled."""
        while True:
            reports = await self._state.workload.next_report()
            recipients = self._recipients()
            await self._datagrams.send_encoded(reports.whole, *recipients.direct)
            if recipients.relays and reports.partial is not None:
                await self._datagrams.send(RelayedReport(reports.partial), *recipients.relays)

    async def _send_summaries(self) -> None:
        """Send summaries of the work that stays in this data centre to the others, until cancelled."""
        own = self._own_node
        while True:
            await trio.sleep(SUMMARY_INTERVAL_S)
            entries = self._known_entries()
            relays = self._recipients().relays
            if not relays or not is_summarizer(own, entries):
                continue
            local_targets = [
                cached_name_hash(target.target_id)
                for target in self._state.target_view.usable.values()
                if target.data_centre == own.data_centre
            ]
            local_entries = [item.node for item in entries if item.data_centre == own.data_centre]
            summary = self._state.workload.next_summary(
                own.data_centre, local_targets, local_entries
            )
            await self._datagrams.send(RelayedReport(summary), *relays)

    def _recipients(self) -> ReportRecipients:
        return report_recipients(
            self._own_node,
            self._known_entries(),
            self._state.workload.full_report_count,
            max(self._entry_counts_by_host.values(), default=0),
        )

    async def _relay_report(self, data: bytes) -> None:
        """Apply a report from another data centre, and forward it to the entries of this one."""
        try:
            report = msgspec.msgpack.decode(data, type=WorkReport | PoolSummary)
        except (msgspec.DecodeError, RecursionError) as error:
            log.warning("relayed report dropped", reason=str(error))
            return
        await self._datagrams.send_encoded(
            data, *relay_recipients(self._own_node, self._known_entries())
        )
        await self._on_datagram(report)

    def _known_entries(self) -> set[EntryNode]:
        return set().union(*self._entries_by_host.values())

    def _subscribe(self, host: str) -> None:
        """Subscribe to the messages of a control host, unless that is done already."""
        if host in self._subscribed:
            return
        self._subscribed[host] = trio.CancelScope()
        subscription = Subscription(
            self._settings.peer_address,
            NodeRole.ENTRY,
            host,
            WATCH_MESSAGES,
            self._on_control_message,
            self._on_control_connection,
            self._settings.data_centre,
            lambda: IDLE_TIMEOUT_S if host in self._local_hosts else REMOTE_IDLE_TIMEOUT_S,
        )
        self._nursery.start_soon(subscription.run)

    def _on_control_connection(self, host: str, is_connected: bool) -> None:
        if is_connected:
            # The host may have restarted, and would learn of this entry from a later hello only.
            self._nursery.start_soon(self._datagrams.send, self._hello(), host)
            self._state.target_view.connect(host)
        else:
            self._state.target_view.disconnect(host)
            self._versions_by_host.pop(host, None)
            self._entry_counts_by_host.pop(host, None)
            # The last list of entries is kept: reports go on while no control host is reachable.
            if len(self._entries_by_host) > 1:
                self._entries_by_host.pop(host, None)
                self._update_entries()

    def _on_control_message(self, host: str, message: object) -> None:
        self._state.record_control_message()
        match message:
            case HostStatus():
                self._on_status(host, message)
            case NodesTold(hosts=hosts, entries=entries):
                self._control_hosts.update(hosts)
                self._entries_by_host[host] = set(entries)
                self._update_entries()
            case EntriesChanged(added=added, removed=removed):
                known = self._entries_by_host.setdefault(host, set())
                kept = {entry for entry in known if entry.node not in removed}
                self._entries_by_host[host] = kept.union(added)
                self._update_entries()
            case TargetTold(target=target):
                self._update_target(host, target)
            case TargetsTold():
                for target in unpack_targets(message):
                    self._update_target(host, target)
            case TargetsCold():
                self._state.record_cold_news(message)
            case TargetSilent(target_id=target_id):
                self._state.target_view.remove_target(host, target_id)

    def _update_target(self, host: str, target: Target) -> None:
        if not is_sound(target):
            log.warning("odd target ignored", peer=host, target=target.target_id[:60])
            return
        self._state.target_view.update_target(host, target)
        self._state.note_target(target)

    def _on_status(self, host: str, status: HostStatus) -> None:
        if status.has_all_targets:
            self._state.target_view.mark_complete(host)
        if status.data_centre == self._settings.data_centre:
            self._local_hosts.add(host)
        self._versions_by_host[host] = status.version
        self._entry_counts_by_host[host] = status.entry_count
        self._update_slack_share()
        if status.evacuations is not None:
            self._state.adopt_evacuations(status.evacuations, host)
        table = self._state.table
        if status.version > (table.version if table else 0):
            self._newer_version.set()

    def _update_slack_share(self) -> None:
        """Set which part of the retry budget's slack belongs to the entries that share reports."""
        sharing = len(self._recipients().direct) + 1
        entry_count = max(self._entry_counts_by_host.values(), default=0)
        self._state.workload.slack_share = min(1.0, sharing / max(entry_count, 1))

    # Declarations

    async def _fetch_declarations(self) -> None:
        """Fetch each newer declaration, from a control host of this data centre if one has it."""
        while True:
            await self._newer_version.wait()
            self._newer_version = trio.Event()
            while (host := self._choose_declaration_host()) is not None:
                if not await self._fetch_declaration(host):
                    await trio.sleep(FETCH_RETRY_DELAY_S)

    def _choose_declaration_host(self) -> str | None:
        """Return a control host with a newer declaration, one of this data centre first."""
        held_version = self._state.table.version if self._state.table else 0
        newer = [host for host, version in self._versions_by_host.items() if version > held_version]
        return min(newer, key=lambda host: (host not in self._local_hosts, host), default=None)

    async def _fetch_declaration(self, host: str) -> bool:
        """Fetch the declaration of a control host and put it in force; return False on failure."""
        try:
            body = await fetch_body(host, DOCUMENT_PATH, FETCH_TIMEOUT_S)
            stored = decompress_declaration(msgspec.json.decode(body, type=Document))
        except UNFETCHED as error:
            log.warning("declaration not fetched", peer=host, reason=type(error).__name__)
            self._versions_by_host.pop(host, None)
            return False
        match self._dialect.read_declaration(stored):
            case ServingDeclaration() as declaration:
                self._state.apply_table(RoutingTable(declaration))
                return True
            case fault:
                log.error("stored declaration cannot be decoded", peer=host, reason=str(fault))
                self._versions_by_host.pop(host, None)
                return False

    async def _close_expired_connections(self) -> None:
        """Close connections that have expired or stay unread at intervals, until cancelled."""
        while True:
            await trio.sleep(CONNECTION_CLEANUP_INTERVAL_S)
            self._paths.close_expired()
            self._guard.tend()
