"""Tests that target list readings reach all VMs in time, as differences."""

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

_MAX_DRAIN_DELAY = timedelta(seconds=3)
"""Time after which a target that the list shows as leaving gets no requests."""

_CALL_TIMEOUT = timedelta(milliseconds=800)
_DEADLINE_SECONDS = 15

Reading = Result[TargetList, ListProblem]


class _ScriptedReader:
    """Control VM that reads the given lists, and then repeats the last one."""

    def __init__(self, *readings: Reading | OverflowError, rank: int = 0):
        self.calls = 0
        self.published: list[TargetUpdate] = []
        self.shared: list[TargetUpdate] = []
        self._readings = list(readings)
        receivers = ListReceivers(self.published.append, self._share)
        self.followers: list[ListPoller] = []
        self._listing = TargetListing()
        self.poller = ListPoller(
            self._read,
            lambda: rank,
            receivers,
            SystemClock(),
            100,
        )

    async def run(self, stack: AsyncExitStack) -> None:
        """Start to read; the stack's exit ends it."""
        task = asyncio.create_task(self.poller.run())
        stack.push_async_callback(_cancel, task)

    async def _read(self) -> Reading:
        self.calls += 1
        reading = self._readings[0]
        if len(self._readings) > 1:
            self._readings.pop(0)
        if isinstance(reading, OverflowError):
            raise reading
        return reading

    def _share(self, update: TargetUpdate) -> None:
        self.shared.append(update)
        self._listing.apply(update, SystemClock().monotonic())
        for follower in self.followers:
            follower.adopt_if_newer(self._listing)


async def _cancel(task: 'asyncio.Task[None]') -> None:
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


async def _until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_DEADLINE_SECONDS):
        while not condition():
            await asyncio.sleep(0.01)


def _target_names(update: TargetUpdate) -> tuple[list[str], list[str]]:
    return [each.target for each in update.updated], list(update.removed)


