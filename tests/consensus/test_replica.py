"""Tests of replicas that run as tasks with simulated time and disks."""

import asyncio
import unittest
from collections.abc import Awaitable
from typing import Any

from plantainstand_consensus import (
    EntriesItem,
    NotLeader,
    Role,
    SnapshotItem,
    Stopped,
    StorageFailed,
    TimedOut,
)
from plantainstand_core import LogIndex

from tests.consensus.simulated_replicas import (
    TIMEOUT,
    VMS,
    SimulatedReplicas,
    run_with_replicas,
)
from tests.storage.simulated_file_system import SimulatedFileSystem


class ReplicaTest(unittest.TestCase):
    """Guards against calls that get a wrong outcome or none."""

    def test_outcomes_of_proposals(self) -> None:
        """Each of many concurrent proposals gets its own outcome."""

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            proposals: list[Awaitable[Any]] = [
                leader.propose(b'%d' % number, TIMEOUT) for number in range(100)
            ]
            outcomes = await asyncio.gather(*proposals)
            expected = [b'applied %d' % number for number in range(100)]
            self.assertEqual(
                [outcome.unwrap() for outcome in outcomes],
                expected,
            )
            barrier = (await leader.read_barrier(TIMEOUT)).unwrap()
            self.assertEqual(barrier, leader.status().applied_index)

        run_with_replicas(test)

    def test_follower_names_leader(self) -> None:
        """A follower refuses proposals and names the leader."""

        async def test(cluster: SimulatedReplicas) -> None:
            leader = (await cluster.leader()).status().node.vm
            for vm in set(VMS) - {leader}:
                refused = await cluster.replicas[vm].propose(b'x', TIMEOUT)
                self.assertEqual(refused.unwrap_err(), NotLeader(leader))

        run_with_replicas(test)

    def test_isolated_leader(self) -> None:
        """A leader without a majority confirms nothing and steps down."""

        async def test(cluster: SimulatedReplicas) -> None:
            old = await cluster.leader()
            vm = old.status().node.vm
            cluster.disconnected.add(vm)
            read = asyncio.create_task(old.read_barrier(TIMEOUT))
            lost = await old.propose(b'lost', TIMEOUT)
            self.assertEqual(lost.unwrap_err(), TimedOut())
            self.assertEqual((await read).unwrap_err(), NotLeader(None))
            self.assertFalse(old.status().has_quorum_contact)
            others = [other for other in VMS if other != vm]
            new = await cluster.leader(others)
            (await new.propose(b'kept', TIMEOUT)).unwrap()
            cluster.disconnected.clear()
            await asyncio.sleep(1)
            self.assertEqual(cluster.state_machines[vm].items, [b'kept'])

        run_with_replicas(test)

    def test_slow_disks(self) -> None:
        """Syncs that take longer than an election timeout depose no leader."""

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            before = leader.status().term
            cluster.sync_seconds = 1.2
            call = asyncio.create_task(leader.propose(b'x', TIMEOUT))
            while not call.done():
                self.assertTrue(leader.status().has_quorum_contact)
                await asyncio.sleep(0.1)
            self.assertTrue((await call).is_ok())
            self.assertEqual(leader.status().term, before)

        run_with_replicas(test)

    def test_failed_disk(self) -> None:
        """A voter whose disk fails stops; the others continue."""

        async def test(cluster: SimulatedReplicas) -> None:
            old = await cluster.leader()
            vm = old.status().node.vm
            cluster.disks[vm].fail_syncs = True
            failed = (await old.propose(b'x', TIMEOUT)).unwrap_err()
            self.assertIsInstance(failed, StorageFailed)
            self.assertIsNotNone(old.status().problem)
            await cluster.tasks[vm]
            others = [other for other in VMS if other != vm]
            new = await cluster.leader(others)
            (await new.propose(b'y', TIMEOUT)).unwrap()

        run_with_replicas(test)

    def test_stopped(self) -> None:
        """A pending call fails when the replica stops."""

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            vm = leader.status().node.vm
            cluster.disconnected.add(vm)
            call = asyncio.create_task(leader.propose(b'x', TIMEOUT))
            await asyncio.sleep(0)
            await cluster.stop(vm)
            self.assertEqual((await call).unwrap_err(), Stopped())

        run_with_replicas(test)

    def test_restart_and_repair(self) -> None:
        """A replica gets missed entries after a restart or a disk loss."""

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            vm = next(vm for vm in VMS if cluster.replicas[vm] is not leader)
            for emptied in (False, True):
                await cluster.stop(vm)
                for number in range(120):
                    (await leader.propose(b'%d' % number, TIMEOUT)).unwrap()
                if emptied:
                    cluster.disks[vm] = SimulatedFileSystem()
                cluster.start(vm)
                await asyncio.sleep(4)
                status = cluster.replicas[vm].status()
                self.assertEqual(status.role, Role.FOLLOWER)
                self.assertIn(status.node, status.voters)
                expected = cluster.state_machines[leader.status().node.vm].items
                self.assertEqual(cluster.state_machines[vm].items, expected)

        run_with_replicas(test)


class SubscriptionTest(unittest.TestCase):
    """Guards against subscribers that miss commands or get them twice."""

    def test_snapshot_then_entries(self) -> None:
        """A subscriber gets compacted entries as a snapshot, then the rest."""

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            for number in range(120):
                (await leader.propose(b'%d' % number, TIMEOUT)).unwrap()
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

        run_with_replicas(test)
