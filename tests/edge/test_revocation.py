"""Guards the withdrawal of keys from entry VM to leader and back."""

import asyncio
import unittest

from plantainstand_edge._access import AccessDenial

from tests.edge.simulated_accounts import (
    LEADER,
    WITHDRAWAL_LIMIT,
    SimulatedAccounts,
    run_with_accounts,
)

_PROBE_SECONDS = 0.01


class RevocationTests(unittest.TestCase):
    """A key that works after its withdrawal runs requests of anybody."""

    def test_vm_is_cut_off(self) -> None:
        """The key ends within the limit, wherever messages are lost."""
        for seed in range(60):
            with self.subTest(seed=seed):
                rate = (0.95, 1, 1.05)[seed % 3]
                run_with_accounts(self._cut_off, seed, rate=rate)

    def test_vm_in_contact(self) -> None:
        """The key ends with the change, as a key that nobody has."""

        async def test(world: SimulatedAccounts) -> None:
            await asyncio.sleep(1)
            self.assertTrue(world.entry.check().is_ok())
            world.remove_account()
            await asyncio.sleep(0.1)
            denial = world.entry.check().err()
            self.assertIs(denial, AccessDenial.UNKNOWN_KEY)

        run_with_accounts(test, 1)

    def test_control_vm_does_not_answer(self) -> None:
        """The next one is asked; no request is rejected meanwhile."""

        async def test(world: SimulatedAccounts) -> None:
            await asyncio.sleep(1)
            world.cut.add((world.entry.vm, LEADER))
            for _ in range(1000):
                await asyncio.sleep(_PROBE_SECONDS)
                self.assertTrue(world.entry.check().is_ok())
            self.assertLess(world.entry.asked.count(LEADER), 5)

        run_with_accounts(test, 1)

    def test_no_leader(self) -> None:
        """Without answers keys are not confirmed, rather than unknown."""

        async def test(world: SimulatedAccounts) -> None:
            await asyncio.sleep(1)
            for control in world.controls.values():
                control.leader = None
            await asyncio.sleep(5)
            denial = world.entry.check().err()
            self.assertIs(denial, AccessDenial.UNCONFIRMED_KEYS)

        run_with_accounts(test, 1)

    def test_nothing_to_ask(self) -> None:
        """Without accounts, or a limit on withdrawals, nothing is sent.

        Control VMs of the version before close the link on a question.
        """

        async def without_limit(world: SimulatedAccounts) -> None:
            await asyncio.sleep(2)
            self.assertEqual(world.entry.asked, [])
            self.assertTrue(world.entry.check().is_ok())

        async def without_accounts(world: SimulatedAccounts) -> None:
            accounts = world.entry.view.accounts
            accounts._requires_keys = False
            await asyncio.sleep(2)
            self.assertEqual(world.entry.asked, [])
            accounts.update((world.account,))
            world.entry.contact.questions.check()
            await asyncio.sleep(0.3)
            self.assertTrue(world.entry.check().is_ok())

        run_with_accounts(without_limit, 1, withdrawal_limit=None)
        run_with_accounts(without_accounts, 1)

    async def _cut_off(self, world: SimulatedAccounts) -> None:
        entry = world.entry
        draw = world.random.uniform
        loop = asyncio.get_running_loop()
        await asyncio.sleep(draw(1, 2))
        self.assertTrue(entry.check().is_ok())
        loop.call_later(draw(0, 0.3), world.cut_off, entry)
        await asyncio.sleep(draw(0, 0.3))
        world.remove_account()
        withdrawn_at = entry.clock.real()
        while entry.clock.real() - withdrawn_at < 2 * WITHDRAWAL_LIMIT:
            if entry.check().is_ok():
                elapsed = entry.clock.real() - withdrawn_at
                self.assertLess(elapsed, WITHDRAWAL_LIMIT)
            await asyncio.sleep(_PROBE_SECONDS)
