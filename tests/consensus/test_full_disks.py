"""Guards a log whose disks were full, one after another.

``DISK_SEEDS=1-60 python -m unittest <this module>`` plays more seeds.
"""

import asyncio
import os
import random
import unittest
from contextlib import suppress
from datetime import timedelta

from plantainstand_consensus import Role, format_voter
from plantainstand_core import VmId
from result import UnwrapError

from tests.consensus.simulated_loop import run_simulated
from tests.consensus.simulated_replicas import FOLDER, VMS, SimulatedReplicas

_ROUNDS = 9
_REOPEN_SECONDS = 0.5
_ACK_TIMEOUT = timedelta(milliseconds=900)
_RECOVERY_SECONDS = 4


def _seeds() -> range:
    first, _dash, last = os.environ.get('DISK_SEEDS', '1-4').partition('-')
    return range(int(first), int(last) + 1)


class FullDiskTest(unittest.TestCase):
    """Never are two disks full at once; afterwards all changes go through."""

    def test_disks_fill_one_after_another(self) -> None:
        """No acknowledged change is lost, and none stays unanswered."""
        for seed in _seeds():
            with self.subTest(seed=seed):
                run_simulated(self._play(random.Random(seed)))  # noqa: S311

    async def _play(self, draw: random.Random) -> None:
        cluster = SimulatedReplicas()
        for vm in VMS:
            disk = cluster.disks[vm]
            format_voter(FOLDER, vm, VMS, file_system=disk).unwrap()
        runners = [
            asyncio.create_task(_run_with_restarts(cluster, vm)) for vm in VMS
        ]
        acknowledged: list[bytes] = []
        writing = asyncio.create_task(_write(cluster, draw, acknowledged))
        await asyncio.sleep(2)
        rounds = _ROUNDS
        while rounds:
            rounds -= 1
            disk = cluster.disks[draw.choice(VMS)]
            used = sum(len(disk.read(path)) for path in disk.paths())
            disk.capacity_bytes = used + draw.choice((0, 0, 40, 300))
            await asyncio.sleep(draw.uniform(0.3, 4))
            disk.capacity_bytes = None
            await asyncio.sleep(draw.uniform(0.05, 1))
        await asyncio.sleep(_RECOVERY_SECONDS)
        before = len(acknowledged)
        await asyncio.sleep(1)
        self.assertGreater(len(acknowledged), before + 10)
        writing.cancel()
        await asyncio.sleep(1)
        for machine in cluster.state_machines.values():
            self.assertLessEqual(set(acknowledged), set(machine.items))
        for runner in runners:
            runner.cancel()
        await asyncio.wait(runners)


async def _run_with_restarts(cluster: SimulatedReplicas, vm: VmId) -> None:
    """Open the disk again after each failure, as control VMs do."""
    while True:
        with suppress(UnwrapError):
            cluster.start(vm)
            await cluster.tasks[vm]
        await asyncio.sleep(_REOPEN_SECONDS)


async def _write(
    cluster: SimulatedReplicas, draw: random.Random, acknowledged: list[bytes]
) -> None:
    number = 0
    while True:
        number += 1
        payload = b'%d-%s' % (number, b'x' * draw.randrange(200))
        for replica in tuple(cluster.replicas.values()):
            if replica.status().role is Role.LEADER:
                outcome = await replica.propose(payload, _ACK_TIMEOUT)
                if outcome.is_ok():
                    acknowledged.append(payload)
                break
        await asyncio.sleep(0.02)
