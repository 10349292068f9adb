"""Tests of departures that control hosts record before they acknowledge them.

They guard against targets that are in use again, or still, after their departure was acknowledged.
"""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING, Any
from unittest import mock

import msgspec
import trio

from marigoldarch.exceptions import StorageError
from marigoldarch.serving.targets import TARGET_SILENCE_MS, Target
from marigoldarch.store.messages import TargetsHeard
from marigoldarch.tests.serving.support import target
from marigoldarch_node.clock import SystemClock
from marigoldarch_node.serving.departure_recorder import ControlHosts
from marigoldarch_node.serving.metrics import ServingMetrics
from marigoldarch_node.serving.target_registrar import TargetFiles, TargetRegistrar
from marigoldarch_node.storage.departure_file import DepartureFile
from marigoldarch_node.storage.target_file import TargetFile
from marigoldarch_node.tests.serving.support import RecordingExchange

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

MANY = 400


class Links:
    """Passes the messages of one control host to the others that it reaches."""

    def __init__(self, cluster: Cluster, name: str) -> None:
        self._cluster = cluster
        self._name = name

    def send(self, peer: str, message: object) -> None:
        """Pass on a message to one host, unless either is cut off."""
        if not {peer, self._name} & self._cluster.cut_off:
            self._cluster.hosts[peer].receive(self._name, message)

    def send_to_all(self, message: object) -> None:
        """Pass on a message to all others."""
        for peer in self._cluster.hosts:
            if peer != self._name:
                self.send(peer, message)


class Cluster:
    """Registrars of several control hosts, each with a folder of its own."""

    def __init__(self, folder: Path, hosts: int = 3, tolerated_losses: int = 1) -> None:
        self.cut_off: set[str] = set()
        self.hosts: dict[str, TargetRegistrar] = {}
        self._counts = ControlHosts(hosts, tolerated_losses)
        for name in (f"c{number}" for number in range(1, hosts + 1)):
            (folder / name).mkdir(exist_ok=True)
            files = TargetFiles(TargetFile(folder / name), DepartureFile(folder / name))
            self.hosts[name] = TargetRegistrar(
                JsonDialect(),
                SystemClock(),
                ServingMetrics(),
                mock.Mock(),
                Links(self, name),
                files,
                "dc1",
                lambda: self._counts,
            )
            self.hosts[name].restore()

    def find(self, target_id: str) -> list[Target | None]:
        """Return what each host knows of a target."""
        return [host._registry.find(target_id) for host in self.hosts.values()]

    async def announce(self, host: str, announced: Target) -> int:
        """Announce a target to a host; return the status of the answer."""
        exchange = RecordingExchange(msgspec.json.encode(announced))
        await self.hosts[host].handle_announcement(exchange, announced.target_id)
        return exchange.status

    async def delete(self, host: str, target_id: str) -> int:
        """Tell a host that a target has left; return the status of the answer."""
        exchange = RecordingExchange(b"")
        await self.hosts[host].handle_leave(exchange, target_id)
        return exchange.status


class JsonDialect:
    """A dialect whose announcements are targets in JSON."""

    def read_announcement(self, target_id: str, body: bytes) -> Target:
        """Return the target."""
        return msgspec.json.decode(body, type=Target)

    def read_cold_ms(self, body: bytes) -> None:
        """Return that nothing is said of a cold phase."""


class DepartureTestCase(unittest.TestCase):
    """Control hosts that are killed by the end of a run, and read their folders in the next one."""

    def setUp(self) -> None:
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self.folder = Path(scratch.name)

    def run_cluster(self, test: Callable[[Cluster], Awaitable[Any]], **sizes: int) -> Any:
        """Run a function with hosts that have just started."""

        async def run() -> Any:
            cluster = Cluster(self.folder, **sizes)
            async with trio.open_nursery() as nursery:
                for host in cluster.hosts.values():
                    nursery.start_soon(host.record_departures)
                result = await test(cluster)
                nursery.cancel_scope.cancel()
            return result

        return trio.run(run)


