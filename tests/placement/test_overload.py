"""Cold start under full load: the overload must not outlast its cause."""

import unittest
from datetime import timedelta

from plantainstand_placement import choose_target

from tests.placement.overload import (
    Replay,
    Tally,
    choose_first_in_order,
    choose_least_loaded,
)

_DURATION = timedelta(seconds=10)
_SEEDS = (1, 2, 3)


def _share_in_objective(tally: Tally) -> float:
    return tally.in_objective / tally.arrived


class OverloadTests(unittest.TestCase):
    """Requests that wait until they are cut must not keep targets cold."""

    def test_recovers_from_cold_start(self) -> None:
        """Most of ten seconds is served in objective.

        Warm objects need half of the slots, so after a start of about two
        seconds nearly all requests can be served.
        """
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                tally = Replay(choose_target, seed).run(_DURATION)
                self.assertGreater(_share_in_objective(tally), 0.7)

    def test_little_work_is_cut(self) -> None:
        """Requests that would be cut in a queue are refused instead."""
        for seed in _SEEDS:
            with self.subTest(seed=seed):
                tally = Replay(choose_target, seed).run(_DURATION)
                self.assertLess(tally.cut / tally.arrived, 0.02)

    def test_beats_baselines(self) -> None:
        """A fixed order alone, or free slots alone, serve fewer."""
        for baseline in (choose_least_loaded, choose_first_in_order):
            for seed in _SEEDS:
                with self.subTest(baseline=baseline.__name__, seed=seed):
                    ours = Replay(choose_target, seed).run(_DURATION)
                    theirs = Replay(baseline, seed).run(_DURATION)
                    self.assertGreater(
                        _share_in_objective(ours),
                        _share_in_objective(theirs),
                    )
