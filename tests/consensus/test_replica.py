"""Replicas as tasks, on simulated time and disks."""

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
    run_here,
    run_simulated,
)
from tests.storage.simulated_file_system import SimulatedFileSystem

_VMS = tuple(VmId(name) for name in 'abc')
_FOLDER = Path('/voter')
_TIMEOUT = timedelta(seconds=3)
_LATENCY_S = 0.001


class _Items:
    """State machine that keeps every command."""

    def __init__(self) -> None:
        self.items: list[bytes] = []

    def apply(self, index: LogIndex, payload: bytes) -> bytes:
        self.items.append(payload)
        return b'applied %s' % payload

    def snapshot(self) -> bytes:
        return b' '.join(self.items)

    def restore(self, snapshot: bytes) -> None:
        self.items = snapshot.split()


class _Link:
    """Transport of one replica."""

    def __init__(self, fleet: '_Fleet', source: VmId):
        self._fleet = fleet
        self._source = source

    def send(self, destination: VmId, message: Message) -> None:
        asyncio.get_running_loop().call_later(
            _LATENCY_S,
            self._fleet.deliver,
            self._source,
            destination,
            message,
        )


class _Fleet:
    """Three voters on one simulated loop."""

    def __init__(self) -> None:
        self.disks = {vm: SimulatedFileSystem() for vm in _VMS}
        self.replicas: dict[VmId, LogReplica] = {}
        self.machines: dict[VmId, _Items] = {}
        self.tasks: dict[VmId, asyncio.Task[None]] = {}
        self.cut: set[VmId] = set()
        self.sync_s: float = 0

    def start(self, vm: VmId) -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, SimulatedLoop)
        storage = open_voter(_FOLDER, vm, file_system=self.disks[vm])
        self.machines[vm] = _Items()
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
            self.machines[vm],
            _Link(self, vm),
            options,
        )
        self.tasks[vm] = asyncio.create_task(self.replicas[vm].run())

    async def run_slowly(self, action: Callable[[], None]) -> None:
        await asyncio.sleep(self.sync_s)
        await run_here(action)

    async def stop(self, vm: VmId) -> None:
        self.tasks[vm].cancel()
        await asyncio.wait((self.tasks[vm],))

    def deliver(self, source: VmId, destination: VmId, message: Any) -> None:
        if not self.cut & {source, destination}:
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


def _with_fleet(
    test: Callable[[_Fleet], Coroutine[Any, Any, None]],
) -> None:
    async def main() -> None:
        fleet = _Fleet()
        for vm in _VMS:
            format_voter(
                _FOLDER,
                vm,
                _VMS,
                file_system=fleet.disks[vm],
            ).unwrap()
            fleet.start(vm)
        await fleet.leader()
        await test(fleet)
        for vm in _VMS:
            await fleet.stop(vm)

    run_simulated(main())


class ReplicaTest(unittest.TestCase):
    """Guards against callers that get a wrong outcome or none."""

    def test_outcomes(self) -> None:
        """Each proposal gets the outcome of its own application."""

        async def test(fleet: _Fleet) -> None:
            leader = await fleet.leader()
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

        _with_fleet(test)

    def test_follower_names_leader(self) -> None:
        """A follower takes nothing and says who does."""

        async def test(fleet: _Fleet) -> None:
            leader = (await fleet.leader()).status().node.vm
            for vm in set(_VMS) - {leader}:
                refused = await fleet.replicas[vm].propose(b'x', _TIMEOUT)
                self.assertEqual(refused.unwrap_err(), NotLeader(leader))

        _with_fleet(test)

    def test_isolated_leader(self) -> None:
        """Without a majority nothing is confirmed; contact is given up."""

        async def test(fleet: _Fleet) -> None:
            old = await fleet.leader()
            vm = old.status().node.vm
            fleet.cut.add(vm)
            read = asyncio.create_task(old.read_barrier(_TIMEOUT))
            lost = await old.propose(b'lost', _TIMEOUT)
            self.assertEqual(lost.unwrap_err(), TimedOut())
            self.assertEqual((await read).unwrap_err(), NotLeader(None))
            self.assertFalse(old.status().has_quorum_contact)
            others = [other for other in _VMS if other != vm]
            new = await fleet.leader(others)
            (await new.propose(b'kept', _TIMEOUT)).unwrap()
            fleet.cut.clear()
            await asyncio.sleep(1)
            self.assertEqual(fleet.machines[vm].items, [b'kept'])

        _with_fleet(test)

    def test_slow_disks(self) -> None:
        """Syncs that take longer than an election timeout change no leader."""

        async def test(fleet: _Fleet) -> None:
            leader = await fleet.leader()
            before = leader.status().term
            fleet.sync_s = 1.2
            call = asyncio.create_task(leader.propose(b'x', _TIMEOUT))
            while not call.done():
                self.assertTrue(leader.status().has_quorum_contact)
                await asyncio.sleep(0.1)
            self.assertTrue((await call).is_ok())
            self.assertEqual(leader.status().term, before)

        _with_fleet(test)

    def test_failed_disk(self) -> None:
        """A voter whose disk fails stops; the others go on."""

        async def test(fleet: _Fleet) -> None:
            old = await fleet.leader()
            vm = old.status().node.vm
            fleet.disks[vm].fail_syncs = True
            failed = (await old.propose(b'x', _TIMEOUT)).unwrap_err()
            self.assertIsInstance(failed, StorageFailed)
            self.assertIsNotNone(old.status().problem)
            await fleet.tasks[vm]
            others = [other for other in _VMS if other != vm]
            new = await fleet.leader(others)
            (await new.propose(b'y', _TIMEOUT)).unwrap()

        _with_fleet(test)

    def test_stopped(self) -> None:
        """A call that waits when the replica stops is answered."""

        async def test(fleet: _Fleet) -> None:
            leader = await fleet.leader()
            vm = leader.status().node.vm
            fleet.cut.add(vm)
            call = asyncio.create_task(leader.propose(b'x', _TIMEOUT))
            await asyncio.sleep(0)
            await fleet.stop(vm)
            self.assertEqual((await call).unwrap_err(), Stopped())

        _with_fleet(test)

    def test_restart_and_repair(self) -> None:
        """Missed entries come after a restart, and after a disk loss."""

        async def test(fleet: _Fleet) -> None:
            leader = await fleet.leader()
            vm = next(vm for vm in _VMS if fleet.replicas[vm] is not leader)
            for emptied in (False, True):
                await fleet.stop(vm)
                for number in range(120):
                    (await leader.propose(b'%d' % number, _TIMEOUT)).unwrap()
                if emptied:
                    fleet.disks[vm] = SimulatedFileSystem()
                fleet.start(vm)
                await asyncio.sleep(4)
                status = fleet.replicas[vm].status()
                self.assertEqual(status.role, Role.FOLLOWER)
                self.assertIn(status.node, status.voters)
                expected = fleet.machines[leader.status().node.vm].items
                self.assertEqual(fleet.machines[vm].items, expected)

        _with_fleet(test)


class SubscriptionTest(unittest.TestCase):
    """Guards against subscribers that miss or repeat commands."""

    def test_snapshot_then_tail(self) -> None:
        """From below the compacted part: a snapshot, then every command."""

        async def test(fleet: _Fleet) -> None:
            leader = await fleet.leader()
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

        _with_fleet(test)
