"""The register and the share table keep the held sum under the capacity."""

import unittest
from collections.abc import Sequence
from typing import TypeAlias

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import LogIndex
from plantainstand_shares import (
    AnyCommand,
    RefusalReason,
    Refused,
    SetLongestDeadline,
    ShareOutcome,
    SharesSet,
    ShareState,
    ShareView,
    decode_command,
    decode_outcome,
    encode_command,
    encode_outcome,
)

from tests.shares.builders import (
    TARGET,
    Log,
    accepted,
    change,
    confirm,
    depart,
    key,
    leave,
    reclaim,
    register,
)

_Case: TypeAlias = tuple[str, Sequence[AnyCommand], ShareOutcome, int]

_REGISTER_A = register('a')
_REGISTER_B = register('b')
_FIVE = change(9, ('a', 1, 5), ('b', 1, 4))
_MOVED = change(9, ('a', 1, 3), ('b', 1, 6))
_LOWERED = change(9, ('a', 1, 3))
_REFUSED_TARGET = SharesSet((TARGET,))

# Name, commands from index 1 on, last outcome, held sum at the end.
_CASES: tuple[_Case, ...] = (
    ('grant', (_REGISTER_A, _REGISTER_B, _FIVE), SharesSet(()), 9),
    (
        'above capacity',
        (_REGISTER_A, change(4, ('a', 1, 5))),
        _REFUSED_TARGET,
        0,
    ),
    (
        'grow before release',
        (_REGISTER_A, _REGISTER_B, _FIVE, _MOVED),
        _REFUSED_TARGET,
        9,
    ),
    (
        'lowered is held',
        (_REGISTER_A, _REGISTER_B, _FIVE, _LOWERED),
        SharesSet(()),
        9,
    ),
    (
        'confirmed is free',
        (_REGISTER_A, _REGISTER_B, _FIVE, _LOWERED, confirm('a', 4)),
        accepted(5),
        7,
    ),
    (
        'confirmed too early',
        (_REGISTER_A, _REGISTER_B, _FIVE, _LOWERED, confirm('a', 3)),
        Refused(RefusalReason.STALE_VERSION),
        9,
    ),
    (
        'confirmed after growth',
        (
            _REGISTER_A,
            _REGISTER_B,
            _FIVE,
            _LOWERED,
            change(9, ('a', 1, 4)),
            confirm('a', 4),
        ),
        Refused(RefusalReason.STALE_VERSION),
        9,
    ),
    (
        'grow after release',
        (
            _REGISTER_A,
            _REGISTER_B,
            _FIVE,
            _LOWERED,
            confirm('a', 4),
            change(9, ('b', 1, 6)),
        ),
        SharesSet(()),
        9,
    ),
    (
        'capacity lowered',
        (_REGISTER_A, _REGISTER_B, _FIVE, change(4, ('a', 1, 2), ('b', 1, 2))),
        SharesSet(()),
        9,
    ),
    (
        'unknown holder',
        (_REGISTER_A, change(9, ('b', 1, 1))),
        _REFUSED_TARGET,
        0,
    ),
    (
        'restart holds',
        (_REGISTER_A, change(9, ('a', 1, 9)), register('a', 2)),
        accepted(3),
        9,
    ),
    (
        'no growth beside the old share',
        (
            _REGISTER_A,
            change(9, ('a', 1, 9)),
            register('a', 2),
            change(9, ('a', 2, 1)),
        ),
        _REFUSED_TARGET,
        9,
    ),
    (
        'superseded gets nothing',
        (_REGISTER_A, register('a', 2), change(9, ('a', 1, 1))),
        _REFUSED_TARGET,
        0,
    ),
    (
        'reclaim frees',
        (_REGISTER_A, change(9, ('a', 1, 9)), reclaim('a')),
        accepted(3),
        0,
    ),
    (
        'reclaim after a membership change',
        (
            _REGISTER_A,
            change(9, ('a', 1, 9)),
            _REGISTER_B,
            reclaim('a', decided_at=2),
        ),
        Refused(RefusalReason.STALE_DECISION),
        9,
    ),
    (
        'reclaim after a change elsewhere',
        (
            _REGISTER_A,
            change(9, ('a', 1, 9)),
            register('b', zone='z2'),
            reclaim('a', decided_at=2),
        ),
        accepted(4),
        0,
    ),
    (
        'clean departure frees',
        (_REGISTER_A, change(9, ('a', 1, 9)), leave('a'), depart('a')),
        accepted(4),
        0,
    ),
    (
        'confirm after the end',
        (_REGISTER_A, change(9, ('a', 1, 9)), depart('a'), confirm('a', 2)),
        Refused(RefusalReason.UNKNOWN_INCARNATION),
        0,
    ),
    ('registration resent', (_REGISTER_A, _REGISTER_A), accepted(1), 0),
    (
        'old incarnation',
        (register('a', 2), _REGISTER_A),
        Refused(RefusalReason.STALE_INCARNATION),
        0,
    ),
    (
        'ended incarnation',
        (_REGISTER_A, depart('a'), _REGISTER_A),
        Refused(RefusalReason.STALE_INCARNATION),
        0,
    ),
)