class PollerTests(unittest.IsolatedAsyncioTestCase):
    """Guards against stale targets and against needless calls to the list."""

    async def asyncSetUp(self) -> None:
        """Create the owner of the running pollers."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)

    async def test_differences_are_published(self) -> None:
        """A failed reading changes nothing; a shorter list removes targets."""
        leaving = entry('b', draining=True)
        reader = _ScriptedReader(
            Ok(TargetList((entry('a'), entry('b')), 1)),
            Err(ListProblem('unreadable')),
            Ok(TargetList((leaving,), 1)),
        )
        await reader.run(self.stack)
        await _until(lambda: len(reader.published) > 1)
        named = [_target_names(update) for update in reader.published]
        self.assertEqual(named[0], (['a', 'b'], []))
        self.assertEqual(named[1], (['b'], ['a']))

    async def test_higher_ranks_do_not_read_while_rank_zero_does(self) -> None:
        """The number of calls to the list does not grow with that of VMs."""
        one_target = Ok(TargetList((entry('a'),), 1))
        reader = _ScriptedReader(one_target)
        others = (
            _ScriptedReader(one_target, rank=1),
            _ScriptedReader(one_target, rank=2),
        )
        reader.followers = [other.poller for other in others]
        for each in (reader, *others):
            await each.run(self.stack)
        await _until(lambda: reader.calls > 3)
        self.assertFalse(any(other.calls for other in others))
        self.assertEqual(_target_names(others[0].published[-1]), ([], []))

    async def test_rank_one_takes_over(self) -> None:
        """Without a VM of rank 0, that of rank 1 reads and shares the list."""
        one_target = Ok(TargetList((entry('a'),), 1))
        others = [_ScriptedReader(one_target, rank=rank) for rank in (1, 2)]
        others[0].followers = [others[1].poller]
        for each in others:
            await each.run(self.stack)
        await _until(lambda: others[0].calls > 2)
        self.assertEqual(others[1].calls, 0)

    async def test_reader_that_fails(self) -> None:
        """Guards against a fault of one reading that ends all later ones."""
        reader = _ScriptedReader(
            Ok(TargetList((entry('a'),), 1)),
            OverflowError('a number is too large'),
            Ok(TargetList((entry('b'),), 1)),
        )
        await reader.run(self.stack)
        await _until(lambda: len(reader.published) > 1)
        self.assertEqual(_target_names(reader.published[1]), (['b'], ['a']))

    async def test_new_reader_shares_the_whole_list(self) -> None:
        """A VM shares the whole list first when it starts to read.

        Other VMs can't apply a difference to a list that they never had.
        """
        first = _ScriptedReader(Ok(TargetList((entry('a'), entry('b')), 1)))
        second = _ScriptedReader(Ok(TargetList((entry('b'),), 1)))
        first.followers = [second.poller]
        async with AsyncExitStack() as stack:
            await first.run(stack)
            await _until(lambda: bool(first.shared))
        await second.run(self.stack)
        await _until(lambda: bool(second.shared))
        self.assertTrue(second.shared[0].full)

    def test_older_list_is_not_adopted(self) -> None:
        """A VM that was disconnected does not restore removed targets."""
        reader = _ScriptedReader(Ok(TargetList((), 1)))
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
            reader.poller.adopt_if_newer(listing)
        full = reader.poller.full_update()
        assert full is not None
        self.assertEqual(_target_names(full), (['new'], []))

    async def test_reading_that_ends_late(self) -> None:
        """Guards against a slow reading that undoes a newer one.

        Another control VM has read the list meanwhile: a target that it found
        leaving, or new, would be usable again, or unknown.
        """
        reader = _ScriptedReader(Ok(TargetList((entry('old'),), 1)))
        began_at = SystemClock().monotonic()
        listing = TargetListing()
        update = TargetUpdate(
            full=True, updated=(entry('new'),), removed=(), age_seconds=0
        )
        listing.apply(update, SystemClock().monotonic())
        reader.poller.adopt_if_newer(listing)
        await reader.poller._read_once(began_at)
        full = reader.poller.full_update()
        assert full is not None
        self.assertEqual(_target_names(full), (['new'], []))
        self.assertEqual(len(reader.published), 1)
        self.assertFalse(reader.shared)

    def test_takeover_is_fast_enough(self) -> None:
        """A VM of any rank notices a leaving target in time without others."""
        one_target = Ok(TargetList((), 1))
        for rank in (1, 2, 3, 8, 52):
            with self.subTest(rank=rank):
                slowest = _ScriptedReader(
                    one_target, rank=rank
                ).poller._interval()
                slowest += DUE_CHECK_INTERVAL
                self.assertLess(slowest + _CALL_TIMEOUT, _MAX_DRAIN_DELAY)


class ColdTimeTests(unittest.IsolatedAsyncioTestCase):
    """Guards against needless and missing updates of remaining cold times."""

    async def test_decreasing_time_is_not_sent(self) -> None:
        """Many targets that warm up cause no updates each second.

        After a release of many targets such updates would fill slow links.
        """
        self.assertEqual(await self._count_sent_entries(3, 2, 1), [1, 0, 0])

    async def test_warm_target_that_becomes_cold_is_sent(self) -> None:
        """Other VMs learn that a warm target has become cold."""
        self.assertEqual(await self._count_sent_entries(0, 3), [1, 1])

    async def test_constant_time_is_sent(self) -> None:
        """A target that stays cold is not regarded as warm by other VMs."""
        self.assertEqual(await self._count_sent_entries(3, 3), [1, 1])

    async def _count_sent_entries(self, *seconds: float) -> list[int]:
        """Return how many entries are published for each reading."""
        reader = _ScriptedReader(
            *(
                Ok(TargetList((entry('a', cold_seconds=cold_seconds),), 1))
                for cold_seconds in seconds
            ),
        )
        async with AsyncExitStack() as stack:
            await reader.run(stack)
            await _until(lambda: len(reader.published) >= len(seconds))
        published = reader.published[: len(seconds)]
        return [len(update.updated) for update in published]
