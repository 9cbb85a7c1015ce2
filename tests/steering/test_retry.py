"""Decisions on retries and hedges, and their budget."""

import unittest
from dataclasses import replace
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import AvailabilityZoneId, ManualClock
from plantainstand_steering import (
    AttemptOutcome,
    Candidate,
    CandidateId,
    CandidateKind,
    HedgeContext,
    HedgePolicy,
    RankedCandidate,
    RetryBudget,
    RetryContext,
    RetryRefusal,
    may_retry,
    retry_refusal,
)

_MS = timedelta(milliseconds=1)
_NOT_RUN, _UNKNOWN, _FAILED = AttemptOutcome


def _ranked(name: str, zone: str, cost: int, *, free: bool) -> RankedCandidate:
    kind = CandidateKind.VM if name.startswith('v') else CandidateKind.TARGET
    candidate = Candidate(
        CandidateId(name), kind, AvailabilityZoneId(zone), _MS, _MS, 5
    )
    return RankedCandidate(candidate, cost * _MS, free)


class RetryTest(unittest.TestCase):
    """Tests the retry decision and the bounds of the budget."""

    def test_decision(self) -> None:
        """Fails if an unsafe, late or unbudgeted retry is allowed."""
        cases = (
            (_NOT_RUN, False, 50, 1, None),
            (_NOT_RUN, True, 50, 1, None),
            (_UNKNOWN, True, 50, 1, None),
            (_FAILED, True, 50, 1, None),
            (_UNKNOWN, False, 50, 1, RetryRefusal.UNSAFE),
            (_FAILED, False, 50, 1, RetryRefusal.UNSAFE),
            (_NOT_RUN, True, 20, 1, RetryRefusal.TOO_LATE),
            (_NOT_RUN, True, 50, 0, RetryRefusal.NO_BUDGET),
        )
        for outcome, idempotent, left, tokens, expected in cases:
            context = RetryContext(
                outcome, idempotent, left * _MS, 20 * _MS, tokens
            )
            with self.subTest(context):
                self.assertIs(retry_refusal(context), expected)
                self.assertEqual(may_retry(context), expected is None)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(st.sampled_from('ssssrh'), max_size=300),
        st.integers(0, 100),
        st.integers(0, 5),
        st.integers(1, 60),
    )
    def test_budget(
        self,
        steps: list[str],
        percent: int,
        initial: int,
        capacity: int,
    ) -> None:
        """Fails if retries and hedges exceed the tokens earned by successes."""
        budget = RetryBudget(percent / 100, capacity, initial)
        successes, spent = 0, 0
        for step in steps:
            if step == 's':
                successes += 1
                budget.record_success()
            elif step == 'r':
                spent += budget.try_spend()
            else:
                spent += budget.try_spend_on_hedge()
            self.assertLessEqual(
                100 * spent, 100 * initial + percent * successes
            )
            self.assertLessEqual(budget.available, capacity)

    def test_hedges_leave_tokens(self) -> None:
        """Fails if hedges spend the tokens reserved for retries."""
        budget = RetryBudget(1, 100, 0)
        for _ in range(22):
            budget.record_success()
        hedges = [budget.try_spend_on_hedge() for _ in range(5)]
        self.assertEqual(sum(hedges), 2)
        self.assertEqual(budget.available, 20)


class HedgeTest(unittest.TestCase):
    """Tests the choice of a hedge's candidate and the hedge delay."""

    def setUp(self) -> None:
        """Try a target of availability zone a; a VM of zone b is free."""
        self.tried = _ranked('t1', 'a', 5, free=False).candidate
        self.context = HedgeContext(
            idempotent=True,
            time_left=50 * _MS,
            budget_available=1,
            tried=(self.tried,),
            ranked=(_ranked('v2', 'b', 9, free=True),),
        )

    def test_choice(self) -> None:
        """Fails if a hedge lacks another target, a slot, a token or time."""
        context = self.context
        cases = (
            ('free VM elsewhere', context, 'v2'),
            ('not idempotent', replace(context, idempotent=False), None),
            ('no token', replace(context, budget_available=0), None),
            ('too late', replace(context, time_left=9 * _MS), None),
            ('same target', self._only('t1', 'a'), None),
            ('VM of the zone', self._only('v1', 'a'), None),
            ('not known free', self._only('v2', 'b', free=False), None),
            ('local target', self._only('t2', 'a'), 't2'),
        )
        policy = HedgePolicy(ManualClock())
        for name, changed, expected in cases:
            with self.subTest(name):
                chosen = policy.choose(changed)
                found = chosen and chosen.candidate.candidate_id
                self.assertEqual(found, expected)

    def test_delay(self) -> None:
        """Fails if the delay uses too few or outdated latencies."""
        clock = ManualClock()
        policy = HedgePolicy(clock, 0.9)
        for number in range(49):
            policy.record(number * _MS)
        self.assertIsNone(policy.delay)
        for number in range(49, 101):
            policy.record(number * _MS)
        self._assert_near(policy.delay, 50 * _MS)
        for _ in range(64):
            policy.record(1000 * _MS)
        self._assert_near(policy.delay, 1000 * _MS)
        for _ in range(3):
            clock.advance(timedelta(seconds=31))
            self._record(policy, [10 * _MS for _ in range(200)])
        self._assert_near(policy.delay, 10 * _MS)

    def _only(self, name: str, zone: str, *, free: bool = True) -> HedgeContext:
        return replace(
            self.context, ranked=(_ranked(name, zone, 1, free=free),)
        )

    def _record(
        self,
        policy: HedgePolicy,
        latencies: list[timedelta],
    ) -> None:
        for latency in latencies:
            policy.record(latency)

    def _assert_near(
        self,
        found: timedelta | None,
        expected: timedelta,
    ) -> None:
        # The histogram has two significant figures, and the delay is refreshed
        # only every 64 latencies.
        assert found is not None
        self.assertLess(abs(found - expected), expected / 5)
