"""Guards targets that leave, or want nothing for a while, against requests."""

import unittest
from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_core import RegionId
from plantainstand_fleet import LimitStatement, StatedLimits
from plantainstand_placement import (
    Choice,
    ListReading,
    PlacementCriteria,
    Refusal,
    RefusalReason,
    RequestLimits,
    ServiceTargets,
    TargetState,
    choose_target,
    pause_target,
    targets_to_probe,
)

from tests.placement.builders import (
    ALONE,
    NOW,
    criteria,
    entry,
    estimates,
    fleet_shares,
    idle_targets,
)

_SECOND = timedelta(seconds=1)


def _leaving(*states: TargetState) -> PlacementCriteria:
    """Return the criteria of a VM that knows that targets leave."""
    stated = StatedLimits()
    stated.merge(
        [
            LimitStatement(
                state.entry.target,
                state.entry.started_ms,
                rate=None,
                age_seconds=0,
                leaving=True,
            )
            for state in states
        ],
        NOW,
    )
    limits = RequestLimits(RegionId('norte'), ALONE, stated)
    return criteria(request_limits=limits)


def _chosen(
    targets: ServiceTargets, by: PlacementCriteria, now: timedelta = NOW
) -> TargetState | Refusal:
    chosen = choose_target(by, targets, estimates(now))
    return chosen.state if isinstance(chosen, Choice) else chosen


class LeavingTests(unittest.TestCase):
    """Whatever the list still shows."""

    def test_leaving_target_gets_nothing(self) -> None:
        """Neither requests nor probes; the next target serves its objects."""
        states = idle_targets('t1', 't2')
        targets = ServiceTargets(states)
        first = _chosen(targets, criteria())
        assert isinstance(first, TargetState)
        by = _leaving(first)
        self.assertIsNot(_chosen(targets, by), first)
        blind = replace(
            by, list_reading=ListReading(NOW - _SECOND * 9, _SECOND)
        )
        self.assertNotIn(first, targets_to_probe(blind, targets, NOW))

    def test_new_start_is_free(self) -> None:
        """The word holds for the start that said it."""
        old = TargetState(entry('t1', started_ms=1), NOW)
        new = TargetState(entry('t1', started_ms=2), NOW)
        self.assertIs(_chosen(ServiceTargets([new]), _leaving(old)), new)

    def test_all_targets_leave(self) -> None:
        """Requests are rejected at once; nothing is sent anyway."""
        states = idle_targets('t1', 't2')
        refusal = _chosen(ServiceTargets(states), _leaving(*states))
        assert isinstance(refusal, Refusal)
        self.assertIs(refusal.reason, RefusalReason.NO_TARGET)


class PauseTests(unittest.TestCase):
    """From the answer to the end of the pause nothing is sent."""

    @given(
        st.lists(
            st.tuples(st.integers(0, 3000), st.integers(0, 3000)),
            min_size=1,
            max_size=12,
        ),
        st.sampled_from((1, 11, 84, 300)),
    )
    def test_series_of_pauses(
        self, stated: list[tuple[int, int]], entry_count: int
    ) -> None:
        """Guards against overlapping and shorter pauses that end a longer one.

        Each pair has the time of an answer and its pause, in milliseconds.
        Afterwards the target gets what all VMs may send to a cold one.
        """
        state = idle_targets('t1')[0]
        targets = ServiceTargets([state])
        shares = fleet_shares([entry_count])[0][1]
        by = replace(criteria(), cold_share=replace(_COLD, fleet=shares))
        end = NOW
        millisecond = timedelta(milliseconds=1)
        for at, pause in sorted(stated):
            now = NOW + millisecond * at
            end = max(end, now + millisecond * pause)
            pause_target(state, now + millisecond * pause)
            if now < end:
                self.assertIsInstance(_chosen(targets, by, now), Refusal)
        sent = _count_sent(targets, by, end + millisecond)
        self.assertLessEqual(sent, shares.part(_COLD.total, state.order_seed))

    def test_all_targets_paused(self) -> None:
        """The caller is told when the first pause ends."""
        states = idle_targets('t1', 't2')
        for state, seconds in zip(states, (2, 1.5), strict=True):
            pause_target(state, NOW + _SECOND * seconds)
        refusal = _chosen(ServiceTargets(states), criteria())
        self.assertEqual(refusal, Refusal(RefusalReason.PAUSED, _SECOND * 1.5))
        by = _leaving(states[1])
        refusal = _chosen(ServiceTargets(states), by)
        self.assertEqual(refusal, Refusal(RefusalReason.PAUSED, _SECOND * 2))


_COLD = criteria(cold_limit=7).cold_share


def _count_sent(
    targets: ServiceTargets, by: PlacementCriteria, now: timedelta
) -> int:
    sent = 0
    chosen = _chosen(targets, by, now)
    while isinstance(chosen, TargetState):
        chosen.record_sent(now)
        chosen.record_ended()
        sent += 1
        chosen = _chosen(targets, by, now)
    return sent
