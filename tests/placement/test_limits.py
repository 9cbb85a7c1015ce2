"""Guards that the shares of all entry VMs add up to at most the limit."""

import unittest
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_core import ServiceId
from plantainstand_placement import (
    ColdTargetLimits,
    RetryBudgetLimits,
    RetryBudgetShare,
)

from tests.placement.builders import NOW

_LIMITS = RetryBudgetLimits(0.2, 58, timedelta(seconds=10))
_SERVICE = ServiceId('orders')


class ColdTests(unittest.TestCase):
    """A cold target fails above its rate, whichever VMs send to it."""

    @given(st.floats(1, 200), st.integers(1, 400), st.integers(0))
    def test_sum_stays_within_the_limit(
        self, rate: float, entry_count: int, target_seed: int
    ) -> None:
        """The shares of all entry VMs add up to the used part of the limit."""
        limits = ColdTargetLimits(factor=1.5, slack=5)
        shares = [
            limits.share(rate, entry_count, position)
            for position in range(entry_count)
        ]
        total = sum(share.limit(target_seed) for share in shares)
        self.assertEqual(total, shares[0].total)
        self.assertLessEqual(total, rate * 1.5 + 5)

    def test_more_vms_than_requests(self) -> None:
        """A cold target must not get nothing because there are many VMs."""
        limits = ColdTargetLimits(factor=1.5, slack=5)
        for entry_count in (10, 84, 200):
            limit_of = [
                limits.share(2.6, entry_count, position).limit(7)
                for position in range(entry_count)
            ]
            self.assertEqual(sum(limit_of), 7)
            self.assertEqual(max(limit_of), 1)

    def test_vm_without_a_position(self) -> None:
        """It takes nothing that another VM may have been given."""
        limits = ColdTargetLimits(factor=1.5, slack=5)
        self.assertEqual(limits.share(2.6, 10, None).limit(7), 0)
        self.assertEqual(limits.share(2.6, 3, None).limit(7), 2)


class RetryBudgetTests(unittest.TestCase):
    """Retries of all entry VMs together stay within the budget."""

    @given(
        st.integers(1, 30),
        st.lists(st.booleans(), min_size=1, max_size=400),
    )
    def test_sum_stays_within_the_budget(
        self,
        entry_count: int,
        steps: list[bool],
    ) -> None:
        """Holds for any interleaving of requests and retries in one window."""
        shares = [RetryBudgetShare(_LIMITS) for _ in range(entry_count)]
        requests = 0
        retries = 0
        for number, is_request in enumerate(steps):
            share = shares[number % entry_count]
            if is_request:
                requests += 1
                share.count_request(_SERVICE, NOW)
            else:
                retries += share.try_spend(_SERVICE, NOW, entry_count)
        self.assertLessEqual(retries, 0.2 * requests + 58)

    def test_window_slides(self) -> None:
        """Retries are allowed again once the window has passed."""
        share = RetryBudgetShare(_LIMITS)
        allowed = True
        while allowed:
            allowed = share.try_spend(_SERVICE, NOW, 1)
        later = NOW + timedelta(seconds=10.1)
        self.assertFalse(share.try_spend(_SERVICE, NOW, 1))
        self.assertTrue(share.try_spend(_SERVICE, later, 1))