class RecordedDepartureTests(DepartureTestCase):
    """Load pattern: all control hosts are killed as one acknowledges a departure."""

    def known_after_kill(self, **sizes: int) -> int:
        """Return how many hosts know after a restart that the target leaves."""

        async def count(cluster: Cluster) -> int:
            return sum(known is not None and known.is_leaving for known in cluster.find("t"))

        return self.run_cluster(count, **sizes)

    def test_departure_is_known_after_all_hosts_were_killed(self) -> None:
        async def leave(cluster: Cluster) -> int:
            await cluster.announce("c1", target("t"))
            return await cluster.delete("c1", "t")

        self.assertEqual(self.run_cluster(leave), 200)
        self.assertGreaterEqual(self.known_after_kill(), 2)

    def test_drain_is_known_on_as_many_disks_as_losses_are_tolerated_and_one_more(self) -> None:
        async def drain(cluster: Cluster) -> int:
            await cluster.announce("c1", target("t"))
            return await cluster.announce("c2", target("t", serial=2, is_leaving=True))

        sizes = {"hosts": 5, "tolerated_losses": 2}
        self.assertEqual(self.run_cluster(drain, **sizes), 200)
        self.assertGreaterEqual(self.known_after_kill(**sizes), 3)

    def test_host_whose_disk_refuses_relies_on_the_others(self) -> None:
        async def leave(cluster: Cluster) -> list[int]:
            await cluster.announce("c1", target("t"))
            append = cluster.hosts["c1"]._departures._file
            with mock.patch.object(append, "append", side_effect=StorageError("full")):
                first = await cluster.delete("c1", "t")
                cluster.cut_off = {"c3"}
                await cluster.announce("c1", target("u"))
                return [first, await cluster.delete("c1", "u")]

        self.assertEqual(self.run_cluster(leave), [200, 503])

    def test_targets_that_leave_at_once_share_syncs(self) -> None:
        async def leave(cluster: Cluster) -> tuple[list[int], int]:
            names = [f"t{number}" for number in range(MANY)]
            statuses: list[int] = []
            file = cluster.hosts["c1"]._departures._file
            with mock.patch.object(file, "append", wraps=file.append) as append:
                async with trio.open_nursery() as nursery:

                    async def leave_one(name: str) -> None:
                        await cluster.announce("c1", target(name))
                        statuses.append(await cluster.delete("c1", name))

                    for name in names:
                        nursery.start_soon(leave_one, name)
                return statuses, append.call_count

        statuses, syncs = self.run_cluster(leave)
        self.assertEqual(statuses, [200] * MANY)
        self.assertLess(syncs, MANY / 10)

    def test_departure_that_no_other_host_has_recorded_is_not_acknowledged(self) -> None:
        async def leave(cluster: Cluster) -> int:
            await cluster.announce("c1", target("t"))
            cluster.cut_off = {"c2", "c3"}
            return await cluster.delete("c1", "t")

        self.assertEqual(self.run_cluster(leave), 503)

    def test_one_control_host_alone_acknowledges_what_it_has_recorded(self) -> None:
        async def leave(cluster: Cluster) -> int:
            await cluster.announce("c1", target("t"))
            return await cluster.delete("c1", "t")

        sizes = {"hosts": 1, "tolerated_losses": 0}
        self.assertEqual(self.run_cluster(leave, **sizes), 200)
        self.assertEqual(self.known_after_kill(**sizes), 1)


class RepeatedDepartureTests(DepartureTestCase):
    """Load pattern: a target repeats that it leaves while the other control hosts don't answer."""

    def test_repeated_announcement_is_acknowledged_only_once_it_is_recorded(self) -> None:
        """Guards against an acknowledgement of what only one host knows: the first try told this host."""

        async def repeat(cluster: Cluster) -> list[int]:
            await cluster.announce("c1", target("t"))
            cluster.cut_off = {"c2", "c3"}
            statuses = [
                await cluster.announce("c1", target("t", serial=serial, is_leaving=True))
                for serial in (2, 3)
            ]
            statuses += [await cluster.delete("c1", "t") for _ in range(2)]
            cluster.cut_off = {"c3"}
            return [*statuses, await cluster.delete("c1", "t")]

        self.assertEqual(self.run_cluster(repeat), [503, 503, 503, 503, 200])

    def test_recorded_departure_is_acknowledged_again_without_the_others(self) -> None:
        async def repeat(cluster: Cluster) -> list[int]:
            await cluster.announce("c1", target("t"))
            statuses = [await cluster.announce("c1", target("t", serial=2, is_leaving=True))]
            cluster.cut_off = {"c2", "c3"}
            statuses.append(await cluster.announce("c1", target("t", serial=3, is_leaving=True)))
            return [
                *statuses,
                await cluster.announce("c1", target("t", born_ms=5, serial=9, is_leaving=True)),
            ]

        self.assertEqual(self.run_cluster(repeat), [200, 200, 200])


class OddEntryTests(DepartureTestCase):
    """Load pattern: a control host of another build tells of a target that names none to use."""

    def test_odd_target_is_neither_registered_nor_saved(self) -> None:
        """Guards against a host that ends as its file can't hold a number, again after each start."""
        odd = [
            target("u", serial=2**70),
            target("v", address="10.0.0.1:99999"),
            target("w", slots=-1),
        ]

        async def hear(cluster: Cluster) -> list[str]:
            host = cluster.hosts["c1"]
            host.receive("c2", TargetsHeard(0, (*odd, target("t"))))
            host._file.save(host.targets)
            return [item.target_id for item in host.targets]

        self.assertEqual(self.run_cluster(hear), ["t"])


class UnknownDepartureTests(DepartureTestCase):
    """Load pattern: a target leaves by way of a control host that has just started with an old file."""

    def test_departure_of_a_target_that_only_others_know_is_recorded(self) -> None:
        """Guards against a departure that is acknowledged and leaves no trace."""

        async def leave(cluster: Cluster) -> tuple[int, list[bool]]:
            cluster.cut_off = {"c1"}
            await cluster.announce("c2", target("t"))
            cluster.cut_off = set()
            status = await cluster.delete("c1", "t")
            return status, [known is not None and known.is_gone for known in cluster.find("t")]

        status, is_gone = self.run_cluster(leave)
        if status == 200:
            self.assertEqual(is_gone, [True, True, True])
        self.assertIn(status, (200, 503))

    def test_departure_of_a_target_that_nobody_knows_is_acknowledged_if_others_confirm_that(
        self,
    ) -> None:
        async def leave(cluster: Cluster) -> list[int]:
            early = await cluster.delete("c1", "t")
            cluster.hosts["c1"]._started_ms -= TARGET_SILENCE_MS
            late = await cluster.delete("c1", "t")
            cluster.cut_off = {"c2", "c3"}
            return [early, late, await cluster.delete("c1", "t")]

        self.assertEqual(self.run_cluster(leave), [503, 200, 503])
