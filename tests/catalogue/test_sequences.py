"""Random sequences of changes, applied to a state and to restored copies."""

import unittest
from collections.abc import Sequence

import plantainstand_catalogue as catalogue
import plantainstand_core as core
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.catalogue import examples

# Few names and values, so that changes conflict often.
_entries: st.SearchStrategy[catalogue.AnyEntry] = st.one_of(
    st.builds(examples.region, st.sampled_from('ab')),
    st.builds(examples.zone, st.sampled_from('ab'), st.sampled_from('ab')),
    st.builds(examples.link, st.sampled_from('ab'), st.sampled_from('ab')),
    st.builds(examples.service, st.just('catalogue')),
    st.builds(
        examples.target,
        st.sampled_from('ab'),
        st.sampled_from('ab'),
        st.sampled_from((1, 2)),
    ),
)
_ids = _entries.map(lambda entry: entry.entry_id)
_subjects = st.tuples(
    st.sampled_from(catalogue.DrainSubjectKind),
    st.sampled_from('ab'),
)
_Change = tuple[type, object]
_changes: st.SearchStrategy[_Change] = st.one_of(
    st.tuples(st.just(catalogue.PutEntry), _entries),
    st.tuples(st.just(catalogue.PutEntry), _entries),
    st.tuples(st.just(catalogue.RemoveEntry), _ids),
    st.tuples(st.just(catalogue.AnnounceDrain), _subjects),
    st.tuples(st.just(catalogue.WithdrawDrain), _subjects),
)


class SequenceTest(unittest.TestCase):
    """Guards against replicas that diverge and against dangling references."""

    @settings(derandomize=True, database=None, deadline=None, max_examples=100)
    @given(st.lists(_changes, min_size=20, max_size=50))
    def test_sequences(self, changes: Sequence[_Change]) -> None:
        """The catalogue stays valid; a restored copy has equal outcomes."""
        state = catalogue.CatalogueState()
        for index, change in enumerate(changes, start=1):
            command = _command(state.view(), *change, f'op-{index}')
            copy = catalogue.CatalogueState()
            copy.restore(state.snapshot())
            outcome = state.apply(command, core.LogIndex(index))
            self.assertEqual(copy.apply(command, core.LogIndex(index)), outcome)
            self.assertEqual(copy.snapshot(), state.snapshot())
            view = state.view()
            entries = [found.entry for found in view.entries.values()]
            self.assertEqual(catalogue.check_catalogue(entries), ())


def _command(
    view: catalogue.CatalogueView,
    command: type,
    change: object,
    operation: str,
) -> catalogue.CatalogueCommand:
    operation_id = core.OperationId(operation)
    if isinstance(change, tuple):
        drain_command: catalogue.CatalogueCommand = command(
            operation_id, *change
        )
        return drain_command
    entry_id = core.EntryId(str(getattr(change, 'entry_id', change)))
    revision = view.entry_revision(entry_id)
    entry_command: catalogue.CatalogueCommand = command(
        operation_id, change, revision
    )
    return entry_command
