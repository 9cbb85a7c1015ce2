"""Catalogue changes: conflicts, resends, refusals, snapshots."""

import unittest

from plantainstand_catalogue import (
    OPERATIONS_KEPT,
    AnnounceDrain,
    CatalogueCommand,
    CatalogueState,
    ChangeAccepted,
    ChangeInvalid,
    DrainSubjectKind,
    RemoveEntry,
    RevisionConflict,
    WithdrawDrain,
    decode_command,
    encode_command,
)
from plantainstand_core import (
    EntryId,
    LogIndex,
    OperationId,
    Revision,
)

from tests.catalogue import examples

_INDEX = LogIndex(100)
_NEXT = LogIndex(101)


def _remove(entry_id: str, expected: int, operation: str = 'op') -> RemoveEntry:
    return RemoveEntry(
        OperationId(operation),
        EntryId(entry_id),
        Revision(expected),
    )


def _announce(
    kind: DrainSubjectKind,
    name: str,
    operation: str = 'op',
) -> AnnounceDrain:
    return AnnounceDrain(OperationId(operation), kind, name)


def _withdraw(
    kind: DrainSubjectKind,
    name: str,
    operation: str = 'op',
) -> WithdrawDrain:
    return WithdrawDrain(OperationId(operation), kind, name)


_REFUSED: tuple[tuple[str, CatalogueCommand, str], ...] = (
    (
        'unknown service and zone',
        examples.put(
            examples.target('t', 'sul-a', 21009, service_name='till'), 'op'
        ),
        'service: there is no entry service/till',
    ),
    (
        'second problem of the same entry',
        examples.put(
            examples.target('t', 'sul-a', 21009, service_name='till'), 'op'
        ),
        'there is no entry availability_zone/sul-a',
    ),
    (
        'address of another target',
        examples.put(examples.target('t', port=21000), 'op'),
        'target/catalogue-1 already has the address',
    ),
    (
        'link to itself',
        examples.put(examples.link('bajio', 'bajio'), 'op'),
        'to_region: the link leads from bajio to itself',
    ),
    (
        'removal of a region in use',
        _remove('region/bajio', 1),
        'availability_zone/bajio-b refers to it',
    ),
    (
        'removal of a service in use',
        _remove('service/catalogue', 7),
        'target/catalogue-2 refers to it',
    ),
    ('removal of nothing', _remove('service/x', 0), 'there is no such entry'),
    (
        'drain of an unknown target',
        _announce(DrainSubjectKind.TARGET, 'x'),
        'target/x: there is no such entry',
    ),
    (
        'withdrawal of no drain',
        _withdraw(DrainSubjectKind.VM, 'vm-1'),
        'vm/vm-1: no drain is announced for it',
    ),
)


class RefusalTest(unittest.TestCase):
    """Guards against changes that break references or double a resource."""

    def test_cases(self) -> None:
        """A refused change says what is wrong and changes nothing."""
        for name, command, expected in _REFUSED:
            with self.subTest(name):
                state = examples.filled_state()
                before = state.view()
                outcome = state.apply(command, _INDEX)
                assert isinstance(outcome, ChangeInvalid)
                text = '\n'.join(map(str, outcome.problems))
                self.assertIn(expected, text)
                self.assertIs(state.view(), before)


class RevisionTest(unittest.TestCase):
    """Guards against a change that overwrites one its author never saw."""

    def test_equal_expected_revisions(self) -> None:
        """Of two changes with equal expectations the first one wins."""
        state = examples.filled_state()
        first = examples.put(examples.region('bajio', 2.0), 'first', 1)
        second = examples.put(examples.region('bajio', 3.0), 'second', 1)
        won = state.apply(first, _INDEX)
        lost = state.apply(second, _NEXT)
        self.assertEqual(won, ChangeAccepted(Revision(100)))
        self.assertEqual(lost, RevisionConflict(Revision(100), first.entry))
        self.assertEqual(
            state.view().entry(first.entry.entry_id),
            first.entry,
        )

    def test_new_entry_twice(self) -> None:
        """Two operators add the same name: the second gets the conflict."""
        state = examples.filled_state()
        state.apply(examples.put(examples.region('sul'), 'first'), _INDEX)
        lost = state.apply(
            examples.put(examples.region('sul', 9.0), 'second'),
            _NEXT,
        )
        assert isinstance(lost, RevisionConflict)
        self.assertEqual(lost.current_revision, 100)

    def test_old_values_are_free_again(self) -> None:
        """What a replaced or removed entry held does not bind later ones."""
        drain = _announce(DrainSubjectKind.TARGET, 'catalogue-1', 'drain')
        commands: tuple[CatalogueCommand, ...] = (
            examples.put(examples.target('catalogue-1', port=9), 'move', 8),
            examples.put(examples.target('new', port=21000), 'take'),
            drain,
            _remove('target/catalogue-1', 20, 'remove'),
            examples.put(examples.target('catalogue-1', port=9), 'again'),
        )
        state = examples.filled_state()
        for index, command in enumerate(commands, start=20):
            outcome = state.apply(command, LogIndex(index))
            self.assertEqual(outcome, ChangeAccepted(Revision(index)))
        self.assertFalse(state.view().drains)

    def test_removed_meanwhile(self) -> None:
        """A change of a removed entry does not bring it back."""
        state = examples.filled_state()
        state.apply(_remove('target/catalogue-1', 8), _INDEX)
        late = examples.put(examples.target('catalogue-1'), 'late', 8)
        self.assertEqual(
            state.apply(late, _NEXT),
            RevisionConflict(Revision(0), None),
        )


