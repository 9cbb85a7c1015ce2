"""Readings of the target list reach all VMs in time and as differences."""

import asyncio
import unittest
from collections.abc import Callable
from contextlib import AsyncExitStack, suppress
from datetime import timedelta

from plantainstand_control import ListProblem, TargetList
from plantainstand_control._poller import (
    DUE_CHECK_INTERVAL,
    ListPoller,
    ListReceivers,
)
from plantainstand_core import SystemClock
from plantainstand_fleet import TargetListing, TargetUpdate
from result import Err, Ok, Result

from tests.placement.builders import entry

_DRAIN_BOUND = timedelta(seconds=3)
"""A leaving target gets nothing later than this after the list shows it."""

_CALL_TIMEOUT = timedelta(milliseconds=800)
_DEADLINE_SECONDS = 15

Reading = Result[TargetList, ListProblem]


class _Reader:
    """A control VM that reads scripted lists, then the last one again."""

    def __init__(self, *readings: Reading, turn: int = 0):
        self.calls = 0
        self.published: list[TargetUpdate] = []
        self.shared: list[TargetUpdate] = []
        self._readings = list(readings)
        receivers = ListReceivers(self.published.append, self._share)
        self.followers: list[ListPoller] = []
        self._listing = TargetListing()
        self.poller = ListPoller(
            self._read,
            lambda: turn,
            receivers,
            SystemClock(),
            100,
        )

    async def run(self, stack: AsyncExitStack) -> None:
        """Read until the stack is closed."""
        task = asyncio.create_task(self.poller.run())
        stack.push_async_callback(_cancel, task)

    async def _read(self) -> Reading:
        self.calls += 1
        if len(self._readings) > 1:
            return self._readings.pop(0)
        return self._readings[0]

    def _share(self, update: TargetUpdate) -> None:
        self.shared.append(update)
        self._listing.apply(update, SystemClock().monotonic())
        for follower in self.followers:
            follower.adopt(self._listing)


async def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


async def _until(reached: Callable[[], bool]) -> None:
    async with asyncio.timeout(_DEADLINE_SECONDS):
        while not reached():
            await asyncio.sleep(0.01)


def _named(update: TargetUpdate) -> tuple[list[str], list[str]]:
    return [each.target for each in update.updated], list(update.removed)


class PollerTests(unittest.IsolatedAsyncioTestCase):
    """Lists that change, shrink or cannot be read."""

    async def asyncSetUp(self) -> None:
        """Own the tasks of the test."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def test_differences(self) -> None:
        """An unreadable list changes nothing; a shorter one removes."""
        leaving = entry('b', draining=True)
        reader = _Reader(
            Ok(TargetList((entry('a'), entry('b')), 1)),
            Err(ListProblem('unreadable')),
            Ok(TargetList((leaving,), 1)),
        )
        await reader.run(self.stack)
        await _until(lambda: len(reader.published) > 1)
        named = [_named(update) for update in reader.published]
        self.assertEqual(named[0], (['a', 'b'], []))
        self.assertEqual(named[1], (['b'], ['a']))

    async def test_others_read_nothing_while_one_does(self) -> None:
        """Calls to the list must not grow with the number of VMs."""
        there = Ok(TargetList((entry('a'),), 1))
        reader = _Reader(there)
        others = (_Reader(there, turn=1), _Reader(there, turn=2))
        reader.followers = [other.poller for other in others]
        for each in (reader, *others):
            await each.run(self.stack)
        await _until(lambda: reader.calls > 3)
        self.assertFalse(any(other.calls for other in others))
        self.assertEqual(_named(others[0].published[-1]), ([], []))

    async def test_next_in_turn_takes_over(self) -> None:
        """The list is read on when the VM that read it falls silent."""
        there = Ok(TargetList((entry('a'),), 1))
        others = [_Reader(there, turn=turn) for turn in (1, 2)]
        others[0].followers = [others[1].poller]
        for each in others:
            await each.run(self.stack)
        await _until(lambda: others[0].calls > 2)
        self.assertEqual(others[1].calls, 0)

    async def test_new_reader_shares_the_whole_list(self) -> None:
        """Differences to a list that others never had would mislead them."""
        first = _Reader(Ok(TargetList((entry('a'), entry('b')), 1)))
        second = _Reader(Ok(TargetList((entry('b'),), 1)))
        first.followers = [second.poller]
        async with AsyncExitStack() as stack:
            await first.run(stack)
            await _until(lambda: bool(first.shared))
        await second.run(self.stack)
        await _until(lambda: bool(second.shared))
        self.assertTrue(second.shared[0].full)

    def test_older_list_is_not_adopted(self) -> None:
        """A VM that was cut off must not bring back targets that left."""
        reader = _Reader(Ok(TargetList((), 1)))
        clock = SystemClock()
        for name, age in (('new', 0), ('old', 9)):
            listing = TargetListing()
            update = TargetUpdate(
                full=True,
                updated=(entry(name),),
                removed=(),
                age_seconds=age,
            )
            listing.apply(update, clock.monotonic())
            reader.poller.adopt(listing)
        full = reader.poller.full_update()
        assert full is not None
        self.assertEqual(_named(full), (['new'], []))

    def test_takeover_is_fast_enough(self) -> None:
        """Any VM alone must notice a leaving target without the others."""
        there = Ok(TargetList((), 1))
        for turn in (1, 2, 3, 8, 52):
            with self.subTest(turn=turn):
                slowest = _Reader(there, turn=turn).poller._interval()
                slowest += DUE_CHECK_INTERVAL
                self.assertLess(slowest + _CALL_TIMEOUT, _DRAIN_BOUND)


class ColdTimeTests(unittest.IsolatedAsyncioTestCase):
    """Remaining cold times change with each reading."""

    async def test_running_down_is_not_sent(self) -> None:
        """A release of many targets must not fill small links each second."""
        self.assertEqual(await self._changes(3, 2, 1), [1, 0, 0])

    async def test_cold_again_is_sent(self) -> None:
        """A target may become cold at any moment."""
        self.assertEqual(await self._changes(0, 3), [1, 1])

    async def test_constant_time_is_sent(self) -> None:
        """A target that stays cold is not taken for warm."""
        self.assertEqual(await self._changes(3, 3), [1, 1])

    async def _changes(self, *seconds: float) -> list[int]:
        """Return how many entries are sent for each reading."""
        reader = _Reader(
            *(
                Ok(TargetList((entry('a', cold_seconds=left),), 1))
                for left in seconds
            ),
        )
        async with AsyncExitStack() as stack:
            await reader.run(stack)
            await _until(lambda: len(reader.published) >= len(seconds))
        published = reader.published[: len(seconds)]
        return [len(update.updated) for update in published]
