"""Retries and hedges: safe, within the budget and in time."""

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
    """Guards against work that runs twice and against retry storms."""

    def test_decision(self) -> None:
        """A retry of work that may have run, too late or without a token."""
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
            facts = RetryContext(
                outcome, idempotent, left * _MS, 20 * _MS, tokens
            )
            with self.subTest(facts):
                self.assertIs(retry_refusal(facts), expected)
                self.assertEqual(may_retry(facts), expected is None)

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
        """Retries and hedges together exceed the share of successes."""
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
        """Hedges use up the tokens that retries need."""
        budget = RetryBudget(1, 100, 0)
        for _ in range(22):
            budget.record_success()
        hedges = [budget.try_spend_on_hedge() for _ in range(5)]
        self.assertEqual(sum(hedges), 2)
        self.assertEqual(budget.available, 20)


class HedgeTest(unittest.TestCase):
    """Guards against hedges that are unsafe, useless or too many."""

    def setUp(self) -> None:
        """Let a target of zone a be tried and one of zone b be free."""
        self.tried = _ranked('t1', 'a', 5, free=False).candidate
        self.facts = HedgeContext(
            idempotent=True,
            time_left=50 * _MS,
            budget_available=1,
            tried=(self.tried,),
            ranked=(_ranked('v2', 'b', 9, free=True),),
        )

    def test_choice(self) -> None:
        """A hedge to the same target, without a slot, token or time."""
        facts = self.facts
        cases = (
            ('free VM elsewhere', facts, 'v2'),
            ('not idempotent', replace(facts, idempotent=False), None),
            ('no token', replace(facts, budget_available=0), None),
            ('too late', replace(facts, time_left=9 * _MS), None),
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
        """A delay from too few, other or outdated answers."""
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
        return replace(self.facts, ranked=(_ranked(name, zone, 1, free=free),))

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
        # Two significant figures, and the refresh after 64 answers.
        assert found is not None
        self.assertLess(abs(found - expected), expected / 5)
