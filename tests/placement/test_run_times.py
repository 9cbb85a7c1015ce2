"""Guards the estimates of run times, and the choices that follow from them."""

import unittest
from datetime import timedelta

from plantainstand_placement import (
    Choice,
    Familiarity,
    Refusal,
    RunTimes,
    ServiceTargets,
    TargetState,
    choose_target,
)
from plantainstand_placement._run_times import INITIAL_RUN_TIME
from plantainstand_placement._target import MAX_KNOWN_OBJECTS

from tests.placement.builders import NOW, criteria, estimates, idle_targets

_MILLISECOND = timedelta(milliseconds=1)
_WARM = 100 * _MILLISECOND
_COLD = 400 * _MILLISECOND
_KEY = b'object'


class RunTimesTests(unittest.TestCase):
    """Slow first runs must not make repeated ones look slow."""

    def test_familiarities_are_apart(self) -> None:
        """Each kind of run keeps its own average."""
        times = RunTimes()
        for _ in range(50):
            times.record('shop', Familiarity.REPEATED, _WARM)
            times.record('shop', Familiarity.PREFERRED, _COLD)
            times.record('shop', Familiarity.OTHER, _COLD * 2)
        known = times.estimates('shop')
        self.assertEqual(
            (known.repeated, known.preferred, known.other),
            (_WARM, _COLD, _COLD * 2),
        )
        unknown = times.estimates('other route')
        self.assertEqual(unknown.repeated, INITIAL_RUN_TIME)

    def test_outlier_among_repeated_runs(self) -> None:
        """One run that waited unseen must not double the estimate."""
        times = RunTimes()
        times.record('shop', Familiarity.REPEATED, _WARM)
        times.record('shop', Familiarity.REPEATED, _WARM * 100)
        known = times.estimates('shop').repeated
        self.assertLess(known, _WARM * 1.2)

    def test_guesses_before_all_kinds_are_known(self) -> None:
        """A first run is never expected to be quicker than a repeated one."""
        times = RunTimes()
        times.record('shop', Familiarity.REPEATED, _COLD)
        times.record('shop', Familiarity.PREFERRED, _WARM)
        known = times.estimates('shop')
        self.assertLessEqual(known.repeated, known.preferred)
        self.assertLessEqual(known.preferred, known.other)


class ChoiceTests(unittest.TestCase):
    """A load pattern: some targets are warm for an object, others are not."""

    def test_object_stays_where_it_is_warm(self) -> None:
        """A target that returns cold must not take its objects back at once."""
        targets = idle_targets('a', 'b', 'c')
        first = self._choose(targets)
        assert isinstance(first, Choice)
        self.assertIs(first.familiarity, Familiarity.PREFERRED)
        warm = next(each for each in targets if each is not first.state)
        warm.record_object(_KEY, responded=True)
        second = self._choose(targets)
        assert isinstance(second, Choice)
        self.assertIs(second.state, warm)
        self.assertIs(second.familiarity, Familiarity.REPEATED)

    def test_warm_request_may_wait_longer(self) -> None:
        """What is quick is accepted behind a queue that rejects slow runs."""
        for is_warm in (True, False):
            with self.subTest(is_warm=is_warm):
                targets = idle_targets('a')
                if is_warm:
                    targets[0].record_object(_KEY, responded=True)
                for _ in range(targets[0].entry.slots * 2 + 3):
                    targets[0].record_sent(NOW)
                chosen = self._choose(targets)
                self.assertIs(isinstance(chosen, Choice), is_warm)

    def test_queue_that_outlasts_the_timeout(self) -> None:
        """A run that would be given up midway wastes its slot."""
        targets = idle_targets('a')
        for _ in range(targets[0].entry.slots + 1):
            targets[0].record_sent(NOW)
        for time_left, is_sent in ((_COLD * 2, True), (_COLD, False)):
            with self.subTest(time_left=time_left):
                wanted = criteria('object', time_left=time_left)
                chosen = choose_target(
                    wanted,
                    ServiceTargets(targets),
                    estimates(unknown=_COLD, mean=_COLD),
                )
                self.assertIs(isinstance(chosen, Choice), is_sent)

    def test_known_objects_are_bounded(self) -> None:
        """Memory must not grow with the number of objects."""
        target = idle_targets('a')[0]
        for number in range(MAX_KNOWN_OBJECTS + 1):
            target.record_object(str(number).encode(), responded=True)
        self.assertFalse(target.knows(b'0'))
        self.assertTrue(target.knows(b'1'))

    def _choose(
        self, targets: list[TargetState], **times: timedelta
    ) -> Choice | Refusal:
        return choose_target(
            criteria('object'),
            ServiceTargets(targets),
            estimates(repeated=_WARM, unknown=_COLD, mean=_WARM, **times),
        )
