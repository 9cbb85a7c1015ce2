"""Readings of the target list reach entry VMs in time and as differences."""

import asyncio
import unittest
from contextlib import suppress
from datetime import timedelta

from plantainstand_control import ListProblem, TargetList
from plantainstand_control._poller import (
    DUE_CHECK_INTERVAL,
    STANDBY_INTERVAL,
    ListPoller,
)
from plantainstand_core import SystemClock
from plantainstand_fleet import TargetUpdate
from result import Err, Ok, Result

from tests.placement.builders import entry

_DRAIN_BOUND = timedelta(seconds=3)
"""A leaving target gets nothing later than this after the list shows it."""

_CALL_TIMEOUT = timedelta(milliseconds=800)
_DEADLINE_SECONDS = 15

Reading = Result[TargetList, ListProblem]


def _poller(
    readings: list[Reading],
    updates: list[TargetUpdate],
) -> ListPoller:
    async def read() -> Reading:
        return readings.pop(0)

    return ListPoller(read, lambda: True, updates.append, SystemClock(), 100)


async def _run(readings: list[Reading]) -> list[TargetUpdate]:
    updates: list[TargetUpdate] = []
    running = asyncio.create_task(_poller(readings, updates).run())
    async with asyncio.timeout(_DEADLINE_SECONDS):
        while readings:
            await asyncio.sleep(0.01)
    running.cancel()
    with suppress(asyncio.CancelledError):
        await running
    return updates


class PollerTests(unittest.IsolatedAsyncioTestCase):
    """Lists that change, shrink or cannot be read."""

    async def test_differences(self) -> None:
        """An unreadable list changes nothing; a shorter one removes."""
        readings: list[Reading] = [
            Ok(TargetList((entry('a'), entry('b')), 1)),
            Err(ListProblem('unreadable')),
            Ok(TargetList((entry('b', draining=True),), 1)),
        ]
        updates = await _run(readings)
        named = [
            ([each.target for each in update.present], list(update.gone))
            for update in updates
        ]
        self.assertEqual(named, [(['a', 'b'], []), (['b'], ['a'])])

    def test_standby_alone_is_fast_enough(self) -> None:
        """The others must notice a leaving target without the leader."""
        slowest = STANDBY_INTERVAL + DUE_CHECK_INTERVAL
        self.assertLess(slowest + _CALL_TIMEOUT, _DRAIN_BOUND)
