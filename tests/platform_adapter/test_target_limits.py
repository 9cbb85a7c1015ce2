"""Guards the request limits that targets in need state for all VMs."""

import unittest
from contextlib import AsyncExitStack
from datetime import timedelta
from pathlib import Path
from tempfile import TemporaryDirectory

from plantainstand_bench._limited_fleet import FleetShape, LimitedFleet
from plantainstand_bench._limited_target import HeaderNames, allowed_requests
from plantainstand_core import SystemClock
from plantainstand_platform.requests import platform_header_codec

_VM_COUNT = 12
_TARGETS_PER_REGION = 3
_REQUESTS_PER_SECOND = 20
_LIMITS = (3.0, 6.5, 1.2)
"""Requests per second that one target of each region states; each gets about 27
without a limit."""

_SHARING_TIME = timedelta(seconds=1)
"""Time after which a VM that a target has not told knows of its limit too."""


class TargetLimitTests(unittest.IsolatedAsyncioTestCase):
    """Twelve VMs send to nine targets, three of which state limits."""

    async def asyncSetUp(self) -> None:
        """Start the fleet."""
        self.stack = AsyncExitStack()
        self.addAsyncCleanup(self.stack.aclose)
        folder = Path(self.stack.enter_context(TemporaryDirectory()))
        self.fleet = LimitedFleet(
            FleetShape(_VM_COUNT, _TARGETS_PER_REGION),
            platform_header_codec(),
            HeaderNames(
                b'x-request-id',
                b'x-deadline-ms',
                b'server-limit',
                b'server-leaving',
                b'x-not-executed',
            ),
        )
        await self.fleet.start(self.stack, folder)
        self.limited = self.fleet.targets[::_TARGETS_PER_REGION]

    async def test_limit_holds_for_all_vms_together(self) -> None:
        """Guards against a limit that each VM ignores or keeps for itself."""
        await self._send(1)
        for target, limit in zip(self.limited, _LIMITS, strict=True):
            target.state_limit(limit)
        stated_at = SystemClock().monotonic()
        await self._send(9)
        for target, limit in zip(self.limited, _LIMITS, strict=True):
            with self.subTest(limit=limit):
                allowed = allowed_requests(limit)
                told = target.most_in_window(stated_at, told_only=True)
                self.assertLessEqual(told, allowed)
                every_vm = target.most_in_window(
                    stated_at + _SHARING_TIME, told_only=False
                )
                self.assertLessEqual(every_vm, allowed)
                # The target is in need, not gone.
                self.assertGreaterEqual(every_vm, limit * 2)
        self.assertEqual(set(self.fleet.statuses), {200})

    async def test_targets_that_leave_or_want_nothing(self) -> None:
        """Guards against requests to a target that has said so.

        The list shows neither; VMs restart meanwhile.
        """
        leaving, pausing, _other = self.limited
        await self._send(1)
        leaving.leave()
        pausing.turn_away(timedelta(seconds=2.5))
        await self._send(3)
        pausing.turn_away(timedelta())
        for number in (0, 4, 7):
            await self.fleet.restart(number)
        await self._send(5)
        self.assertIsNotNone(leaving.leaving_since)
        self.assertEqual(leaving.arrivals_after_leaving(_SHARING_TIME), 0)
        self.assertGreater(len(pausing.pauses), 0)
        self.assertEqual(pausing.arrivals_in_pauses(), 0)
        self.assertGreater(
            sum(at > pausing.pauses[-1][2] for at, _vm in pausing.arrivals), 10
        )

    async def _send(self, seconds: float) -> None:
        await self.fleet.send_requests(
            _REQUESTS_PER_SECOND, timedelta(seconds=seconds)
        )
