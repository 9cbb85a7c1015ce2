"""Guards that objects in demand, and overload, leave no target behind."""

import unittest
from dataclasses import replace
from datetime import timedelta

from plantainstand_placement import (
    Choice,
    DemandEstimate,
    LoadReport,
    ObjectDemand,
    ServiceTargets,
    choose_target,
)
from plantainstand_placement._object_demand import MAX_COUNTED_REQUESTS

from tests.placement.builders import NOW, criteria, estimates, idle_targets
from tests.placement.overload import Replay
from tests.placement.replayed_load import (
    FEW_TARGETS,
    MANY_TARGETS,
    ReplayedLoad,
)

_DURATION = timedelta(seconds=14)


def _gain(load: ReplayedLoad, seed: int = 1) -> float:
    """Return by how much the share in the objective grows with counts."""
    ours = Replay(choose_target, seed, load).run(_DURATION)
    uncounted = replace(load, counts_objects=False)
    before = Replay(choose_target, seed, uncounted).run(_DURATION)
    return ours.share() - before.share()


class ObjectDemandTests(unittest.TestCase):
    """Objects in demand must not overload one target."""

    def test_preview(self) -> None:
        """Guards against previews that count or differ, also at a halving."""
        demand = ObjectDemand()
        for number in range(MAX_COUNTED_REQUESTS * 3):
            object_key = str(number % 300).encode()
            previews = {demand.preview(object_key) for _ in range(2)}
            self.assertEqual(previews, {demand.count(object_key)})

    def test_counts_are_bounded(self) -> None:
        """Many objects must not fill the memory of a VM."""
        demand = ObjectDemand()
        for number in range(MAX_COUNTED_REQUESTS * 10):
            demand.count(str(number).encode())
        self.assertLessEqual(len(demand._counts), MAX_COUNTED_REQUESTS)

    def test_old_demand_decays(self) -> None:
        """An object that is no longer requested loses its share."""
        demand = ObjectDemand()
        for _ in range(100):
            known = demand.count(b'old')
        self.assertGreater(known.share, 0.8)
        for number in range(MAX_COUNTED_REQUESTS * 4):
            demand.count(str(number).encode())
        self.assertLess(demand.count(b'old').share, 0.1)

    def test_demand_fills_homes_in_turn(self) -> None:
        """Requests use as many targets as they fill, others only one."""
        states = idle_targets('a', 'b', 'c', 'd', 'e', 'f', 'g', 'h')
        for state in states:
            state.record_response(NOW, LoadReport(2, 0, 4), failed=False)
        targets = ServiceTargets(states)
        for share, homes in ((0.01, 1), (0.3, 2), (0.6, 4)):
            placements = [
                replace(criteria(), demand=DemandEstimate(share, turn))
                for turn in range(8)
            ]
            choices = [
                choose_target(placement, targets, estimates())
                for placement in placements
            ]
            used = {
                choice.state.entry.target
                for choice in choices
                if isinstance(choice, Choice)
            }
            with self.subTest(share=share):
                self.assertEqual(len(used), homes)

    def test_gains_under_skewed_demand(self) -> None:
        """Objects in demand are answered in time at the usual load."""
        self.assertGreater(_gain(replace(MANY_TARGETS, skew=1.0)), 0.05)

    def test_gains_under_overload(self) -> None:
        """VMs that hear little of a target take it to be busy as others."""
        for load in (MANY_TARGETS, FEW_TARGETS):
            with self.subTest(targets=sum(load.targets_by_region)):
                overload = replace(load, phases=((60, 2.5),))
                self.assertGreater(_gain(overload), 0.05)

    def test_even_demand_is_served_as_before(self) -> None:
        """At the usual load, nothing is lost on objects in even demand."""
        warm = replace(MANY_TARGETS, skew=0.2, phases=((8, 0.6),))
        self.assertGreater(_gain(warm), -0.01)

    def test_requests_stay_in_their_regions(self) -> None:
        """At most 15 of 100 requests change region between intervals."""
        load = replace(MANY_TARGETS, skew=1.0, phases=((60, 1.5),))
        result = Replay(choose_target, 1, load).run(_DURATION)
        self.assertLessEqual(result.largest_move(2), 0.15)
