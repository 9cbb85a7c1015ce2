"""Sums over all entry VMs stay within their bounds."""

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

_TERMS = RetryBudgetLimits(0.2, 58, timedelta(seconds=10))
_SERVICE = ServiceId('orders')


class ColdTests(unittest.TestCase):
    """A cold target crashes above its rate, whoever sends."""

    @given(st.floats(1, 200), st.integers(1, 400))
    def test_sum_stays_within_the_bound(
        self,
        rate: float,
        entry_count: int,
    ) -> None:
        """All entry VMs together keep to the bound."""
        terms = ColdTargetLimits(factor=1.5, slack=5)
        total = terms.per_vm(rate, entry_count) * entry_count
        self.assertLessEqual(total, rate * 1.5 + 5)


class RetryBudgetTests(unittest.TestCase):
    """Repeats of all entry VMs together keep to the budget."""

    @given(
        st.integers(1, 30),
        st.lists(st.booleans(), min_size=1, max_size=400),
    )
    def test_sum_stays_within_the_budget(
        self,
        entry_count: int,
        steps: list[bool],
    ) -> None:
        """Any interleaving of requests and repeats in one window."""
        shares = [RetryBudgetShare(_TERMS) for _ in range(entry_count)]
        requests = 0
        repeats = 0
        for number, is_request in enumerate(steps):
            share = shares[number % entry_count]
            if is_request:
                requests += 1
                share.count_request(_SERVICE, NOW)
            else:
                repeats += share.take(_SERVICE, NOW, entry_count)
        self.assertLessEqual(repeats, 0.2 * requests + 58)

    def test_window_slides(self) -> None:
        """Repeats are allowed again after the window."""
        share = RetryBudgetShare(_TERMS)
        allowed = True
        while allowed:
            allowed = share.take(_SERVICE, NOW, 1)
        later = NOW + timedelta(seconds=10.1)
        self.assertFalse(share.take(_SERVICE, NOW, 1))
        self.assertTrue(share.take(_SERVICE, later, 1))
