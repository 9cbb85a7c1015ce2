"""Guards against requests to a target that has turned cold unnoticed."""

import unittest
from dataclasses import replace
from datetime import timedelta

from plantainstand_placement import (
    Choice,
    ListReading,
    ServiceTargets,
    choose_target,
    targets_to_probe,
)
from plantainstand_placement._cold_knowledge import (
    LIST_LIFETIME,
    PROBE_LIFETIME,
    ColdKnowledge,
)

from tests.placement.builders import NOW, criteria, estimates, idle_targets

_LAG = timedelta(seconds=0.8)
_TICK = timedelta(milliseconds=100)


def _reading(age: timedelta) -> ListReading:
    return ListReading(NOW - age, _LAG)


class ColdKnowledgeTests(unittest.TestCase):
    """Whether a VM would know that a target is cold."""

    def test_list_gets_old(self) -> None:
        """A VM that is cut off knows nothing after a while."""
        knowledge = ColdKnowledge()
        self.assertTrue(knowledge.is_known(NOW, _reading(LIST_LIFETIME)))
        old = _reading(LIST_LIFETIME + _TICK)
        self.assertFalse(knowledge.is_known(NOW, old))
        knowledge.record_warm(NOW - PROBE_LIFETIME)
        self.assertTrue(knowledge.is_known(NOW, old))
        self.assertFalse(knowledge.is_known(NOW + _TICK, old))

    def test_target_that_starts_again_under_its_id(self) -> None:
        """After a failure only a list that covers its new start counts."""
        knowledge = ColdKnowledge()
        knowledge.record_failure(NOW - timedelta(seconds=5))
        self.assertFalse(knowledge.is_known(NOW, _reading(_TICK)))
        # It is reached again: the list may still show the process before.
        knowledge.record_contact(NOW - timedelta(seconds=1))
        self.assertFalse(knowledge.is_known(NOW, _reading(_TICK * 3)))
        self.assertTrue(knowledge.is_known(NOW, _reading(_TICK)))

    def test_vm_that_runs_for_long(self) -> None:
        """Guards against times whose difference overflows."""
        now = timedelta(days=400)
        for reading in (
            ListReading(timedelta.min + _LAG, _LAG),
            ListReading(now - _TICK, _LAG),
        ):
            knowledge = ColdKnowledge()
            self.assertTrue(knowledge.is_probe_due(now))
            self.assertEqual(
                knowledge.is_known(now, reading), reading.seen_at > NOW
            )

    def test_answer_of_the_target(self) -> None:
        """It ends the doubt at once; one asked for before does not."""
        knowledge = ColdKnowledge()
        knowledge.record_failure(NOW - _TICK)
        knowledge.record_contact(NOW - _TICK)
        knowledge.record_warm(NOW - _TICK * 2)
        self.assertFalse(knowledge.is_known(NOW, _reading(_TICK)))
        knowledge.record_warm(NOW)
        self.assertTrue(knowledge.is_known(NOW, _reading(_TICK)))


class TimeoutTests(unittest.TestCase):
    """A busy target that times out has not started again."""

    def test_timeout_of_a_busy_target(self) -> None:
        """Guards against targets that lose their load for being busy."""
        for answers, known in ((True, True), (False, False)):
            with self.subTest(answers=answers):
                state = idle_targets('t1')[0]
                state.record_sent(NOW - _TICK * 9)
                if answers:
                    state.record_response(NOW - _TICK, None, failed=False)
                state.record_failure(NOW, silent_since=NOW - _TICK * 9)
                self.assertEqual(
                    state.knowledge.is_known(NOW, _reading(_TICK)), known
                )


class UnknownTargetTests(unittest.TestCase):
    """Choices of a VM whose list is old."""

    def test_share_is_kept_and_targets_are_asked(self) -> None:
        """They get what cold ones may get, until they say they are warm."""
        states = idle_targets('t1', 't2')
        targets = ServiceTargets(states)
        blind = replace(
            criteria(cold_limit=2), list_reading=_reading(LIST_LIFETIME * 2)
        )
        unknown = targets_to_probe(blind, targets, NOW)
        self.assertEqual(set(unknown), set(states))
        chosen = choose_target(blind, targets, estimates())
        while isinstance(chosen, Choice):
            chosen.state.record_sent(NOW)
            chosen = choose_target(blind, targets, estimates())
        self.assertEqual([each.in_flight for each in states], [2, 2])
        for asked in unknown:
            asked.knowledge.record_probe(NOW)
        self.assertEqual(targets_to_probe(blind, targets, NOW), [])
        states[0].knowledge.record_warm(NOW)
        chosen = choose_target(blind, targets, estimates())
        assert isinstance(chosen, Choice)
        self.assertIs(chosen.state, states[0])

    def test_known_targets_are_not_asked(self) -> None:
        """Guards against probes on calm days, and of targets that are cold."""
        states = idle_targets('t1', 't2')
        fresh = replace(criteria(), list_reading=_reading(_TICK))
        targets = ServiceTargets(states)
        self.assertEqual(targets_to_probe(fresh, targets, NOW), [])
        states[0].cold_until = NOW + _TICK
        blind = replace(fresh, list_reading=_reading(LIST_LIFETIME * 2))
        self.assertEqual(targets_to_probe(blind, targets, NOW), states[1:])
