"""Tests of the choice of voters after losses and replacements."""

import unittest
from collections import Counter
from collections.abc import Collection
from types import MappingProxyType
from unittest.mock import Mock

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_consensus import ReplicaCore
from plantainstand_consensus._status import describe_status
from plantainstand_control import MembershipView, choose_members
from plantainstand_control._members import ABSENCE_TIMEOUT, AbsenceRecord
from plantainstand_core import RegionId, VmId

from tests.consensus.simulated_cluster import ROUND, SimulatedCluster

_REGIONS = MappingProxyType(
    {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
)

_VMS = tuple(VmId(name) for name in 'abcdef')
_SILENT = _VMS[3]
_REACHED = (*_VMS[:3], _VMS[4])
_ROUNDS = 80


def _choose(members: str, live: str, tolerated: int = 2) -> set[str]:
    view = MembershipView(
        [VmId(name) for name in members.split()],
        {VmId(name): RegionId(_REGIONS[name]) for name in live.split()},
        tolerated,
    )
    return set(choose_members(view))


class MemberTests(unittest.TestCase):
    """Guards against voters that are lost without a replacement."""

    def test_lost_voters_are_replaced_by_live_vms(self) -> None:
        """Spare live VMs fill the set; without spares, lost voters stay."""
        cases = (
            ('first', 'a1 b1 c1', 'a1 a2 b1 b2 c1 c2', 'a1 a2 b1 b2 c1'),
            ('full', 'a1 a2 b1 b2 c1', 'a1 a2 b1 b2 c1 c2', 'a1 a2 b1 b2 c1'),
            ('one lost', 'a1 a2 b1 b2 c1', 'a1 a2 b1 c1 c2', 'a1 a2 b1 c1 c2'),
            (
                'two lost, one spare',
                'a1 a2 b1 b2 c1',
                'a1 a2 c1 c2',
                'a1 a2 c1 c2 b1',
            ),
            ('none to replace', 'a1 b1 c1', 'a1 b1', 'a1 b1 c1'),
        )
        for name, members, live, expected in cases:
            with self.subTest(name):
                self.assertEqual(_choose(members, live), set(expected.split()))

    def test_loss_of_a_region_leaves_a_majority(self) -> None:
        """Each region holds only a minority of the voters."""
        chosen = _choose('a1 b1 c1', ' '.join(_REGIONS))
        by_region = Counter(_REGIONS[name] for name in chosen)
        self.assertGreater(len(chosen) - max(by_region.values()), 2)

    @given(
        st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1),
        st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1),
    )
    def test_choice_is_stable(self, members: set[str], live: set[str]) -> None:
        """A second choice changes nothing, so the voter set converges."""
        chosen = _choose(' '.join(members), ' '.join(live))
        self.assertEqual(_choose(' '.join(chosen), ' '.join(live)), chosen)

    @given(st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1))
    def test_live_voters_stay(self, members: set[str]) -> None:
        """A live voter is never replaced by another VM."""
        chosen = _choose(' '.join(members), ' '.join(_REGIONS))
        self.assertTrue(members <= chosen)


class AbsenceTests(unittest.TestCase):
    """Guards against a chosen VM that keeps others from becoming voters.

    Its process is live, but its replica neither votes nor gets the log.
    """

    def setUp(self) -> None:
        """Form a cluster in which one member reaches no other VM."""
        self.cluster = SimulatedCluster(_VMS)
        self.cluster.form(_VMS[:5])
        for vm in _VMS:
            self.cluster.start(vm)
        self.cluster.run_rounds(_ROUNDS, _REACHED)
        self.clock = Mock(monotonic=lambda: self.cluster.now)
        self.record = AbsenceRecord(self.clock)

    def test_silent_voter(self) -> None:
        """It counts as absent after the timeout, and not before."""
        self.assertEqual(self._update(), set())
        self.cluster.run_rounds(ABSENCE_TIMEOUT // ROUND - 1, _REACHED)
        self.assertEqual(self._update(), set())
        self.cluster.run_rounds(1, _REACHED)
        self.assertEqual(self._update(), {_SILENT})

    def test_silent_voter_returns(self) -> None:
        """It is absent no more once it answers."""
        self._update()
        self.cluster.run_rounds(ABSENCE_TIMEOUT // ROUND, _REACHED)
        self.cluster.run_rounds(_ROUNDS, _VMS)
        self.assertEqual(self._update(), set())

    def test_member_without_a_vote(self) -> None:
        """A chosen VM that never joins is absent; one that learns is not."""
        leader = self._leading_core()
        leader.change_members((*_VMS[:3], _VMS[4], _VMS[5]))
        self.cluster.collect(leader.state.node.vm)
        joined = (*_VMS[:3], *_VMS[4:])
        for connected, expected in ((_REACHED, {_VMS[5]}), (joined, set())):
            with self.subTest(expected):
                self.cluster.run_rounds(_ROUNDS, connected)
                self._update()
                self.cluster.run_rounds(ABSENCE_TIMEOUT // ROUND, connected)
                self.assertEqual(self._update(), expected)

    def _update(self) -> Collection[VmId]:
        core = self._leading_core()
        now = self.cluster.now
        return self.record.update(
            describe_status(core, now, None, 0, running=True)
        )

    def _leading_core(self) -> ReplicaCore:
        leader = self.cluster.leader()
        assert leader is not None
        core = self.cluster.replicas[leader].core
        assert core is not None
        return core
