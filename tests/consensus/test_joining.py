"""Tests of automatic founding, repair and contact with a majority."""

import unittest
from collections.abc import Sequence

from plantainstand_consensus import Command, ReplicaCore
from plantainstand_core import VmId

from tests.consensus.simulated_cluster import SimulatedCluster

_VMS = tuple(VmId(name) for name in 'abc')
_FOUNDER, _SECOND, _THIRD = _VMS
_ROUNDS = 80

_SIX_VMS = tuple(VmId(name) for name in 'abcdef')
_SUCCESSOR = _SIX_VMS[0]
_LOST = _SIX_VMS[2]
_OTHERS = _SIX_VMS[:5]


def _founded() -> SimulatedCluster:
    cluster = SimulatedCluster(_VMS)
    for vm in _VMS:
        cluster.new_disk(vm)
        cluster.start(vm, _VMS)
    cluster.run_rounds(_ROUNDS, _VMS)
    return cluster


def _propose(cluster: SimulatedCluster, payload: bytes) -> bool:
    """Propose at the leader; return whether all running VMs applied it."""
    leader = cluster.leader()
    if leader is None:
        return False
    core = cluster.replicas[leader].core
    if core is None or core.propose(Command(payload)).is_err():
        return False
    cluster.collect(leader)
    cluster.run_rounds(_ROUNDS, _VMS)
    return all(
        cluster.replicas[vm].applied[-1:] == [payload]
        for vm in cluster.running()
    )


class FoundingTest(unittest.TestCase):
    """Guards against two founded clusters and one with too few disks."""

    def test_all_reachable(self) -> None:
        """Formatted voters found a cluster that accepts proposals."""
        self.assertTrue(_propose(_founded(), b'first'))

    def test_waits_for_every_member(self) -> None:
        """No cluster is founded while a member has not replied."""
        cluster = SimulatedCluster(_VMS)
        for vm in _VMS:
            cluster.new_disk(vm)
            cluster.start(vm, _VMS)
        cluster.run_rounds(_ROUNDS, (_FOUNDER, _SECOND))
        self.assertIsNone(cluster.leader())
        self.assertFalse(_propose(cluster, b'early'))

    def test_founder_is_formatted_again(self) -> None:
        """A founder that was formatted again joins the existing cluster."""
        cluster = _founded()
        self.assertTrue(_propose(cluster, b'kept'))
        cluster.lose_disk(_FOUNDER)
        cluster.start(_FOUNDER, _VMS)
        cluster.run_rounds(_ROUNDS, (_FOUNDER, _SECOND))
        self.assertEqual(cluster.replicas[_FOUNDER].disk.entries, [])
        cluster.run_rounds(_ROUNDS, _VMS)
        self.assertEqual(cluster.replicas[_FOUNDER].applied, [b'kept'])
        self.assertTrue(_propose(cluster, b'next'))


class RepairTest(unittest.TestCase):
    """Guards against emptied disks that vote, or are never repaired."""

    def test_each_disk_in_turn(self) -> None:
        """All disks may be lost, each after the one before is repaired."""
        cluster = _founded()
        self.assertTrue(_propose(cluster, b'kept'))
        for vm in (_THIRD, _FOUNDER, _SECOND):
            cluster.lose_disk(vm)
            cluster.start(vm, _VMS)
            cluster.run_rounds(_ROUNDS, _VMS)
            self.assertIn(b'kept', cluster.replicas[vm].applied)
            self.assertTrue(_propose(cluster, b'after %s' % vm.encode()))

    def test_repair_needs_a_majority(self) -> None:
        """With two of three disks lost, no leader is elected."""
        cluster = _founded()
        for vm in (_SECOND, _THIRD):
            cluster.lose_disk(vm)
            cluster.start(vm, _VMS)
        cluster.run_rounds(_ROUNDS, _VMS)
        self.assertIsNone(cluster.leader())

    def test_repair_by_snapshot(self) -> None:
        """An emptied disk gets a snapshot in place of compacted entries."""
        cluster = _founded()
        for number in range(5):
            self.assertTrue(_propose(cluster, b'%d' % number))
        for vm in _VMS:
            cluster.compact(vm, 0)
        cluster.run_rounds(_ROUNDS, _VMS)
        cluster.lose_disk(_THIRD)
        cluster.start(_THIRD)
        cluster.run_rounds(_ROUNDS, _VMS)
        self.assertIsNotNone(cluster.replicas[_THIRD].disk.snapshot)
        self.assertTrue(_propose(cluster, b'after'))


