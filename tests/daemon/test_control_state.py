"""Every copy of the control state comes to the same state."""

import unittest

import plantainstand_catalogue as catalogue
import plantainstand_records as records
import plantainstand_shares as shares
from plantainstand_core import (
    Incarnation,
    LogIndex,
    ManualClock,
    OperationId,
    VmId,
)
from plantainstand_daemon._control_state import (
    CommandKind,
    ControlState,
    command_kind,
    wrap_command,
)

from tests.catalogue import examples
from tests.daemon.deployment import OWN, Deployment
from tests.records.examples import uuid7

_NOW = ManualClock().wall()
_ID = uuid7(_NOW, 1)
_ADMISSION = records.Admission(VmId('bajio-a-1'), Incarnation(1), 1)

_CHANGE = wrap_command(
    CommandKind.CATALOGUE,
    catalogue.encode_command(
        catalogue.AnnounceDrain(
            OperationId('o-1'),
            catalogue.DrainSubjectKind.TARGET,
            'catalogue-1',
        ),
    ),
)
_SHARE_COMMAND = wrap_command(
    CommandKind.SHARES,
    shares.encode_command(shares.MarkLeaving(*OWN)),
)
_RECORD_COMMAND = wrap_command(
    CommandKind.RECORDS,
    records.encode_command(
        records.Admit(
            _ID,
            records.content_fingerprint('POST', '/orders', b''),
            _ADMISSION,
            _NOW,
        ),
    ),
)

_COMMANDS = (
    ('catalogue', CommandKind.CATALOGUE, _CHANGE),
    ('shares', CommandKind.SHARES, _SHARE_COMMAND),
    ('records', CommandKind.RECORDS, _RECORD_COMMAND),
)
_BAD_PAYLOADS = (
    b'',
    b'x',
    b'c',
    b's',
    b'r',
    b'c\xc1',
    b's\x80',
    b'r\xff\xff',
    _CHANGE[:-1],
    _SHARE_COMMAND[:-1],
    _RECORD_COMMAND[:-1],
    # A command of one part under the name of another one.
    wrap_command(CommandKind.SHARES, _CHANGE[1:]),
    wrap_command(CommandKind.RECORDS, _SHARE_COMMAND[1:]),
    wrap_command(CommandKind.CATALOGUE, _RECORD_COMMAND[1:]),
)


def _filled() -> ControlState:
    state = Deployment(examples.ENTRIES, ('bajio-a-1', 'norte-a-1')).log.state
    for _name, _kind, command in _COMMANDS:
        state.apply(LogIndex(state.index + 1), command)
    return state


class CommandTest(unittest.TestCase):
    """Guards against commands that get lost or reach another part."""

    def test_kinds(self) -> None:
        """Each command changes its own part and tells its outcome."""
        deployment = Deployment(examples.ENTRIES, ('bajio-a-1',))
        for name, kind, command in _COMMANDS:
            with self.subTest(name):
                self.assertIs(command_kind(command), kind)
                self.assertNotEqual(deployment.log.commit(command), b'')
        view = deployment.view
        kinds = catalogue.DrainSubjectKind
        self.assertTrue(
            view.catalogue.is_draining(kinds.TARGET, 'catalogue-1'),
        )
        leaving = view.shares.registry.records[OWN].state
        self.assertIs(leaving, shares.VmState.LEAVING)
        found = deployment.log.state.records.lookup(_ID)
        self.assertEqual(found, records.InProgress(_ADMISSION))

    def test_undecodable(self) -> None:
        """Bytes that are no command change nothing but the index."""
        for payload in _BAD_PAYLOADS:
            with self.subTest(payload):
                state = _filled()
                before = state.view()
                untouched = state.records.snapshot()
                index = LogIndex(state.index + 1)
                self.assertEqual(state.apply(index, payload), b'')
                self.assertEqual(state.index, index)
                self.assertIs(state.view(), before)
                self.assertEqual(state.records.snapshot(), untouched)


class SnapshotTest(unittest.TestCase):
    """Guards against a restart or a new voter that forgets something."""

    def test_round_trip(self) -> None:
        """A restored copy is equal and goes on in the same way."""
        original = _filled()
        copy = ControlState()
        copy.restore(original.snapshot())
        self.assertEqual(copy.index, original.index)
        self.assertEqual(copy.snapshot(), original.snapshot())
        index = LogIndex(original.index + 1)
        for _name, _kind, command in _COMMANDS:
            # A resend has to get the outcome of the first time.
            self.assertEqual(
                copy.apply(index, command),
                original.apply(index, command),
            )
        self.assertEqual(copy.snapshot(), original.snapshot())

    def test_follower(self) -> None:
        """A follower gets catalogue and shares, and no request records."""
        original = _filled()
        copy = ControlState()
        copy.restore(original.follower_snapshot())
        self.assertEqual(copy.index, original.index)
        self.assertEqual(copy.records.lookup(_ID), records.NoRecord())
        self.assertEqual(copy.follower_snapshot(), original.follower_snapshot())
        self.assertNotIn(_ID.encode(), original.follower_snapshot())
        self.assertEqual(
            copy.view().shares.registry.records,
            original.view().shares.registry.records,
        )

    def test_restore_replaces(self) -> None:
        """Nothing of the earlier state is left."""
        copy = _filled()
        copy.restore(ControlState().snapshot())
        self.assertEqual(copy.snapshot(), ControlState().snapshot())
        self.assertEqual(copy.view().catalogue.entries, {})


class ViewTest(unittest.TestCase):
    """Guards against stale views, and against one built per heartbeat."""

    def test_reused(self) -> None:
        """The view is the same object until catalogue or shares change."""
        replaced = {
            CommandKind.CATALOGUE: True,
            CommandKind.SHARES: True,
            CommandKind.RECORDS: False,
        }
        for name, kind, command in _COMMANDS:
            with self.subTest(name):
                state = _filled()
                before = state.view()
                self.assertIs(state.view(), before)
                index = LogIndex(state.index + 1)
                state.apply(index, command)
                is_new = state.view() is not before
                self.assertEqual(is_new, replaced[kind])
                if is_new:
                    self.assertEqual(state.view().index, index)

    def test_restored(self) -> None:
        """A restored state has a view of its own."""
        state = _filled()
        before = state.view()
        state.restore(ControlState().snapshot())
        self.assertIsNot(state.view(), before)

    def test_listeners(self) -> None:
        """Listeners hear of catalogue, shares and snapshots, not records."""
        state = _filled()
        heard: list[LogIndex] = []
        state.add_listener(lambda: heard.append(state.view().index))
        start = state.index
        for step, (_name, _kind, command) in enumerate(_COMMANDS, start=1):
            state.apply(LogIndex(start + step), command)
        state.restore(state.snapshot())
        self.assertEqual(heard, [start + 1, start + 2, start + 3])

    def test_advance(self) -> None:
        """A follower's index never goes back."""
        state = _filled()
        start = state.index
        state.advance(LogIndex(start - 1))
        self.assertEqual(state.index, start)
        state.advance(LogIndex(start + 5))
        self.assertEqual(state.index, start + 5)
