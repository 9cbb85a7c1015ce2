"""Ranking of candidates with correct, stuck and wrong load reports."""

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
_NEAR_VM = CandidateId('vm/near')
_FAR_VM = CandidateId('vm/far')
_LOCAL_TARGET = CandidateId('target/local')


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

    def first_candidate(self) -> CandidateId:
        return rank_candidates(self.view)[0].candidate.candidate_id

    def report(self, name: CandidateId, free: int, queued: int = 0) -> None:
        now = self.clock.monotonic()
        self.view.accept_report(name, LoadReport(free, 10, queued, now))

    def run_attempts(
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
    """Tests that busy, distant and failing candidates rank last."""

    def setUp(self) -> None:
        """Create two equal VMs, one with 40 ms more network delay."""
        self.two_vms = _Harness(
            _candidate(_NEAR_VM), _candidate(_FAR_VM, 41 * _MS, zone='b')
        )

    def test_near_first(self) -> None:
        """Fails if a distant VM ranks before a near one with free slots."""
        self.two_vms.report(_NEAR_VM, 10)
        self.two_vms.report(_FAR_VM, 10)
        self.assertEqual(self.two_vms.first_candidate(), _NEAR_VM)

    def test_busy_report(self) -> None:
        """Fails if a fresh report of a long queue is ignored."""
        self.two_vms.report(_NEAR_VM, 0, queued=40)
        self.two_vms.report(_FAR_VM, 10)
        self.assertEqual(self.two_vms.first_candidate(), _FAR_VM)

    def test_report_age(self) -> None:
        """Fails if a report does not lose weight with age."""
        self.two_vms.report(_NEAR_VM, 0, queued=40)
        self.two_vms.report(_FAR_VM, 10)
        self.two_vms.clock.advance(timedelta(seconds=5))
        self.assertEqual(self.two_vms.first_candidate(), _NEAR_VM)

    def test_older_report(self) -> None:
        """Fails if a report that arrives late replaces a newer one."""
        measured_at = self.two_vms.clock.monotonic()
        self.two_vms.clock.advance(100 * _MS)
        self.two_vms.report(_NEAR_VM, 0, queued=40)
        self.two_vms.report(_FAR_VM, 10)
        late = LoadReport(10, 10, 0, measured_at)
        self.two_vms.view.accept_report(_NEAR_VM, late)
        self.assertEqual(self.two_vms.first_candidate(), _FAR_VM)

    def test_own_results_outweigh_reports(self) -> None:
        """Fails if a VM with free slots but bad results ranks first."""
        cases = (
            ('slow', 400 * _MS, AttemptResult.ANSWERED),
            ('errors', 5 * _MS, AttemptResult.FAILED),
            ('refusals', 5 * _MS, AttemptResult.REFUSED),
        )
        for name, latency, result in cases:
            with self.subTest(name):
                self.setUp()
                for _ in range(10):
                    self.two_vms.report(_NEAR_VM, 10)
                    self.two_vms.report(_FAR_VM, 10)
                    self.two_vms.run_attempts(_NEAR_VM, latency, result=result)
                self.two_vms.report(_NEAR_VM, 10)
                self.assertEqual(self.two_vms.first_candidate(), _FAR_VM)

    def test_avoided_candidate_is_tried_again(self) -> None:
        """Fails if a VM with earlier failures is avoided permanently."""
        self.two_vms.run_attempts(_NEAR_VM, 5 * _MS, 20, AttemptResult.FAILED)
        self.assertEqual(self.two_vms.first_candidate(), _FAR_VM)
        self.two_vms.clock.advance(timedelta(seconds=40))
        self.assertEqual(self.two_vms.first_candidate(), _NEAR_VM)

    def test_unresponsive_candidate(self) -> None:
        """Fails if a lost VM ranks first until its calls time out."""
        self.two_vms.view.start(_NEAR_VM)
        self.two_vms.report(_NEAR_VM, 10)
        self.two_vms.clock.advance(200 * _MS)
        self.assertEqual(self.two_vms.first_candidate(), _FAR_VM)

    def test_unresponsive_after_cancellation(self) -> None:
        """Fails if the end of cancelled attempts makes a lost VM rank first."""
        attempt = self.two_vms.view.start(_NEAR_VM)
        self.two_vms.clock.advance(200 * _MS)
        self.two_vms.view.finish(attempt, AttemptResult.CANCELLED)
        self.assertEqual(self.two_vms.first_candidate(), _FAR_VM)
        self.two_vms.run_attempts(_NEAR_VM, 21 * _MS)
        self.assertEqual(self.two_vms.first_candidate(), _NEAR_VM)

    def test_stuck_report_of_free_slots(self) -> None:
        """Fails if reports of free slots hide this VM's attempts in flight."""
        for _ in range(60):
            self.two_vms.report(_NEAR_VM, 10)
            self.two_vms.view.start(_NEAR_VM)
        self.two_vms.report(_NEAR_VM, 10)
        self.assertEqual(self.two_vms.first_candidate(), _FAR_VM)

    def test_free_slots_need_credible_report(self) -> None:
        """Fails if a wrong, stale or used-up report counts as a free slot."""
        harness = _Harness(_candidate(_NEAR_VM))
        free: list[bool] = []

        def append_free() -> None:
            free.append(rank_candidates(harness.view)[0].has_free_slot)

        append_free()
        harness.report(_NEAR_VM, 1)
        append_free()
        harness.view.start(_NEAR_VM)
        append_free()
        harness.report(_NEAR_VM, 5)
        harness.clock.advance(timedelta(seconds=2))
        append_free()
        for _ in range(8):
            harness.report(_NEAR_VM, 10)
            harness.run_attempts(_NEAR_VM, 400 * _MS)
        harness.report(_NEAR_VM, 10)
        append_free()
        self.assertEqual(free, [False, True, False, False, False])

    def test_full_local_targets(self) -> None:
        """Fails if full local targets rank before a near VM with free slots."""
        harness = _Harness(
            _candidate(_LOCAL_TARGET, slots=1), _candidate(_NEAR_VM, 2 * _MS)
        )
        self.assertEqual(harness.first_candidate(), _LOCAL_TARGET)
        harness.view.start(_LOCAL_TARGET)
        harness.report(_NEAR_VM, 10)
        self.assertEqual(harness.first_candidate(), _NEAR_VM)
        self.assertIsNone(choose_free_target(harness.view))

    def test_excluded_candidates(self) -> None:
        """Fails if an ejected, tried or slotless candidate is ranked."""
        harness = _Harness(_candidate(_NEAR_VM), _candidate(_FAR_VM))
        harness.view.replace_ejected(frozenset((_NEAR_VM,)))
        self.assertEqual(harness.first_candidate(), _FAR_VM)
        harness.view.replace_ejected(frozenset())
        ranked = rank_candidates(harness.view, excluded=(_FAR_VM,))
        names = [entry.candidate.candidate_id for entry in ranked]
        self.assertEqual(names, [_NEAR_VM])
        attempt = harness.view.start(_NEAR_VM)
        harness.view.replace_candidates((_candidate(_FAR_VM, slots=0),))
        harness.view.finish(attempt, AttemptResult.ANSWERED)
        self.assertEqual(rank_candidates(harness.view), ())

    def test_second_finish(self) -> None:
        """Fails if an attempt can end twice, which would free a used slot."""
        attempt = self.two_vms.view.start(_NEAR_VM)
        self.two_vms.view.finish(attempt, AttemptResult.ANSWERED)
        with self.assertRaises(KeyError):
            self.two_vms.view.finish(attempt, AttemptResult.ANSWERED)

    def test_equal_reports_spread_load(self) -> None:
        """Fails if all VMs with equal reports choose the same candidate."""
        names = [CandidateId(f'vm/{number}') for number in range(5)]
        picks: Counter[CandidateId] = Counter()
        for seed in range(200):
            harness = _Harness(*map(_candidate, names), seed=seed)
            picks[harness.first_candidate()] += 1
        self.assertEqual(len(picks), 5)
        self.assertLess(max(picks.values()), 80)

    def test_shared_targets(self) -> None:
        """Fails if a hedge can reach the target of the first attempt."""
        near, far = _candidate(_NEAR_VM), _candidate(_FAR_VM, zone='b')
        local, other = (
            _candidate(_LOCAL_TARGET),
            _candidate(CandidateId('target/2')),
        )
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
        """Fails if the cached order hides the cheapest candidate."""
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
