"""Tests of what is logged and measured of a leader's voter set."""

import unittest

from plantainstand_consensus import ReplicaStatus
from plantainstand_consensus._status import describe_status
from plantainstand_control._voter_set import VoterSetGaps, describe_voter_set
from plantainstand_core import VmId

from tests.consensus.simulated_cluster import ROUND, SimulatedCluster

_VMS = tuple(VmId(name) for name in 'abcdef')
_ROUNDS = 80


class VoterSetTests(unittest.TestCase):
    """Guards against a voter set that stays incomplete without a sign of it."""

    def setUp(self) -> None:
        """Form a cluster of five voters and a spare VM."""
        self.cluster = SimulatedCluster(_VMS)
        self.cluster.form(_VMS[:5])
        for vm in _VMS:
            self.cluster.start(vm)
        self.cluster.run_rounds(_ROUNDS, _VMS)

    def test_complete_voter_set(self) -> None:
        """At rest there is nothing to log."""
        self.assertEqual(self._describe(), VoterSetGaps())

    def test_member_that_does_not_come(self) -> None:
        """It is told apart from one that gets the log but lags behind."""
        leader = self._leader()
        follower = min(set(_VMS[:5]) - {leader})
        reached = [vm for vm in _VMS if vm not in {follower, 'f'}]
        members = [vm for vm in _VMS if vm != follower]
        core = self.cluster.replicas[leader].core
        assert core is not None
        core.change_members(members)
        self.cluster.collect(leader)
        self.cluster.run_rounds(_ROUNDS, reached)
        expected = VoterSetGaps(
            without_vote=(VmId('f'),), surplus=(follower,), silent=(follower,)
        )
        self.assertEqual(self._describe(), expected)
        learned = set()
        end = self.cluster.now + _ROUNDS * ROUND
        while self.cluster.now < end:
            self.cluster.run_rounds(1, [*reached, VmId('f')])
            learned.add(self._describe().learning)
        self.assertEqual(learned, {(), (VmId('f'),)})

    def _leader(self) -> VmId:
        leader = self.cluster.leader()
        assert leader is not None
        return leader

    def _describe(self) -> VoterSetGaps:
        return describe_voter_set(self._status())

    def _status(self) -> ReplicaStatus:
        core = self.cluster.replicas[self._leader()].core
        assert core is not None
        return describe_status(core, self.cluster.now, None, 0, running=True)