class ResendTest(unittest.TestCase):
    """Guards against a resend that is applied or answered differently."""

    def test_first_result(self) -> None:
        """Resends get the first result, also after later changes."""
        commands = (
            examples.put(examples.region('sul'), 'accepted'),
            examples.put(examples.region('sul', 9.0), 'conflict'),
            examples.put(examples.zone('x-a', 'x'), 'invalid'),
            _announce(DrainSubjectKind.VM, 'vm-1', 'drain'),
        )
        state = examples.filled_state()
        first = [state.apply(command, _INDEX) for command in commands]
        state.apply(_withdraw(DrainSubjectKind.VM, 'vm-1', 'end'), _NEXT)
        before = state.view()
        again = [state.apply(command, LogIndex(200)) for command in commands]
        self.assertEqual(again, first)
        self.assertIs(state.view(), before)

    def test_reused_operation_id(self) -> None:
        """Another change under a used id is refused, not called accepted."""
        state = examples.filled_state()
        state.apply(examples.put(examples.region('sul'), 'op'), _INDEX)
        outcome = state.apply(
            examples.put(examples.region('centro'), 'op'),
            _NEXT,
        )
        assert isinstance(outcome, ChangeInvalid)
        self.assertEqual(outcome.problems[0].field, 'operation_id')

    def test_oldest_result_is_dropped(self) -> None:
        """The table is bounded, and exactly the newest results are kept."""
        state = CatalogueState()
        commands = [
            _remove('region/none', 0, f'op-{number}')
            for number in range(OPERATIONS_KEPT + 1)
        ]
        for command in commands:
            state.apply(command, _INDEX)
        put = examples.put(examples.region('sul'), 'op-0')
        self.assertIsInstance(state.apply(put, _NEXT), ChangeAccepted)
        reused = examples.put(examples.region('norte'), 'op-2')
        self.assertIsInstance(state.apply(reused, _NEXT), ChangeInvalid)


class SnapshotTest(unittest.TestCase):
    """Guards against state that is lost when a VM catches up."""

    def test_restored_state_goes_on_alike(self) -> None:
        """A restored copy has the same view, results and snapshots."""
        state = examples.filled_state()
        drain = _announce(DrainSubjectKind.REGION, 'norte', 'drain')
        state.apply(drain, _INDEX)
        copy = CatalogueState()
        copy.restore(state.snapshot())
        self.assertEqual(copy.view(), state.view())
        self.assertEqual(copy.apply(drain, _NEXT), state.apply(drain, _NEXT))
        refused = _remove('region/bajio', 1, 'remove')
        self.assertEqual(
            copy.apply(refused, _NEXT),
            state.apply(refused, _NEXT),
        )
        self.assertEqual(copy.snapshot(), state.snapshot())

    def test_bad_snapshot(self) -> None:
        """A snapshot that cannot be read leaves the state as it was."""
        state = examples.filled_state()
        before = state.snapshot()
        with self.assertRaises(ValueError):
            state.restore(before[:-1])
        self.assertEqual(state.snapshot(), before)


class EncodingTest(unittest.TestCase):
    """Guards against commands that change on their way through the log."""

    def test_round_trip(self) -> None:
        """Every command of the tables above is read back as it was."""
        for name, command, _expected in _REFUSED:
            with self.subTest(name):
                payload = encode_command(command)
                self.assertEqual(decode_command(payload).unwrap(), command)

    def test_refused_payloads(self) -> None:
        """Foreign bytes and values out of bounds are not commands."""
        commands: tuple[CatalogueCommand, ...] = (
            _remove('region/x', -1),
            _remove('region/x', 0, ''),
            _announce(DrainSubjectKind.VM, 'vm-1\n'),
            examples.put(examples.region('a', -1.0), 'op'),
        )
        payloads = (b'', b'\xc1', *map(encode_command, commands))
        for payload in payloads:
            with self.subTest(payload=payload):
                self.assertTrue(decode_command(payload).is_err())
