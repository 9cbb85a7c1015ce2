"""Catalogue changes: conflicts, resends, refusals, snapshots."""

import unittest
from functools import partial
from typing import Any

import plantainstand_catalogue as catalogue
import plantainstand_core as core

from tests.catalogue import examples

_ACCEPTED = catalogue.ChangeAccepted(core.Revision(100))
_TARGET = catalogue.DrainSubjectKind.TARGET
_VM = catalogue.DrainSubjectKind.VM
_REGION = catalogue.DrainSubjectKind.REGION


def _remove(entry_id: str, expected: int, operation: str = 'op') -> Any:
    return catalogue.RemoveEntry(
        core.OperationId(operation),
        core.EntryId(entry_id),
        core.Revision(expected),
    )


def _drain(command: Any, kind: Any, name: str, operation: str = 'op') -> Any:
    return command(core.OperationId(operation), kind, name)


_announce = partial(_drain, catalogue.AnnounceDrain)
_withdraw = partial(_drain, catalogue.WithdrawDrain)
_LOST_TARGET = examples.target('t', 'sul-a', 21009, service_name='till')

# Command and a part of the problems that refuse it.
_REFUSED: tuple[tuple[Any, str], ...] = (
    (examples.put(_LOST_TARGET, 'op'), 'service: there is no entry service/t'),
    (examples.put(_LOST_TARGET, 'op'), 'no entry availability_zone/sul-a'),
    (
        examples.put(examples.target('t', port=21000), 'op'),
        'target/catalogue-1 already has the address',
    ),
    (
        examples.put(examples.link('bajio', 'bajio'), 'op'),
        'to_region: the link leads from bajio to itself',
    ),
    (_remove('region/bajio', 1), 'availability_zone/bajio-b refers to it'),
    (_remove('service/catalogue', 7), 'target/catalogue-2 refers to it'),
    (_remove('service/x', 0), 'there is no such entry'),
    (_announce(_TARGET, 'x'), 'target/x: there is no such entry'),
    (_withdraw(_VM, 'vm-1'), 'vm/vm-1: no drain is announced for it'),
)


class StateTest(unittest.TestCase):
    """Starts with the example entries; applies changes from index 100."""

    def setUp(self) -> None:
        """Fill the state."""
        self.state = examples.filled_state()
        self.index = 99

    def apply(self, command: Any) -> Any:
        """Apply a command at the next index."""
        self.index += 1
        return self.state.apply(command, core.LogIndex(self.index))


class RefusalTest(StateTest):
    """Guards against changes that break references or double a resource."""

    def test_cases(self) -> None:
        """A refused change says what is wrong and changes nothing."""
        for command, expected in _REFUSED:
            with self.subTest(expected):
                self.setUp()
                before = self.state.view()
                outcome = self.apply(command)
                self.assertIsInstance(outcome, catalogue.ChangeInvalid)
                text = '\n'.join(map(str, outcome.problems))
                self.assertIn(expected, text)
                self.assertIs(self.state.view(), before)


class RevisionTest(StateTest):
    """Guards against a change that overwrites one its author never saw."""

    def test_equal_expected_revisions(self) -> None:
        """Of two changes with equal expectations the first one wins."""
        for expected, name in ((1, 'bajio'), (0, 'sul')):
            with self.subTest(name):
                self.setUp()
                first = examples.region(name, 2.0)
                second = examples.region(name, 3.0)
                won = self.apply(examples.put(first, 'first', expected))
                lost = self.apply(examples.put(second, 'second', expected))
                self.assertEqual(won, _ACCEPTED)
                self.assertEqual(
                    lost,
                    catalogue.RevisionConflict(core.Revision(100), first),
                )
                current = self.state.view().entry(first.entry_id)
                self.assertEqual(current, first)

    def test_removed_meanwhile(self) -> None:
        """A change of a removed entry does not bring it back."""
        self.apply(_remove('target/catalogue-1', 8))
        late = examples.put(examples.target('catalogue-1'), 'late', 8)
        conflict = catalogue.RevisionConflict(core.Revision(0), None)
        self.assertEqual(self.apply(late), conflict)

    def test_old_values_are_free_again(self) -> None:
        """What a replaced or removed entry held does not bind later ones."""
        moved = examples.target('catalogue-1', port=9)
        commands = (
            examples.put(moved, 'move', 8),
            examples.put(examples.target('new', port=21000), 'take'),
            _announce(_TARGET, 'catalogue-1', 'drain'),
            _remove('target/catalogue-1', 100, 'remove'),
            examples.put(moved, 'again'),
        )
        for command in commands:
            outcome = self.apply(command)
            self.assertIsInstance(outcome, catalogue.ChangeAccepted)
        self.assertFalse(self.state.view().drains)