class ApplyTest(unittest.TestCase):
    """Guards against two holders of the same slot."""

    def test_cases(self) -> None:
        """Each last command has the stated outcome and held sum."""
        for name, commands, expected, held in _CASES:
            with self.subTest(name):
                log = Log(*commands[:-1])
                self.assertEqual(log.apply(commands[-1]), expected)
                self.assertEqual(log.held(), held)
                self.assertEqual(
                    decode_outcome(encode_outcome(expected)),
                    expected,
                )

    def test_deadline_bound(self) -> None:
        """A lower bound does not hold for a VM that knows the higher one."""
        log = Log(
            SetLongestDeadline(9000),
            _REGISTER_A,
            SetLongestDeadline(2000),
            _REGISTER_B,
        )
        records = log.state.view().registry.records
        self.assertEqual(records[key('a')].longest_deadline_ms, 9000)
        self.assertEqual(records[key('b')].longest_deadline_ms, 2000)

    def test_view_is_not_changed_later(self) -> None:
        """A view that is in use does not see later commands."""
        log = Log(_REGISTER_A, _REGISTER_B, _FIVE)
        view = log.state.view()
        before = _contents(view)
        log.apply(_LOWERED)
        log.apply(depart('b'))
        self.assertEqual(_contents(view), before)

    def test_members_seen_by_a_late_vm(self) -> None:
        """Every set of members since the VM's index is found."""
        log = Log(
            _REGISTER_A,
            _REGISTER_B,
            register('c'),
            depart('b'),
            register('c', 2),
        )
        register_view = log.state.view().registry
        zone = _REGISTER_A.availability_zone
        cases = {1: 'a ab abc ac', 2: 'ab abc ac', 4: 'ac', 5: 'ac'}
        for index, expected in cases.items():
            with self.subTest(index):
                found = register_view.memberships_since(
                    zone,
                    LogIndex(index),
                )
                names = sorted(''.join(sorted(members)) for members in found)
                self.assertEqual(names, sorted(expected.split()))

    def test_ended_records_are_pruned(self) -> None:
        """The register does not grow with every restart of a peer."""
        log = Log(_REGISTER_A)
        for incarnation in range(1, 20):
            log.apply(register('b', incarnation))
            log.apply(change(9, ('a', 1, 1)))
            log.apply(change(9, ('a', 1, 0)))
            log.apply(confirm('a', log.index))
            log.apply(reclaim('b', incarnation - 1))
        self.assertLess(len(log.state.view().registry.records), 5)


_VMS = st.sampled_from('ab')
_INCARNATIONS = st.integers(1, 2)
_COMMANDS = st.one_of(
    st.builds(register, _VMS, _INCARNATIONS),
    st.builds(leave, _VMS, _INCARNATIONS),
    st.builds(depart, _VMS, _INCARNATIONS),
    st.builds(reclaim, _VMS, _INCARNATIONS, st.integers(0, 40)),
    st.builds(confirm, _VMS, st.integers(1, 40), _INCARNATIONS),
    st.builds(
        change,
        st.integers(0, 9),
        st.tuples(_VMS, _INCARNATIONS, st.integers(0, 6)),
        st.tuples(_VMS, _INCARNATIONS, st.integers(0, 6)),
    ),
)


def _contents(view: ShareView) -> object:
    return (
        dict(view.registry.records),
        dict(view.registry.zone_versions),
        {name: dict(known.holders) for name, known in view.resources.items()},
        {name: dict(shares) for name, shares in view.by_vm.items()},
    )


class RandomCommandsTest(unittest.TestCase):
    """Guards against faults that only a sequence of commands shows."""

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.lists(_COMMANDS, max_size=40))
    def test_held_sum(self, commands: list[AnyCommand]) -> None:
        """No command raises the held sum above the capacity it carries."""
        log = Log()
        for command in commands:
            before = log.held()
            log.apply(command)
            known = log.state.view().resources.get(TARGET)
            if known and known.held > before:
                self.assertLessEqual(known.held, known.capacity)

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(st.lists(_COMMANDS, max_size=30), st.integers(0, 30))
    def test_replicas_agree(self, commands: list[AnyCommand], at: int) -> None:
        """A restored replica goes on like the one that never restarted."""
        log = Log(*commands[:at])
        restored = ShareState()
        restored.restore(log.state.snapshot())
        for command in commands[at:]:
            decoded = decode_command(encode_command(command)).unwrap()
            outcome = log.apply(command)
            self.assertEqual(restored.apply(decoded, log.index), outcome)
        self.assertEqual(
            _contents(restored.view()), _contents(log.state.view())
        )
        self.assertEqual(restored.snapshot(), log.state.snapshot())
