"""Guards the merging of target lists that lag and differ."""

import unittest
from datetime import timedelta
from unittest.mock import patch

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_core import TargetId, VmId
from plantainstand_fleet import TargetEntry, TargetUpdate
from plantainstand_placement import TargetTable

from tests.placement.builders import NOW, SERVICE, entry

_FIRST = VmId('10.0.0.1')
_SECOND = VmId('10.0.0.2')
_SECOND_LATER = NOW + timedelta(seconds=1)


def _update(*present: TargetEntry, full: bool = True) -> TargetUpdate:
    return TargetUpdate(full, present, (), 0)


def _target_names(table: TargetTable) -> set[str]:
    return {state.entry.target for state in table.targets_of(SERVICE).states}


class BoardTests(unittest.TestCase):
    """A list that lags must not undo what another control VM has seen."""

    def test_draining_on_any_list_wins(self) -> None:
        """A later list of another VM does not return the target to use.

        That VM may have read the platform's list before the draining.
        """
        table = TargetTable()
        table.update(_FIRST, _update(entry('a', draining=True)), NOW)
        table.update(_SECOND, _update(entry('a')), _SECOND_LATER)
        self.assertEqual(_target_names(table), set())

    def test_removed_target_is_not_used(self) -> None:
        """The newest list decides which targets exist."""
        table = TargetTable()
        table.update(_FIRST, _update(entry('a'), entry('b')), NOW)
        gone = TargetUpdate(
            full=False,
            updated=(),
            removed=(TargetId('a'),),
            age_seconds=0,
        )
        table.update(_FIRST, gone, _SECOND_LATER)
        self.assertEqual(_target_names(table), {'b'})

    def test_new_target_counts_as_cold(self) -> None:
        """The list lags and may not report the cold start of a new target."""
        table = TargetTable()
        table.update(_FIRST, _update(entry('a')), NOW)
        table.update(_FIRST, _update(entry('b'), full=False), _SECOND_LATER)
        cold = {
            state.entry.target: state.is_cold(_SECOND_LATER)
            for state in table.states
        }
        self.assertEqual(cold, {'a': False, 'b': True})

    def test_first_list_of_a_vm(self) -> None:
        """Guards a target that started again under its id before this VM did.

        Other VMs know from failures; the list may still show the old start.
        """
        lag = timedelta(seconds=0.8)
        table = TargetTable()
        table.update(_FIRST, _update(entry('a')), NOW)
        knowledge = table.states[0].knowledge
        self.assertFalse(knowledge.is_known(NOW, table.reading(lag)))
        table.update(_FIRST, _update(entry('a')), NOW + lag)
        self.assertTrue(knowledge.is_known(NOW + lag, table.reading(lag)))

    def test_requests_before_a_new_start_count(self) -> None:
        """Guards against a second share for a target that started again.

        The list tells of the new start later than the first requests to it.
        """
        table = TargetTable()
        table.update(_FIRST, _update(entry('a')), NOW)
        table.states[0].record_sent(_SECOND_LATER)
        table.update(_FIRST, _update(entry('a', started_ms=2)), _SECOND_LATER)
        restarted = table.states[0]
        self.assertEqual(restarted.in_flight, 0)
        self.assertEqual(restarted.sends.count(NOW), 1)

    def test_restarted_target_has_new_state(self) -> None:
        """A restarted process has none of the earlier requests and is cold."""
        table = TargetTable()
        table.update(_FIRST, _update(entry('a')), NOW)
        table.states[0].record_sent(NOW)
        again = _update(entry('a', started_ms=2), full=False)
        table.update(_FIRST, again, _SECOND_LATER)
        self.assertEqual(table.states[0].in_flight, 0)
        self.assertTrue(table.states[0].is_cold(_SECOND_LATER))

    def test_state_survives_updates(self) -> None:
        """In-flight requests stay counted when a list is applied."""
        table = TargetTable()
        table.update(_FIRST, _update(entry('a')), NOW)
        table.states[0].record_sent(NOW)
        table.update(_SECOND, _update(entry('a')), _SECOND_LATER)
        self.assertEqual(table.states[0].in_flight, 1)


_UPDATES = st.lists(
    st.tuples(
        st.sampled_from((_FIRST, _SECOND)),
        st.booleans(),
        st.lists(
            st.builds(
                entry,
                st.sampled_from(('a', 'b', 'c')),
                draining=st.booleans(),
                cold_seconds=st.sampled_from((0, 0, 2)),
                started_ms=st.sampled_from((1, 2)),
            ),
            max_size=3,
        ),
        st.lists(st.sampled_from(('a', 'b', 'c')), max_size=2),
    ),
    max_size=12,
)


class SkippedUpdateTests(unittest.TestCase):
    """Equal lists must not rebuild a table of hundreds of targets."""

    @given(_UPDATES)
    def test_matches_table_that_rebuilds_always(
        self,
        updates: list[tuple[VmId, bool, list[TargetEntry], list[str]]],
    ) -> None:
        """No update that changes a target is skipped."""
        table, reference = TargetTable(), TargetTable()
        for number, (source, full, present, gone) in enumerate(updates):
            now = NOW + timedelta(seconds=number)
            removed = tuple(TargetId(name) for name in gone)
            update = TargetUpdate(full, tuple(present), removed, 0)
            table.update(source, update, now)
            reference.update(source, update, now)
            reference._rebuild(now)
            self.assertEqual(_target_names(table), _target_names(reference))
            self.assertEqual(
                _cold_targets(table, now), _cold_targets(reference, now)
            )

    def test_drain_that_a_list_takes_back(self) -> None:
        """The list equals that of another control VM, so it looks unchanged.

        The target stayed unused until some other target changed.
        """
        table = TargetTable()
        table.update(_FIRST, _update(entry('a', draining=True)), NOW)
        table.update(_SECOND, _update(entry('a')), _SECOND_LATER)
        self.assertEqual(_target_names(table), set())
        table.update(_FIRST, _update(entry('a')), _SECOND_LATER)
        self.assertEqual(_target_names(table), {'a'})

    def test_equal_list_is_skipped(self) -> None:
        """The same list from another control VM causes no rebuild."""
        table = TargetTable()
        table.update(_FIRST, _update(entry('a')), NOW)
        table.update(_SECOND, _update(entry('a')), _SECOND_LATER)
        with patch.object(table, '_rebuild') as rebuild:
            for source in (_FIRST, _SECOND):
                table.update(source, _update(full=False), _SECOND_LATER)
        rebuild.assert_not_called()


def _cold_targets(table: TargetTable, now: timedelta) -> set[str]:
    return {state.entry.target for state in table.states if state.is_cold(now)}
