"""Tests of replicas that run as tasks with simulated time and disks."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

from plantainstand_consensus import (
    EntriesItem,
    LogReplica,
    Message,
    NotLeader,
    ReplicaOptions,
    Role,
    SnapshotItem,
    Stopped,
    StorageFailed,
    TimedOut,
    format_voter,
    open_voter,
)
from plantainstand_core import LogIndex, VmId

from tests.consensus.simulated_loop import (
    SimulatedLoop,
    run_simulated,
    run_without_thread,
)
from tests.storage.simulated_file_system import SimulatedFileSystem

_VMS = tuple(VmId(name) for name in 'abc')
_FOLDER = Path('/voter')
_TIMEOUT = timedelta(seconds=3)
_LATENCY_SECONDS = 0.001


class _RecordingStateMachine:
    """State machine that records every command."""

    def __init__(self) -> None:
        self.items: list[bytes] = []

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        self.items.append(payload)
        return b'applied %s' % payload

    def snapshot(self) -> bytes:
        return b' '.join(self.items)

    def restore(self, snapshot: bytes) -> None:
        self.items = snapshot.split()


class _SimulatedTransport:
    """Transport of one replica, with a constant latency."""

    def __init__(self, cluster: '_Cluster', source: VmId):
        self._cluster = cluster
        self._source = source

    def send(self, destination: VmId, message: Message) -> None:
        asyncio.get_running_loop().call_later(
            _LATENCY_SECONDS,
            self._cluster.deliver,
            self._source,
            destination,
            message,
        )


class _Cluster:
    """Three voters in one simulated loop."""

    def __init__(self) -> None:
        self.disks = {vm: SimulatedFileSystem() for vm in _VMS}
        self.replicas: dict[VmId, LogReplica] = {}
        self.state_machines: dict[VmId, _RecordingStateMachine] = {}
        self.tasks: dict[VmId, asyncio.Task[None]] = {}
        self.disconnected: set[VmId] = set()
        self.sync_seconds: float = 0

    def start(self, vm: VmId) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SimulatedLoop)
        storage = open_voter(_FOLDER, vm, file_system=self.disks[vm])
        self.state_machines[vm] = _RecordingStateMachine()
        options = ReplicaOptions(
            peers=_VMS,
            clock=loop,
            random_source=random.Random(vm),
            snapshot_interval_entries=50,
            retained_entries=10,
            run_blocking=self.run_slowly,
        )
        self.replicas[vm] = LogReplica(
            storage.unwrap(),
            self.state_machines[vm],
            _SimulatedTransport(self, vm),
            options,
        )
        self.tasks[vm] = asyncio.create_task(self.replicas[vm].run())

    async def run_slowly(self, action: Callable[[], None]) -> None:
        await asyncio.sleep(self.sync_seconds)
        await run_without_thread(action)

    async def stop(self, vm: VmId) -> None:
        self.tasks[vm].cancel()
        await asyncio.wait((self.tasks[vm],))

    def deliver(self, source: VmId, destination: VmId, message: Any) -> None:
        if not self.disconnected & {source, destination}:
            self.replicas[destination].deliver(source, message)

    async def leader(self, among: Sequence[VmId] = _VMS) -> LogReplica:
        return await self.until(lambda: self._find_leader(among))

    async def until(
        self,
        find: Callable[[], LogReplica | None],
    ) -> LogReplica:
        async with asyncio.timeout(_TIMEOUT.total_seconds() * 3):
            found = find()
            while found is None:
                await asyncio.sleep(0.01)
                found = find()
        return found

    def _find_leader(self, among: Sequence[VmId]) -> LogReplica | None:
        for vm in among:
            status = self.replicas[vm].status()
            if status.formed and status.has_quorum_contact:
                return self.replicas[vm]
        return None


def _run_with_cluster(
    test: Callable[[_Cluster], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        cluster = _Cluster()
        for vm in _VMS:
            format_voter(
                _FOLDER,
                vm,
                _VMS,
                file_system=cluster.disks[vm],
            ).unwrap()
            cluster.start(vm)
        await cluster.leader()
        await test(cluster)
        for vm in _VMS:
            await cluster.stop(vm)

    run_simulated(main())


class ReplicaTest(unittest.TestCase):
    """Guards against calls that get a wrong outcome or none."""

    def test_outcomes_of_proposals(self) -> None:
        """Each of many concurrent proposals gets its own outcome."""

        async def test(cluster: _Cluster) -> None:
            leader = await cluster.leader()
            proposals: list[Awaitable[Any]] = [
                leader.propose(b'%d' % number, _TIMEOUT)
                for number in range(100)
            ]
            outcomes = await asyncio.gather(*proposals)
            expected = [b'applied %d' % number for number in range(100)]
            self.assertEqual(
                [outcome.unwrap() for outcome in outcomes],
                expected,
            )
            barrier = (await leader.read_barrier(_TIMEOUT)).unwrap()
            self.assertEqual(barrier, leader.status().applied_index)

        _run_with_cluster(test)

    def test_follower_names_leader(self) -> None:
        """A follower refuses proposals and names the leader."""

        async def test(cluster: _Cluster) -> None:
            leader = (await cluster.leader()).status().node.vm
            for vm in set(_VMS) - {leader}:
                refused = await cluster.replicas[vm].propose(b'x', _TIMEOUT)
                self.assertEqual(refused.unwrap_err(), NotLeader(leader))

        _run_with_cluster(test)

    def test_isolated_leader(self) -> None:
        """A leader without a majority confirms nothing and steps down."""

        async def test(cluster: _Cluster) -> None:
            old = await cluster.leader()
            vm = old.status().node.vm
            cluster.disconnected.add(vm)
            read = asyncio.create_task(old.read_barrier(_TIMEOUT))
            lost = await old.propose(b'lost', _TIMEOUT)
            self.assertEqual(lost.unwrap_err(), TimedOut())
            self.assertEqual((await read).unwrap_err(), NotLeader(None))
            self.assertFalse(old.status().has_quorum_contact)
            others = [other for other in _VMS if other != vm]
            new = await cluster.leader(others)
            (await new.propose(b'kept', _TIMEOUT)).unwrap()
            cluster.disconnected.clear()
            await asyncio.sleep(1)
            self.assertEqual(cluster.state_machines[vm].items, [b'kept'])

        _run_with_cluster(test)

    def test_slow_disks(self) -> None:
        """Syncs that take longer than an election timeout depose no leader."""

        async def test(cluster: _Cluster) -> None:
            leader = await cluster.leader()
            before = leader.status().term
            cluster.sync_seconds = 1.2
            call = asyncio.create_task(leader.propose(b'x', _TIMEOUT))
            while not call.done():
                self.assertTrue(leader.status().has_quorum_contact)
                await asyncio.sleep(0.1)
            self.assertTrue((await call).is_ok())
            self.assertEqual(leader.status().term, before)

        _run_with_cluster(test)

    def test_failed_disk(self) -> None:
        """A voter whose disk fails stops; the others continue."""

        async def test(cluster: _Cluster) -> None:
            old = await cluster.leader()
            vm = old.status().node.vm
            cluster.disks[vm].fail_syncs = True
            failed = (await old.propose(b'x', _TIMEOUT)).unwrap_err()
            self.assertIsInstance(failed, StorageFailed)
            self.assertIsNotNone(old.status().problem)
            await cluster.tasks[vm]
            others = [other for other in _VMS if other != vm]
            new = await cluster.leader(others)
            (await new.propose(b'y', _TIMEOUT)).unwrap()

        _run_with_cluster(test)

    def test_stopped(self) -> None:
        """A pending call fails when the replica stops."""

        async def test(cluster: _Cluster) -> None:
            leader = await cluster.leader()
            vm = leader.status().node.vm
            cluster.disconnected.add(vm)
            call = asyncio.create_task(leader.propose(b'x', _TIMEOUT))
            await asyncio.sleep(0)
            await cluster.stop(vm)
            self.assertEqual((await call).unwrap_err(), Stopped())

        _run_with_cluster(test)

    def test_restart_and_repair(self) -> None:
        """A replica gets missed entries after a restart or a disk loss."""

        async def test(cluster: _Cluster) -> None:
            leader = await cluster.leader()
            vm = next(vm for vm in _VMS if cluster.replicas[vm] is not leader)
            for emptied in (False, True):
                await cluster.stop(vm)
                for number in range(120):
                    (await leader.propose(b'%d' % number, _TIMEOUT)).unwrap()
                if emptied:
                    cluster.disks[vm] = SimulatedFileSystem()
                cluster.start(vm)
                await asyncio.sleep(4)
                status = cluster.replicas[vm].status()
                self.assertEqual(status.role, Role.FOLLOWER)
                self.assertIn(status.node, status.voters)
                expected = cluster.state_machines[leader.status().node.vm].items
                self.assertEqual(cluster.state_machines[vm].items, expected)

        _run_with_cluster(test)


class SubscriptionTest(unittest.TestCase):
    """Guards against subscribers that miss commands or get them twice."""

    def test_snapshot_then_entries(self) -> None:
        """A subscriber gets compacted entries as a snapshot, then the rest."""

        async def test(cluster: _Cluster) -> None:
            leader = await cluster.leader()
            for number in range(120):
                (await leader.propose(b'%d' % number, _TIMEOUT)).unwrap()
            items: list[bytes] = []
            kinds = []
            position = 0
            subscription = leader.subscribe(LogIndex(0))
            while position < leader.status().applied_index:
                item = await anext(subscription)
                kinds.append(type(item))
                if isinstance(item, SnapshotItem):
                    items = item.payload.split()
                    position = item.index
                else:
                    items.extend(entry.payload for entry in item.entries)
                    position = item.through
            self.assertEqual(kinds[0], SnapshotItem)
            self.assertEqual(set(kinds[1:]), {EntriesItem})
            self.assertEqual(items, [b'%d' % number for number in range(120)])

        _run_with_cluster(test)
