"""Guards that all entry VMs together keep the limits that targets state."""

import random
import unittest
from collections.abc import Mapping, Sequence
from dataclasses import replace
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_core import RegionId
from plantainstand_fleet import LimitStatement, StatedLimits, TargetEntry
from plantainstand_placement import (
    Choice,
    FleetShare,
    Refusal,
    RefusalReason,
    RequestLimits,
    ReturningCallers,
    ServiceTargets,
    TargetState,
    choose_target,
)
from plantainstand_placement._request_limits import LIMIT_WINDOW

from tests.placement.builders import (
    ALONE,
    NOW,
    REGIONS,
    SERVICE,
    criteria,
    entry,
    estimates,
    fleet_shares,
    idle_targets,
)


def _stated(
    entries: Sequence[TargetEntry], rate: float | None, now: timedelta
) -> StatedLimits:
    stated = StatedLimits()
    stated.merge(
        [
            LimitStatement(each.target, each.started_ms, rate, age_seconds=0)
            for each in entries
        ],
        now,
    )
    return stated


class ShareTests(unittest.TestCase):
    """The shares add up to the limit, however many VMs there are."""

    @given(
        st.floats(0, 500),
        st.lists(st.integers(1, 130), min_size=1, max_size=3),
        st.integers(0, 999),
    )
    def test_sum_of_shares(
        self, rate: float, sizes: list[int], number: int
    ) -> None:
        """A limit below one request per VM must not be rounded up."""
        state = TargetState(entry(f't{number}'), NOW)
        shares = [
            RequestLimits(region, place).share(state, rate)
            for region, place in fleet_shares(sizes)
        ]
        allowed = max(1, int(rate * LIMIT_WINDOW.total_seconds()))
        self.assertEqual(sum(shares), allowed)

    def test_vm_without_a_lease(self) -> None:
        """It takes nothing that another VM may have been given."""
        state = TargetState(entry('t1'), NOW)
        regions = fleet_shares([2, 1])[0][1].regions
        for shares in (FleetShare(None, regions), FleetShare(None, {})):
            limits = RequestLimits(RegionId('norte'), shares)
            self.assertEqual(limits.share(state, 500), 0)


class ChoiceTests(unittest.TestCase):
    """One VM that knows of a limit."""

    def test_requests_beyond_the_share(self) -> None:
        """They go to the next target; the limited one keeps its share."""
        states = idle_targets('t1', 't2', 't3')
        targets = ServiceTargets(states)
        first = _send(targets, NOW, RequestLimits(_NORTE, ALONE))
        stated = _stated([first], 2, NOW)
        limits = RequestLimits(_NORTE, ALONE, stated)
        used = [
            _send(targets, NOW + timedelta(milliseconds=20) * step, limits)
            for step in range(1, 400)
        ]
        # Eight requests in each window of four seconds.
        self.assertIn(used.count(first), range(14, 17))

    def test_all_targets_limited(self) -> None:
        """The client is told when the first limit allows another request."""
        states = idle_targets('t1', 't2')
        targets = ServiceTargets(states)
        stated = _stated([state.entry for state in states], 0.5, NOW)
        limits = RequestLimits(_NORTE, ALONE, stated)
        for step in (0, 1.5, 2, 3.1):
            _send(targets, NOW + timedelta(seconds=step), limits)
        now = NOW + timedelta(seconds=3.5)
        refusal = choose_target(
            criteria(request_limits=limits), targets, estimates(now)
        )
        expected = Refusal(RefusalReason.LIMITED, timedelta(seconds=0.5))
        self.assertEqual(refusal, expected)

    def test_callers_return_one_after_the_other(self) -> None:
        """Guards against callers that all return for one allowed request."""
        states = idle_targets('t1', 't2')
        targets = ServiceTargets(states)
        stated = _stated([state.entry for state in states], 1, NOW)
        limits = RequestLimits(_NORTE, ALONE, stated)
        for step in (0, 0.1, 0.2, 0.3):
            _send(targets, NOW + timedelta(seconds=step), limits)
        now = NOW + timedelta(seconds=0.4)
        returning = ReturningCallers()
        waits = []
        for _ in range(4):
            refusal = choose_target(
                criteria(request_limits=limits),
                targets,
                replace(
                    estimates(now),
                    returning_callers=returning.count(SERVICE, now),
                ),
            )
            assert isinstance(refusal, Refusal)
            waits.append(refusal.retry_after.total_seconds())
            returning.record(SERVICE, now + refusal.retry_after)
        # The two targets allow two requests a second.
        self.assertEqual(waits, [0.6, 1.1, 1.6, 2.1])
        # Three of them return within 1.6 s, at 2 s after NOW.
        later = NOW + timedelta(seconds=2)
        self.assertEqual(returning.count(SERVICE, later), 1)

    def test_restarted_target(self) -> None:
        """A process that has just started has not stated a limit yet."""
        restarted = TargetState(entry('t1', started_ms=2), NOW)
        stated = _stated([entry('t1', started_ms=1)], 0, NOW)
        limits = RequestLimits(_NORTE, ALONE, stated)
        self.assertEqual(limits.wait(restarted, NOW), timedelta())


class ReplayTests(unittest.TestCase):
    """A third of 60 targets is in need while 200 VMs send to them."""

    def test_many_vms_and_limited_targets(self) -> None:
        """Guards against limits that hold for each VM by itself."""
        rate = 6.5
        arrivals = _replay(rate, seed=1)
        self.assertEqual(len(arrivals), 20)
        for target, times in arrivals.items():
            most = max(
                sum(at <= each < at + LIMIT_WINDOW for each in times)
                for at in times
            )
            with self.subTest(target=target):
                self.assertLessEqual(most, rate * LIMIT_WINDOW.total_seconds())
                self.assertGreater(most, rate * 2)


_NORTE = RegionId('norte')


def _send(
    targets: ServiceTargets, now: timedelta, limits: RequestLimits
) -> TargetEntry:
    chosen = choose_target(
        criteria(request_limits=limits), targets, estimates(now)
    )
    assert isinstance(chosen, Choice)
    chosen.state.record_sent(now)
    chosen.state.record_ended()
    return chosen.state.entry


def _replay(rate: float, seed: int) -> Mapping[str, Sequence[timedelta]]:
    """Return when the limited targets got requests, in seven seconds."""
    entries = [entry(f't{number}', REGIONS[number % 3]) for number in range(60)]
    limited = {each.target for each in entries[::3]}
    stated = _stated(entries[::3], rate, NOW)
    vms = [
        (
            ServiceTargets([TargetState(each, NOW) for each in entries]),
            RequestLimits(region, place, stated),
        )
        for region, place in fleet_shares((66, 67, 67))
    ]
    source = random.Random(seed)  # noqa: S311
    arrivals: dict[str, list[timedelta]] = {}
    for step in range(12_000):
        now = NOW + timedelta(milliseconds=0.6) * step
        targets, limits = source.choice(vms)
        chosen = choose_target(
            criteria(str(source.randrange(60)), request_limits=limits),
            targets,
            estimates(now),
        )
        assert isinstance(chosen, Choice)
        chosen.state.record_sent(now)
        chosen.state.record_ended()
        target = chosen.state.entry.target
        if target in limited:
            arrivals.setdefault(target, []).append(now)
    return arrivals
