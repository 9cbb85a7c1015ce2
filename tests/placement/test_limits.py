"""Guards that the shares of all entry VMs add up to at most the limit."""

import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import RegionId, ServiceId
from plantainstand_fleet import VmSeed
from plantainstand_placement import (
    ColdTargetLimits,
    FleetShare,
    RetryBudgetLimits,
    RetryBudgetShare,
)

from tests.placement.builders import ALONE, NOW, fleet_shares

_LIMITS = RetryBudgetLimits(0.2, 58, timedelta(seconds=10))
_SERVICE = ServiceId('orders')
_TARGET_SEEDS = st.integers(0, 2**32 - 1)


class ColdTests(unittest.TestCase):
    """A cold target fails above its rate, whichever VMs send to it."""

    # Ranking 400 VMs by each of them takes longer than the usual deadline.
    @settings(deadline=None)
    @given(st.floats(1, 200), st.integers(1, 400), _TARGET_SEEDS)
    def test_sum_stays_within_the_limit(
        self, rate: float, entry_count: int, target_seed: int
    ) -> None:
        """The shares of all entry VMs add up to the used part of the limit."""
        limits = ColdTargetLimits(factor=1.5, slack=5)
        shares = [
            limits.share(rate, fleet)
            for _region, fleet in fleet_shares([entry_count])
        ]
        total = sum(share.limit(target_seed) for share in shares)
        self.assertEqual(total, shares[0].total)
        self.assertLessEqual(total, rate * 1.5 + 5)

    @given(
        st.integers(0, 300),
        st.sets(st.integers(0, 400), min_size=1),
        st.lists(st.sets(st.integers(0, 400)), min_size=1, max_size=8),
        _TARGET_SEEDS,
    )
    def test_vms_that_count_different_vms(
        self,
        total: int,
        senders: set[int],
        others: list[set[int]],
        target_seed: int,
    ) -> None:
        """Guards against parts that overlap while VMs count others.

        Each sender counts all senders, and some VMs that are gone or new.
        """
        region = RegionId('norte')
        parts = [
            FleetShare(
                VmSeed(seed),
                {
                    region: frozenset(
                        map(VmSeed, senders | others[number % len(others)])
                    )
                },
            )
            for number, seed in enumerate(sorted(senders))
        ]
        for sum_of_parts in (
            sum(part.part(total, target_seed) for part in parts),
            sum(
                part.regional_part(region, total, target_seed) for part in parts
            ),
        ):
            self.assertLessEqual(sum_of_parts, total)

    def test_more_vms_than_requests(self) -> None:
        """A cold target must not get nothing because there are many VMs."""
        limits = ColdTargetLimits(factor=1.5, slack=5)
        for entry_count in (10, 84, 200):
            limit_of = [
                limits.share(2.6, fleet).limit(7)
                for _region, fleet in fleet_shares([entry_count])
            ]
            self.assertEqual(sum(limit_of), 7)
            self.assertEqual(max(limit_of), 1)

    def test_vm_without_a_lease(self) -> None:
        """It takes nothing that another VM may have been given."""
        limits = ColdTargetLimits(factor=1.5, slack=5)
        regions = ALONE.regions
        for fleet in (FleetShare(None, regions), FleetShare(None, {})):
            self.assertEqual(limits.share(2.6, fleet).limit(7), 0)


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
