"""Guards the order in which ranks are admitted under overload."""

import unittest
from dataclasses import replace
from datetime import timedelta

from plantainstand_placement import (
    Admission,
    RankCounts,
    Refusal,
    ServiceTargets,
    choose_target,
)

from tests.placement.builders import (
    NOW,
    SERVICE_TIME,
    criteria,
    estimates,
    idle_targets,
)
from tests.placement.overload import Replay, ReplayResult
from tests.placement.replayed_load import FEW_TARGETS, MANY_TARGETS

# In the first half, cold targets rather than ranks decide who is served.
_DURATION = timedelta(seconds=24)


def _share(result: ReplayResult, rank: int) -> float:
    return result.in_objective_of[rank] / result.arrived_of[rank]


class AdmissionTests(unittest.TestCase):
    """Urgent requests must not be served less often than others."""

    def test_single_rank_has_no_effect(self) -> None:
        """A service whose requests have one rank is decided as before."""
        ranks = RankCounts()
        admissions = {ranks.count(3, 0) for _ in range(1000)}
        self.assertEqual(admissions, {None})
        ranks.count(1, 0)
        self.assertIsNotNone(ranks.count(3, 0))
        for _ in range(2000):
            last = ranks.count(3, 0)
        self.assertIsNone(last)

    def test_retry_after_follows_backlog_and_spreads(self) -> None:
        """Callers that are rejected together must not return together."""
        states = idle_targets('a')
        for _ in range(14):
            states[0].record_sent(NOW)
        waits = []
        for spread in (0, 0.1, 0.2):
            placement = replace(criteria(), admission=Admission(1, spread))
            refusal = choose_target(
                placement, ServiceTargets(states), estimates()
            )
            assert isinstance(refusal, Refusal)
            waits.append(refusal.retry_after / SERVICE_TIME)
        # 10 beyond 4 slots and half a slot of margin.
        for wait, spread in zip(waits, (1, 1.1, 1.2), strict=True):
            self.assertAlmostEqual(wait, 10.5 / 4 * spread, places=3)

    def test_urgent_ranks_are_served_first(self) -> None:
        """Under overload ranks are served in their order, and none starves."""
        for usual, factor in ((MANY_TARGETS, 2.5), (FEW_TARGETS, 4)):
            load = replace(
                usual,
                rank_shares=(0.3, 0.4, 0.3),
                phases=((60, factor),),
            )
            result = Replay(choose_target, 1, load).run(_DURATION)
            shares = [_share(result, rank) for rank in range(3)]
            uncounted = replace(load, counts_ranks=False)
            before = Replay(choose_target, 1, uncounted).run(_DURATION)
            with self.subTest(factor=factor, shares=shares):
                self.assertEqual(shares, sorted(shares, reverse=True))
                self.assertGreater(min(shares), sum(shares) / len(shares) / 4)
                self.assertGreater(shares[0], _share(before, 0) + 0.05)
                self.assertGreater(result.share(), before.share())
