"""Runs a serving node, as entry or control host: its settings file and its signals."""

from __future__ import annotations

import os
import random
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from marigoldarch.exceptions import ConfigurationError, MarigoldarchError
from marigoldarch_node.serving import event_log
from marigoldarch_node.serving.event_log import EventLog
from marigoldarch_node.serving.settings import ServingSettings, load_settings

if TYPE_CHECKING:
    from marigoldarch_node.serving.control_host import ControlHost
    from marigoldarch_node.serving.dialect import Dialect
    from marigoldarch_node.serving.entry_host import EntryHost

EXIT_FAILURE = 1
EXIT_CONFIGURATION = 2
SETTINGS_POLL_INTERVAL_S = 1.0
"""How often the settings file is checked for changes, as it may change without a signal."""

log = EventLog("node")


def run_node(settings_file: Path, dialect: Dialect) -> None:
    """Run until SIGTERM or SIGINT.

    Exits with status 2 and a message on standard error if the settings are invalid, and with
    status 1 if an error ends the node.
    """
    try:
        settings = load_settings(settings_file)
    except ConfigurationError as error:
        print(f"marigoldarchd: {error}", file=sys.stderr)
        sys.exit(EXIT_CONFIGURATION)
    writer = event_log.install(settings.node)
    try:
        trio.run(_run, settings, settings_file, dialect)
    except* (MarigoldarchError, OSError) as errors:
        for error in errors.exceptions:
            log.error("node ended by an error", error=type(error).__name__, reason=str(error))
        writer.stop()
        sys.exit(EXIT_FAILURE)
    writer.stop()


async def _run(settings: ServingSettings, settings_file: Path, dialect: Dialect) -> None:
    start_id = random.SystemRandom().randrange(1 << 48)
    host = _create_host(settings, dialect, start_id)
    log.info(
        "start",
        role=type(host).__name__,
        start_id=start_id,
        control_hosts=settings.control_hosts,
        is_first_start=settings.is_first_start,
        process=os.getpid(),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(host.run)
        nursery.start_soon(_watch_settings, settings_file, host)
        await _wait_for_stop(settings_file, host)
        log.info("stop begins")
        await host.stop()
        nursery.cancel_scope.cancel()
    log.info("stop")


def _create_host(
    settings: ServingSettings, dialect: Dialect, start_id: int
) -> ControlHost | EntryHost:
    """Return the node's role. Each role imports its own modules only, as imports dominate a start."""
    if settings.control_address:
        from marigoldarch_node.serving.control_host import ControlHost

        return ControlHost(settings, dialect, Path(settings.data_folder), start_id)
    from marigoldarch_node.serving.entry_host import EntryHost

    return EntryHost(settings, dialect, start_id)


async def _wait_for_stop(settings_file: Path, host: ControlHost | EntryHost) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async for received in signals:
            if received != signal.SIGHUP:
                return
            reload_settings(settings_file, host)


async def _watch_settings(settings_file: Path, host: ControlHost | EntryHost) -> None:
    last_signature = _file_signature(settings_file)
    while True:
        await trio.sleep(SETTINGS_POLL_INTERVAL_S)
        signature = _file_signature(settings_file)
        if signature != last_signature:
            last_signature = signature
            reload_settings(settings_file, host)


def reload_settings(settings_file: Path, host: ControlHost | EntryHost) -> None:
    """Apply a changed settings file; keep the old settings if any part of it is invalid."""
    try:
        settings = load_settings(settings_file)
    except ConfigurationError as error:
        log.error("settings refused", reason=str(error))
        return
    host.apply_settings(settings)
    log.info("settings taken", control_hosts=settings.control_hosts)


def _file_signature(path: Path) -> tuple[int, int]:
    """Return modification time and size, by which a change is noticed; zeros if unreadable."""
    try:
        status = path.stat()
    except OSError as error:
        log.warning("settings file not readable", reason=error.strerror)
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