class ReplacedVoterTest(unittest.TestCase):
    """Guards against a voter that never learns that it was replaced.

    Its own log names it as a voter, among others that no longer lead.
    """

    def setUp(self) -> None:
        """Replace the last of five voters while it reaches no other VM."""
        self.cluster = SimulatedCluster(_SIX_VMS)
        self.cluster.form(_SIX_VMS[1:])
        for vm in _SIX_VMS:
            self.cluster.start(vm)
        self.cluster.run_rounds(_ROUNDS, _OTHERS)
        self._change_members(_OTHERS)
        self.cluster.run_rounds(_ROUNDS, _OTHERS)
        while self.cluster.leader() != _SUCCESSOR:
            leader = self.cluster.leader()
            assert leader is not None
            self.cluster.crash(leader)
            self.cluster.run_rounds(_ROUNDS, _OTHERS)
            self.cluster.start(leader)
            self.cluster.run_rounds(_ROUNDS, _OTHERS)

    def test_becomes_a_voter_again(self) -> None:
        """It takes the place of a lost disk while its successor leads."""
        self.cluster.run_rounds(_ROUNDS, _SIX_VMS)
        self.cluster.lose_disk(_LOST)
        self.cluster.run_rounds(_ROUNDS, _SIX_VMS)
        members = sorted(set(_SIX_VMS) - {_LOST})
        self._change_members(members)
        self.cluster.run_rounds(_ROUNDS, _SIX_VMS)
        self.assertEqual(self._voters(), members)
        # Two more lost disks must leave a majority of the voters.
        for vm in (_SUCCESSOR, _OTHERS[1]):
            self.cluster.lose_disk(vm)
            self.cluster.start(vm)
        self.cluster.start(_LOST)
        self.cluster.run_rounds(_ROUNDS, _SIX_VMS)
        self.assertIsNotNone(self.cluster.leader())

    def _voters(self) -> list[VmId]:
        core = self._leading_core()
        return [voter.vm for voter in core.state.log.configuration.voters]

    def _change_members(self, members: Sequence[VmId]) -> None:
        core = self._leading_core()
        self.assertTrue(core.change_members(members).is_ok())
        self.cluster.collect(core.state.node.vm)

    def _leading_core(self) -> ReplicaCore:
        leader = self.cluster.leader()
        assert leader is not None
        core = self.cluster.replicas[leader].core
        assert core is not None
        return core


class LeaderContactTest(unittest.TestCase):
    """Guards against leaders that act without contact to a majority."""

    def test_isolated_leader_steps_down(self) -> None:
        """A leader steps down one second after the last answered message."""
        cluster = _founded()
        leader = cluster.leader()
        assert leader is not None
        core = cluster.replicas[leader].core
        assert core is not None and core.leadership is not None
        self.assertTrue(core.leadership.has_quorum_contact(cluster.now))
        others = [vm for vm in _VMS if vm != leader]
        cluster.run_rounds(22, others)
        self.assertIsNone(core.leadership)
        self.assertIn(cluster.leader(), others)

    def test_frozen_leader_has_no_contact(self) -> None:
        """A leader that resumes after a pause has no contact at once."""
        cluster = _founded()
        leader = cluster.leader()
        assert leader is not None
        core = cluster.replicas[leader].core
        assert core is not None and core.leadership is not None
        later = cluster.now * 2
        self.assertFalse(core.leadership.has_quorum_contact(later))

    def test_barrier_needs_a_new_answer(self) -> None:
        """Only replies to messages sent after a read confirm it."""
        cluster = _founded()
        leader = cluster.leader()
        assert leader is not None
        core = cluster.replicas[leader].core
        assert core is not None and core.leadership is not None
        number = core.leadership.start_round()
        cluster.run_rounds(3, (leader,))
        self.assertFalse(core.leadership.is_round_confirmed(number))
        cluster.run_rounds(3, _VMS)
        self.assertTrue(core.leadership.is_round_confirmed(number))
