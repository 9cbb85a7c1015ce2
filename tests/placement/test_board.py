"""Targets merged from lists that lag and differ."""

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


def _names(board: TargetTable) -> set[str]:
    return {state.entry.target for state in board.targets_of(SERVICE).states}


class BoardTests(unittest.TestCase):
    """What one control VM sees must not undo what another saw."""

    def test_draining_seen_by_one_holds(self) -> None:
        """A newer list of a VM that lags does not bring it back."""
        board = TargetTable()
        board.update(_FIRST, _update(entry('a', draining=True)), NOW)
        board.update(_SECOND, _update(entry('a')), _SECOND_LATER)
        self.assertEqual(_names(board), set())

    def test_gone_target_is_not_used(self) -> None:
        """The newest list decides which targets there are."""
        board = TargetTable()
        board.update(_FIRST, _update(entry('a'), entry('b')), NOW)
        gone = TargetUpdate(
            full=False,
            updated=(),
            removed=(TargetId('a'),),
            age_seconds=0,
        )
        board.update(_FIRST, gone, _SECOND_LATER)
        self.assertEqual(_names(board), {'b'})

    def test_target_that_joins_counts_as_cold(self) -> None:
        """The list lags, so a new target may be cold without saying so."""
        board = TargetTable()
        board.update(_FIRST, _update(entry('a')), NOW)
        board.update(_FIRST, _update(entry('b'), full=False), _SECOND_LATER)
        cold = {
            state.entry.target: state.is_cold(_SECOND_LATER)
            for state in board.states
        }
        self.assertEqual(cold, {'a': False, 'b': True})

    def test_new_start_under_the_same_id_is_new(self) -> None:
        """A restarted target holds nothing of before and is cold."""
        board = TargetTable()
        board.update(_FIRST, _update(entry('a')), NOW)
        board.states[0].began(NOW)
        again = _update(entry('a', started_ms=2), full=False)
        board.update(_FIRST, again, _SECOND_LATER)
        self.assertEqual(board.states[0].in_flight, 0)
        self.assertTrue(board.states[0].is_cold(_SECOND_LATER))

    def test_state_survives_updates(self) -> None:
        """Requests under way are not forgotten when the list changes."""
        board = TargetTable()
        board.update(_FIRST, _update(entry('a')), NOW)
        board.states[0].began(NOW)
        board.update(_SECOND, _update(entry('a')), _SECOND_LATER)
        self.assertEqual(board.states[0].in_flight, 1)


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
    """Hundreds of targets are not looked at again for each equal list."""

    @given(_UPDATES)
    def test_same_as_without_skipping(
        self,
        updates: list[tuple[VmId, bool, list[TargetEntry], list[str]]],
    ) -> None:
        """An update that changes something must never be skipped."""
        board, reference = TargetTable(), TargetTable()
        for number, (source, full, present, gone) in enumerate(updates):
            now = NOW + timedelta(seconds=number)
            left = tuple(TargetId(name) for name in gone)
            update = TargetUpdate(full, tuple(present), left, 0)
            board.update(source, update, now)
            reference.update(source, update, now)
            reference._rebuild(now)
            self.assertEqual(_names(board), _names(reference))
            self.assertEqual(_cold(board, now), _cold(reference, now))

    def test_equal_list_is_skipped(self) -> None:
        """Each control VM sends the same list each second."""
        board = TargetTable()
        board.update(_FIRST, _update(entry('a')), NOW)
        board.update(_SECOND, _update(entry('a')), _SECOND_LATER)
        with patch.object(board, '_rebuild') as rebuild:
            for source in (_FIRST, _SECOND):
                board.update(source, _update(full=False), _SECOND_LATER)
        rebuild.assert_not_called()


def _cold(board: TargetTable, now: timedelta) -> set[str]:
    return {state.entry.target for state in board.states if state.is_cold(now)}