class ResendTest(StateTest):
    """Guards against a resend that is applied or answered differently."""

    def test_first_result(self) -> None:
        """Resends get the first result, also after later changes."""
        commands = (
            examples.put(examples.region('sul'), 'accepted'),
            examples.put(examples.region('sul', 9.0), 'conflict'),
            examples.put(examples.zone('x-a', 'x'), 'invalid'),
            _announce(_VM, 'vm-1', 'drain'),
        )
        first = [self.apply(command) for command in commands]
        self.apply(_withdraw(_VM, 'vm-1', 'end'))
        before = self.state.view()
        again = [self.apply(command) for command in commands]
        self.assertEqual(again, first)
        self.assertIs(self.state.view(), before)

    def test_reused_operation_id(self) -> None:
        """Another change under a used id is refused, not called accepted."""
        self.apply(examples.put(examples.region('sul'), 'op'))
        outcome = self.apply(examples.put(examples.region('centro'), 'op'))
        self.assertIsInstance(outcome, catalogue.ChangeInvalid)
        self.assertEqual(outcome.problems[0].field, 'operation_id')

    def test_oldest_result_is_dropped(self) -> None:
        """The table is bounded, and exactly the newest results are kept."""
        self.state = catalogue.CatalogueState()
        for number in range(catalogue.MAX_STORED_OPERATIONS + 1):
            self.apply(_remove('region/none', 0, f'op-{number}'))
        put = examples.put(examples.region('sul'), 'op-0')
        self.assertIsInstance(self.apply(put), catalogue.ChangeAccepted)
        reused = examples.put(examples.region('norte'), 'op-2')
        self.assertIsInstance(self.apply(reused), catalogue.ChangeInvalid)


class SnapshotTest(StateTest):
    """Guards against state that is lost when a VM catches up."""

    def test_restored_state_goes_on_alike(self) -> None:
        """A restored copy has the same view, results and snapshots."""
        drain = _announce(_REGION, 'norte', 'drain')
        self.apply(drain)
        copy = catalogue.CatalogueState()
        copy.restore(self.state.snapshot())
        self.assertEqual(copy.view(), self.state.view())
        for command in (drain, _remove('region/bajio', 1, 'remove')):
            outcome = copy.apply(command, core.LogIndex(self.index + 1))
            self.assertEqual(outcome, self.apply(command))
        self.assertEqual(copy.snapshot(), self.state.snapshot())

    def test_bad_snapshot(self) -> None:
        """A snapshot that cannot be read leaves the state as it was."""
        before = self.state.snapshot()
        with self.assertRaises(ValueError):
            self.state.restore(before[:-1])
        self.assertEqual(self.state.snapshot(), before)


class EncodingTest(unittest.TestCase):
    """Guards against commands that change on their way through the log."""

    def test_round_trip(self) -> None:
        """Every command of the table above is read back as it was."""
        for command, expected in _REFUSED:
            with self.subTest(expected):
                payload = catalogue.encode_command(command)
                found = catalogue.decode_command(payload).unwrap()
                self.assertEqual(found, command)

    def test_refused_payloads(self) -> None:
        """Foreign bytes and values out of bounds are not commands."""
        commands = (
            _remove('region/x', -1),
            _remove('region/x', 0, ''),
            _announce(_VM, 'vm-1\n'),
            examples.put(examples.region('a', -1.0), 'op'),
        )
        payloads = (b'', b'\xc1', *map(catalogue.encode_command, commands))
        for payload in payloads:
            with self.subTest(payload=payload):
                self.assertTrue(catalogue.decode_command(payload).is_err())
