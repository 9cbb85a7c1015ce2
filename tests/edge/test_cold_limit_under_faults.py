"""Guards the limit of cold targets while VMs fail, freeze or are cut off.

``COLD_SEEDS=1-50 python -m unittest <this module>`` plays more seeds.
"""

import os
import unittest
from datetime import timedelta

from tests.edge.fleet_faults import cut_off, plan_faults
from tests.edge.simulated_fleet import (
    ALLOWED_PER_SECOND,
    STEP,
    SimulatedFleet,
    Target,
)

_START_TIME = timedelta(seconds=15)
_COLD_TIME = timedelta(seconds=7)
_LEARNING_TIME = timedelta(seconds=3.5)
"""Lag of the list, and age at which a list no longer tells what is cold."""

_REQUESTS_PER_SECOND = 180
"""Of all entry VMs: more than twice what cold targets may get."""


def _seeds() -> range:
    first, _dash, last = os.environ.get('COLD_SEEDS', '1-4').partition('-')
    return range(int(first), int(last) + 1)


class ColdLimitTests(unittest.IsolatedAsyncioTestCase):
    """A target crashes when a cold one gets more than it can bear."""

    async def test_cold_targets_get_work(self) -> None:
        """Guards against a limit that is kept by sending nothing."""
        for entry_count in (1, 11, 84):
            with self.subTest(entry_count=entry_count):
                fleet = await _started_fleet(1, entry_count)
                sums = await self._play_cold_targets(fleet, fleet.targets)
                self.assertGreaterEqual(min(sums), ALLOWED_PER_SECOND / 3)

    async def test_vms_that_are_cut_off(self) -> None:
        """Guards against a limit that is divided by the VMs seen now.

        VMs that control VMs no longer see go on sending.
        """
        fleet = await _started_fleet(seed=1)
        away = fleet.entry_ids[:6]
        cut_off(fleet, away, timedelta(seconds=14))
        await fleet.run(timedelta(seconds=4), _per_step(fleet))
        await self._play_cold_targets(fleet, fleet.targets)

    async def test_restarts_and_cuts_in_series(self) -> None:
        """Guards the sum through overlapping faults of all kinds."""
        for seed in _seeds():
            with self.subTest(seed=seed):
                fleet = await _started_fleet(seed)
                await self._play_rounds(fleet)

    async def _play_rounds(self, fleet: SimulatedFleet) -> None:
        for faults in (3, 4, 5):
            plan_faults(fleet, faults)
            cold = fleet.random.sample(fleet.targets, 4)
            await self._play_cold_targets(fleet, cold)

    async def _play_cold_targets(
        self, fleet: SimulatedFleet, targets: list[Target]
    ) -> list[int]:
        """Return the most requests of a second for each target."""
        began = fleet.now
        for target in targets:
            target.cold_until = began + _COLD_TIME
            if fleet.random.randrange(5) < 2:
                # It starts again under its id.
                target.up_from = began + timedelta(seconds=0.4)
                target.started_ms += 1
        await fleet.run(_COLD_TIME, _per_step(fleet))
        learned = began + _LEARNING_TIME
        sums = [
            fleet.most_while_cold(target, learned, began + _COLD_TIME)
            for target in targets
        ]
        self.assertLessEqual(max(sums), ALLOWED_PER_SECOND)
        return sums


async def _started_fleet(seed: int, entry_count: int = 11) -> SimulatedFleet:
    fleet = SimulatedFleet(seed, entry_count)
    await fleet.run(_START_TIME, 0)
    await fleet.run(timedelta(seconds=2), _per_step(fleet))
    return fleet


def _per_step(fleet: SimulatedFleet) -> float:
    return _REQUESTS_PER_SECOND * STEP.total_seconds() / len(fleet.entry_ids)
