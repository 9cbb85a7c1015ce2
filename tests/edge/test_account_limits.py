"""Guards the limits of accounts from entry VM to leader and back."""

import asyncio
import unittest
from bisect import bisect_left
from datetime import timedelta
from unittest.mock import patch

from plantainstand_allotments import AllotmentTerms
from plantainstand_desired import AccountName
from result import Ok

from tests.edge.simulated_accounts import (
    FOLLOWER,
    LEADER,
    SimulatedAccounts,
    SimulatedEntry,
    run_with_accounts,
)

_ACCOUNT = AccountName('acme')
_TERMS = AllotmentTerms(timedelta(seconds=5), 0.1, 20)
_RATE = 40
_ALLOWED = (_RATE * 5 + _RATE) * 1.1 + 20
_LONGEST_DELAY = 0.025
"""Regions are 20 ms apart."""

_LOG = 'plantainstand_edge._account_limits._log'
_WARM_UP_SECONDS = 15
"""Time until a first leader may raise allotments, and some windows."""


class AccountLimitTests(unittest.TestCase):
    """More runs than allowed, or rejections below the limit, cost callers."""

    def setUp(self) -> None:
        """Start without runs."""
        self.runs: list[float] = []
        self.rejections: list[tuple[float, bool]] = []

    def test_below_the_limit(self) -> None:
        """No request is rejected, on whichever VM it arrives."""

        async def test(world: SimulatedAccounts) -> None:
            await self._send(world, _WARM_UP_SECONDS, 0.7 * _RATE)
            self.rejections.clear()
            await self._send(world, 20, 0.7 * _RATE)
            self.assertEqual(self.rejections, [])

        self._run(test, 1)

    def test_hot_account(self) -> None:
        """No window has more runs than allowed; the others get 429."""

        async def test(world: SimulatedAccounts) -> None:
            await self._send(world, _WARM_UP_SECONDS, 0.7 * _RATE)
            with patch(_LOG) as log:
                await self._send(world, 10, 6 * _RATE)
                readings = world.entry.contact.readings(timedelta())
                self.assertEqual(readings['exhausted_accounts'], 1)
                await self._pause(world)
            names = [call.args[0] for call in log.info.call_args_list]
            self.assertEqual(
                names.count('account limit reached'), len(world.entries)
            )
            self.assertEqual(
                names.count('account below its limit again'),
                len(world.entries),
            )
            self.assertTrue(self.rejections)
            late = [at for at, over in self.rejections if not over]
            self.assertLess(len(late), len(self.rejections) / 10)

        for seed in range(3):
            self._run(test, seed)

    def test_change_of_leader_and_cut(self) -> None:
        """Windows stay within the limit; a VM without a lease runs nothing."""

        async def test(world: SimulatedAccounts) -> None:
            await self._send(world, _WARM_UP_SECONDS, 3 * _RATE)
            world.cut_off(world.entry)
            for control in world.controls.values():
                control.leader = None
            await self._send(world, 1, 3 * _RATE)
            for control in world.controls.values():
                control.leader = FOLLOWER
                control.term = 2
            await self._send(world, 25, 3 * _RATE)
            self.runs.clear()
            started = asyncio.get_running_loop().time()
            outcome = await world.entry.contact.checks.permits.acquire(_ACCOUNT)
            denial = outcome.unwrap_err()
            self.assertFalse(denial.is_over_limit)
            waited = asyncio.get_running_loop().time() - started
            self.assertAlmostEqual(waited, 0.2, places=2)
            await self._send(world, 10, 3 * _RATE)
            self.assertTrue(self.runs)

        for seed in range(3):
            self._run(test, seed)

    def test_first_account(self) -> None:
        """It is served at once by VMs and a leader that ran before."""

        async def test(world: SimulatedAccounts) -> None:
            for entry in world.entries:
                entry.view.accounts._requires_keys = False
                entry.view.accounts._limited.clear()
            await self._send(world, 6, 0)
            for entry in world.entries:
                self.assertEqual(entry.asked, [])
                entry.view.accounts.update((world.account,))
                entry.contact.questions.check()
            await self._send(world, 1, 0.7 * _RATE)
            self.rejections.clear()
            await self._send(world, 10, 0.7 * _RATE)
            self.assertEqual(self.rejections, [])

        self._run(test, 1)

    def test_account_without_a_limit(self) -> None:
        """It costs no message, and is not counted."""

        async def test(world: SimulatedAccounts) -> None:
            await self._send(world, 2, 5 * _RATE)
            self.assertEqual(world.entry.asked, [])
            self.assertEqual(self.rejections, [])

        run_with_accounts(test, 1, withdrawal_limit=None, terms=_TERMS)

    def test_questions_of_waiting_requests(self) -> None:
        """They become fewer than one in 50 ms while nobody answers."""

        async def test(world: SimulatedAccounts) -> None:
            world.controls[LEADER].leader = None
            world.controls[FOLLOWER].leader = None
            await self._send(world, 10, 3 * _RATE)
            for entry in world.entries:
                self.assertLess(len(entry.asked), 120)

        self._run(test, 1)

    def _run(self, test: object, seed: int) -> None:
        self.runs.clear()
        self.rejections.clear()
        run_with_accounts(
            test,  # type: ignore[arg-type]
            seed,
            terms=_TERMS,
            entry_count=6,
            limit=(_RATE, _RATE),
            longest_delay=_LONGEST_DELAY,
        )
        self.runs.sort()
        for position, at in enumerate(self.runs):
            window_end = bisect_left(self.runs, at + 5)
            self.assertLessEqual(window_end - position, _ALLOWED)

    async def _pause(self, world: SimulatedAccounts) -> None:
        """Send nothing until all accounts are below their limits again."""
        await self._send(world, 6, 0)
        for entry in world.entries:
            entry.contact.check(entry.clock.monotonic())

    async def _send(
        self, world: SimulatedAccounts, seconds: float, rate: float
    ) -> None:
        """Send requests of the account to VMs that are drawn at random."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        requests = set()
        while loop.time() < end:
            pause = world.random.expovariate(rate) if rate else seconds
            await asyncio.sleep(min(pause, end - loop.time() + 0.001))
            if rate:
                entry = world.random.choice(world.entries)
                requests.add(asyncio.create_task(self._request(entry)))
        await asyncio.gather(*requests)

    async def _request(self, entry: SimulatedEntry) -> None:
        permits = entry.contact.checks.permits
        acquired = await permits.acquire(_ACCOUNT)
        now = asyncio.get_running_loop().time()
        if isinstance(acquired, Ok):
            self.runs.append(now)
        else:
            denial = acquired.err_value
            self.rejections.append((now, denial.is_over_limit))
