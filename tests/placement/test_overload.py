"""Guards that an overload from a cold start ends once targets are warm."""

import unittest
from datetime import timedelta

from plantainstand_placement import choose_target

from tests.placement.overload import (
    Replay,
    ReplayResult,
    choose_first_in_order,
    choose_least_loaded,
)

_DURATION = timedelta(seconds=10)
_SEEDS = (1, 2, 3)


def _share_in_objective(result: ReplayResult) -> float:
    return result.in_objective / result.arrived


class OverloadTests(unittest.TestCase):
    """Requests that time out in queues must not keep targets cold."""

    def test_recovers_from_cold_start(self) -> None:
        """Most requests of ten seconds are served within the objective.

        Warm targets need half of their slots, so nearly all requests can be
        served after about two seconds.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = Replay(choose_target, seed).run(_DURATION)
                self.assertGreater(_share_in_objective(result), 0.7)

    def test_few_requests_time_out(self) -> None:
        """Requests that would time out in a queue are rejected instead."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                result = Replay(choose_target, seed).run(_DURATION)
                self.assertLess(result.timed_out / result.arrived, 0.02)

    def test_beats_baselines(self) -> None:
        """Neither a fixed order nor the least load alone serves as many."""
        for baseline in (choose_least_loaded, choose_first_in_order):
            for seed in _SEEDS:
                with self.subTest(baseline=baseline.__name__, seed=seed):
                    ours = Replay(choose_target, seed).run(_DURATION)
                    theirs = Replay(baseline, seed).run(_DURATION)
                    self.assertGreater(
                        _share_in_objective(ours),
                        _share_in_objective(theirs),
                    )
