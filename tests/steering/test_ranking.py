"""Ranking: who gets the request, with honest, stuck and lying reports."""

import unittest
from collections import Counter
from datetime import timedelta
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import AvailabilityZoneId, ManualClock
from plantainstand_steering import (
    AttemptResult,
    Candidate,
    CandidateId,
    CandidateKind,
    LoadReport,
    ServiceView,
    choose_free_target,
    may_share_target,
    rank_candidates,
)

_MS = timedelta(milliseconds=1)
_NEAR = CandidateId('vm/near')
_FAR = CandidateId('vm/far')
_LOCAL = CandidateId('target/local')


def _candidate(
    name: CandidateId,
    delay: timedelta = _MS,
    slots: int = 10,
    zone: str = 'a',
) -> Candidate:
    is_vm = name.startswith('vm/')
    return Candidate(
        name,
        CandidateKind.VM if is_vm else CandidateKind.TARGET,
        AvailabilityZoneId(zone),
        delay,
        20 * _MS,
        slots,
    )


class _Harness:
    def __init__(self, *candidates: Candidate, seed: int = 1):
        self.clock = ManualClock()
        self.view = ServiceView(candidates, self.clock, Random(seed))

    def first(self) -> CandidateId:
        return rank_candidates(self.view)[0].candidate.candidate_id

    def report(self, name: CandidateId, free: int, queued: int = 0) -> None:
        now = self.clock.monotonic()
        self.view.accept_report(name, LoadReport(free, 10, queued, now))

    def run(
        self,
        name: CandidateId,
        latency: timedelta,
        times: int = 1,
        result: AttemptResult = AttemptResult.ANSWERED,
    ) -> None:
        for _ in range(times):
            attempt = self.view.start(name)
            self.clock.advance(latency)
            self.view.finish(attempt, result)


