"""Tests of a log whose commands are long: a history of tens of megabytes."""

import asyncio
import unittest
from collections import Counter
from datetime import timedelta

from plantainstand_consensus import (
    LogLimits,
    Overloaded,
    Role,
    TimedOut,
    TooLong,
)

from tests.consensus.simulated_replicas import (
    LINK_UNSENT_BYTES,
    TIMEOUT,
    VMS,
    LastCommandStateMachine,
    SimulatedReplicas,
    run_with_replicas,
)
from tests.storage.simulated_file_system import SimulatedFileSystem

_COMMAND_BYTES = 100_000
_COMMANDS = 400
_CATCH_UP_SECONDS = 4
_MOST_STORED_BYTES = 16 * 1024 * 1024
"""Twice the interval and the retained entries, with the files in use."""

_LIMITS = LogLimits()
_SHORT_TIMEOUT = timedelta(milliseconds=100)


def _replicas() -> SimulatedReplicas:
    replicas = SimulatedReplicas()
    replicas.new_state_machine = LastCommandStateMachine
    replicas.snapshot_interval_entries = 2_000
    replicas.retained_entries = 500
    replicas.link_bytes_per_second = 2 * LINK_UNSENT_BYTES
    return replicas


async def _execute_commands(
    cluster: SimulatedReplicas, count: int = _COMMANDS
) -> None:
    leader = await cluster.leader()
    for number in range(count):
        command = number.to_bytes(4, 'big') * (_COMMAND_BYTES // 4)
        (await leader.propose(command, TIMEOUT)).unwrap()


_MOST_LOG_BYTES = 2 * (_LIMITS.snapshot_interval_bytes + _LIMITS.retained_bytes)


class LongCommandsTest(unittest.TestCase):
    """Guards against work that grows with the bytes of the history."""

    def test_emptied_disk(self) -> None:
        """A voter that lost its disk is a voter again within catchUpS.

        Guards against a leader that sends the whole history at once, so that
        the link loses it again and again.
        """

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            vm = next(vm for vm in VMS if cluster.replicas[vm] is not leader)
            await _execute_commands(cluster)
            await cluster.stop(vm)
            cluster.disks[vm] = SimulatedFileSystem()
            cluster.start(vm)
            await asyncio.sleep(_CATCH_UP_SECONDS)
            status = cluster.replicas[vm].status()
            self.assertEqual(status.role, Role.FOLLOWER)
            self.assertIn(status.node, status.voters)

        run_with_replicas(test, _replicas())

    def test_stored_bytes(self) -> None:
        """Guards against a disk that fills up with a history of long commands.

        Each disk keeps a snapshot and the newest entries, however many and
        however long the commands were.
        """

        async def test(cluster: SimulatedReplicas) -> None:
            await _execute_commands(cluster)
            await asyncio.sleep(1)
            for disk in cluster.disks.values():
                stored = sum(len(disk.read(path)) for path in disk.paths())
                self.assertLess(stored, _MOST_STORED_BYTES)

        run_with_replicas(test, _replicas())

    def test_refused_commands(self) -> None:
        """Guards against a leader that collects what cannot be committed."""

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            await asyncio.sleep(1)
            too_long = bytes(_LIMITS.entry_bytes + 1)
            refused = await leader.propose(too_long, TIMEOUT)
            self.assertIsInstance(refused.unwrap_err(), TooLong)
            cluster.disconnected.add(leader.status().node.vm)
            command = bytes(_LIMITS.entry_bytes)
            outcomes = await asyncio.gather(
                *(leader.propose(command, _SHORT_TIMEOUT) for _each in range(9))
            )
            problems = Counter(type(each.unwrap_err()) for each in outcomes)
            self.assertEqual(problems, {TimedOut: 2, Overloaded: 7})

        run_with_replicas(test, _replicas())

    def test_slow_disk(self) -> None:
        """Guards against a log that grows while its own disk lags behind.

        The other voters commit without this disk, so there is always an entry
        that it has not synced.
        """

        async def test(cluster: SimulatedReplicas) -> None:
            leader = await cluster.leader()
            vm = leader.status().node.vm
            cluster.slow_disks = {vm}
            cluster.sync_seconds = 0.3
            worker_count = 8
            await asyncio.gather(
                *(_execute_commands(cluster, 100) for _ in range(worker_count))
            )
            self.assertLess(leader.status().log_bytes, _MOST_LOG_BYTES)

        run_with_replicas(test, _replicas())
