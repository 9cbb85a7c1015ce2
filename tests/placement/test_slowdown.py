"""Guards that decisions use the speed that targets state."""

import unittest
from dataclasses import replace
from datetime import timedelta

from plantainstand_placement import (
    Choice,
    LoadReport,
    Refusal,
    ServiceEstimates,
    ServiceTargets,
    TargetState,
    choose_target,
)
from plantainstand_placement._criteria import PlacementCriteria
from plantainstand_placement._slowdown import ReportedSlowdown

from tests.placement.builders import (
    NOW,
    SERVICE_TIME,
    criteria,
    estimates,
    idle_targets,
)
from tests.placement.overload import Replay
from tests.placement.replayed_load import CHANGING_SPEED

_SEEDS = (1, 2, 3)
_DURATION = timedelta(seconds=15)

# Each VM has to hear from a target more often than its speed changes.
_FEW_VMS = replace(
    CHANGING_SPEED,
    vms_by_region=3,
    targets_by_region=(2, 8, 10),
    arrivals_per_second=385,
    objects=76,
)


def _choose_as_usual(
    placement: PlacementCriteria,
    targets: ServiceTargets,
    known: ServiceEstimates,
) -> Choice | Refusal:
    """Baseline: takes the speed of all targets for the usual one."""
    for state in targets.states:
        state.slowdown = ReportedSlowdown()
    return choose_target(placement, targets, known)


class SlowdownTests(unittest.TestCase):
    """Requests must not wait for a target that states that it is slow."""

    def test_expected_times_follow_slowdown(self) -> None:
        """Run and wait take as much longer as the target states, for a while.

        Without a statement they are those of a target at its usual speed.
        """
        state = idle_targets('a')[0]
        targets = ServiceTargets([state])
        for slowdown, age_ms, run in (
            (1.0, 0, SERVICE_TIME),
            (2.5, 0, SERVICE_TIME * 2.5),
            (2.5, 300, SERVICE_TIME * 1.75),
            (2.5, 6000, SERVICE_TIME),
        ):
            with self.subTest(slowdown=slowdown, age_ms=age_ms):
                report = LoadReport(4, 1, 4, slowdown)
                state.record_response(NOW, report, failed=False)
                now = NOW + timedelta(milliseconds=age_ms)
                choice = choose_target(criteria(), targets, estimates(now))
                assert isinstance(choice, Choice)
                self.assertAlmostEqual(choice.expected_run / run, 1, places=3)

    def test_queue_of_slow_target_is_left(self) -> None:
        """A queue that is short at the usual speed is long at a slow target."""
        for slowdown, moves in ((1.0, False), (2.5, True)):
            first, second = self._ordered_targets()
            report = LoadReport(4, 2, 4, slowdown)
            first.record_response(NOW, report, failed=False)
            targets = ServiceTargets([first, second])
            choice = choose_target(criteria(), targets, estimates())
            assert isinstance(choice, Choice)
            with self.subTest(slowdown=slowdown):
                self.assertEqual(choice.state is second, moves)

    def test_gains_on_changing_speeds(self) -> None:
        """At 2.5 times the usual load, more requests meet the objective."""
        gains = []
        for seed in _SEEDS:
            ours = Replay(choose_target, seed, _FEW_VMS).run(_DURATION)
            before = Replay(_choose_as_usual, seed, _FEW_VMS).run(_DURATION)
            gains.append(ours.share() - before.share())
        self.assertGreater(sum(gains) / len(gains), 0.01)

    def _ordered_targets(self) -> tuple[TargetState, TargetState]:
        first, second = idle_targets('a', 'b')
        targets = ServiceTargets([first, second])
        choice = choose_target(criteria(), targets, estimates())
        assert isinstance(choice, Choice)
        return (first, second) if choice.state is first else (second, first)