class RankingTest(unittest.TestCase):
    """Guards against requests that go to a busy, far or broken candidate."""

    def setUp(self) -> None:
        """Use two equal VMs of which one is 40 ms further away."""
        self.two = _Harness(
            _candidate(_NEAR), _candidate(_FAR, 41 * _MS, zone='b')
        )

    def test_near_first(self) -> None:
        """A far VM is preferred although the near one is free."""
        self.two.report(_NEAR, 10)
        self.two.report(_FAR, 10)
        self.assertEqual(self.two.first(), _NEAR)

    def test_busy_report(self) -> None:
        """A fresh report of a long queue is ignored."""
        self.two.report(_NEAR, 0, queued=40)
        self.two.report(_FAR, 10)
        self.assertEqual(self.two.first(), _FAR)

    def test_report_age(self) -> None:
        """A report keeps its weight although it is old."""
        self.two.report(_NEAR, 0, queued=40)
        self.two.report(_FAR, 10)
        self.two.clock.advance(timedelta(seconds=5))
        self.assertEqual(self.two.first(), _NEAR)

    def test_older_report(self) -> None:
        """A report that was overtaken replaces a newer one."""
        measured_at = self.two.clock.monotonic()
        self.two.clock.advance(100 * _MS)
        self.two.report(_NEAR, 0, queued=40)
        self.two.report(_FAR, 10)
        late = LoadReport(10, 10, 0, measured_at)
        self.two.view.accept_report(_NEAR, late)
        self.assertEqual(self.two.first(), _FAR)

    def test_own_results_outweigh_reports(self) -> None:
        """A VM that reports free slots but answers badly keeps its load."""
        cases = (
            ('slow', 400 * _MS, AttemptResult.ANSWERED),
            ('errors', 5 * _MS, AttemptResult.FAILED),
            ('refusals', 5 * _MS, AttemptResult.REFUSED),
        )
        for name, latency, result in cases:
            with self.subTest(name):
                self.setUp()
                for _ in range(10):
                    self.two.report(_NEAR, 10)
                    self.two.report(_FAR, 10)
                    self.two.run(_NEAR, latency, result=result)
                self.two.report(_NEAR, 10)
                self.assertEqual(self.two.first(), _FAR)

    def test_left_candidate_is_tried_again(self) -> None:
        """A VM is avoided for ever after a bad minute."""
        self.two.run(_NEAR, 5 * _MS, 20, AttemptResult.FAILED)
        self.assertEqual(self.two.first(), _FAR)
        self.two.clock.advance(timedelta(seconds=40))
        self.assertEqual(self.two.first(), _NEAR)

    def test_silence(self) -> None:
        """A lost VM gets requests until their calls time out."""
        self.two.view.start(_NEAR)
        self.two.report(_NEAR, 10)
        self.two.clock.advance(200 * _MS)
        self.assertEqual(self.two.first(), _FAR)

    def test_silence_survives_cancellation(self) -> None:
        """Cancelled attempts make a lost VM look well again."""
        attempt = self.two.view.start(_NEAR)
        self.two.clock.advance(200 * _MS)
        self.two.view.finish(attempt, AttemptResult.CANCELLED)
        self.assertEqual(self.two.first(), _FAR)
        self.two.run(_NEAR, 21 * _MS)
        self.assertEqual(self.two.first(), _NEAR)

    def test_stuck_report_of_free_slots(self) -> None:
        """Own starts are forgotten while a VM repeats that it is idle."""
        for _ in range(60):
            self.two.report(_NEAR, 10)
            self.two.view.start(_NEAR)
        self.two.report(_NEAR, 10)
        self.assertEqual(self.two.first(), _FAR)

    def test_free_slots_need_credible_report(self) -> None:
        """A hedge relies on a lying, stale or used-up report."""
        harness = _Harness(_candidate(_NEAR))
        free: list[bool] = []

        def look() -> None:
            free.append(rank_candidates(harness.view)[0].has_free_slot)

        look()
        harness.report(_NEAR, 1)
        look()
        harness.view.start(_NEAR)
        look()
        harness.report(_NEAR, 5)
        harness.clock.advance(timedelta(seconds=2))
        look()
        for _ in range(8):
            harness.report(_NEAR, 10)
            harness.run(_NEAR, 400 * _MS)
        harness.report(_NEAR, 10)
        look()
        self.assertEqual(free, [False, True, False, False, False])

    def test_full_local_targets(self) -> None:
        """A request waits for a local slot although a VM nearby is free."""
        harness = _Harness(
            _candidate(_LOCAL, slots=1), _candidate(_NEAR, 2 * _MS)
        )
        self.assertEqual(harness.first(), _LOCAL)
        harness.view.start(_LOCAL)
        harness.report(_NEAR, 10)
        self.assertEqual(harness.first(), _NEAR)
        self.assertIsNone(choose_free_target(harness.view))

    def test_left_out(self) -> None:
        """An ejected, tried, removed or slotless candidate is named."""
        harness = _Harness(_candidate(_NEAR), _candidate(_FAR))
        harness.view.replace_ejected(frozenset((_NEAR,)))
        self.assertEqual(harness.first(), _FAR)
        harness.view.replace_ejected(frozenset())
        ranked = rank_candidates(harness.view, excluded=(_FAR,))
        names = [entry.candidate.candidate_id for entry in ranked]
        self.assertEqual(names, [_NEAR])
        attempt = harness.view.start(_NEAR)
        harness.view.replace_candidates((_candidate(_FAR, slots=0),))
        harness.view.finish(attempt, AttemptResult.ANSWERED)
        self.assertEqual(rank_candidates(harness.view), ())

    def test_second_finish(self) -> None:
        """An attempt that is counted down twice frees a slot in use."""
        attempt = self.two.view.start(_NEAR)
        self.two.view.finish(attempt, AttemptResult.ANSWERED)
        with self.assertRaises(KeyError):
            self.two.view.finish(attempt, AttemptResult.ANSWERED)

    def test_same_view_spreads(self) -> None:
        """All VMs with the same reports pick the same candidate."""
        names = [CandidateId(f'vm/{number}') for number in range(5)]
        picks: Counter[CandidateId] = Counter()
        for seed in range(200):
            harness = _Harness(*map(_candidate, names), seed=seed)
            picks[harness.first()] += 1
        self.assertEqual(len(picks), 5)
        self.assertLess(max(picks.values()), 80)

    def test_shared_targets(self) -> None:
        """A hedge reaches the target of the first attempt."""
        near, far = _candidate(_NEAR), _candidate(_FAR, zone='b')
        local, other = _candidate(_LOCAL), _candidate(CandidateId('target/2'))
        cases = (
            (near, near, True),
            (near, far, False),
            (local, other, False),
            (local, local, True),
            (local, near, True),
            (local, far, False),
        )
        for first, second, expected in cases:
            with self.subTest(first=first.candidate_id):
                self.assertEqual(may_share_target(first, second), expected)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.data())
    def test_order_matches_full_sort(self, script: st.DataObject) -> None:
        """The kept order hides a candidate that has become the cheapest."""
        names = [CandidateId(f'vm/{number}') for number in range(8)]
        harness = _Harness(*map(_candidate, names))
        for _ in range(script.draw(st.integers(0, 25))):
            name = script.draw(st.sampled_from(names))
            if script.draw(st.booleans()):
                harness.view.start(name)
            else:
                harness.report(name, script.draw(st.integers(0, 10)))
            harness.clock.advance(script.draw(st.integers(0, 60)) * _MS)
        everything = rank_candidates(harness.view, limit=8)
        costs = [entry.cost for entry in everything]
        self.assertEqual(costs, sorted(costs))
        self.assertEqual(len(everything), 8)
        self.assertEqual(rank_candidates(harness.view), everything[:3])
