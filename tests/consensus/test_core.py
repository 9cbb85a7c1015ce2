"""Tests of protocol rules that the random faults rarely exercise."""

import random
import unittest
from datetime import timedelta

from plantainstand_consensus import (
    Command,
    Configuration,
    Entry,
    HardState,
    Log,
    Node,
    ReplicaCore,
)
from plantainstand_consensus._messages import (
    AppendReply,
    JoinRequest,
    VoteReply,
    VoteRequest,
)
from plantainstand_consensus._state import HEARTBEAT_INTERVAL, Role
from plantainstand_core import DiskId, VmId

_SELF = Node(VmId('a'), DiskId('1'))
_VOTER = Node(VmId('b'), DiskId('2'))
_LEARNER = Node(VmId('c'), DiskId('4'))
_VOTERS = (_SELF, _VOTER, Node(VmId('c'), DiskId('3')))
_MEMBERS = tuple(voter.vm for voter in _VOTERS)
_START = timedelta(hours=1)
_ENTRIES = (
    Entry(1, 0, Configuration(_MEMBERS, _VOTERS, formed=True)),
    Entry(2, 1, Command(b'of an earlier term')),
)


def _sync(core: ReplicaCore) -> None:
    core.record_synced(core.take_effects().sequence)


def _restarted(seed: int = 0) -> ReplicaCore:
    return ReplicaCore(
        _SELF,
        Log(None, _ENTRIES),
        HardState(1),
        peers=_MEMBERS,
        founding_members=(),
        random_source=random.Random(seed),
        now=_START,
    )


def _leader() -> ReplicaCore:
    """Return a leader of term 2 whose log has an entry of term 1."""
    core = _restarted()
    core.tick(_START + timedelta(seconds=1))
    for preliminary in (True, False):
        _sync(core)
        vote = VoteReply(
            source_disk=_VOTER.disk,
            term=1 if preliminary else 2,
            election_term=2,
            granted=True,
            preliminary=preliminary,
        )
        core.receive(_VOTER.vm, vote)
    _sync(core)
    return core


def _acknowledge(
    core: ReplicaCore, node: Node, index: int, sent_at: timedelta | None = None
) -> None:
    sent_at = sent_at or core.state.now
    reply = AppendReply(
        source_disk=node.disk,
        term=2,
        accepted=True,
        match_index=index,
        next_hint=0,
        sent_at_us=sent_at // timedelta(microseconds=1),
        round_number=0,
    )
    core.receive(node.vm, reply)


class FirstElectionTest(unittest.TestCase):
    """Guards against a long outage after all replicas have restarted."""

    def test_first_election_is_early(self) -> None:
        """The first election starts two to five heartbeats after a start."""
        for seed in range(20):
            core = _restarted(seed)
            core.tick(_START + HEARTBEAT_INTERVAL * 1.9)
            self.assertIs(core.state.role, Role.FOLLOWER)
            core.tick(_START + HEARTBEAT_INTERVAL * 5)
            self.assertIs(core.state.role, Role.CANDIDATE)


class SimultaneousElectionTest(unittest.TestCase):
    """Replicas that restart together must not split their votes.

    Each split costs another election timeout, in which nothing is committed
    and no entry VM becomes ready.
    """

    def test_one_of_two_candidates_yields(self) -> None:
        """The one with the older log yields, or else that with the lower id."""
        cases = (
            ('same log, higher id', 'b', 2, True),
            ('same log, lower id', '0', 2, False),
            ('newer log, lower id', '0', 3, True),
            ('older log, higher id', 'b', 1, False),
        )
        for name, other, last_index, yields in cases:
            with self.subTest(name):
                core = _restarted()
                core.tick(_START + timedelta(seconds=1))
                self.assertIs(core.state.role, Role.CANDIDATE)
                core.receive(VmId(other), self._request(last_index))
                expected = Role.FOLLOWER if yields else Role.CANDIDATE
                self.assertIs(core.state.role, expected)

    def test_candidate_with_votes_does_not_yield(self) -> None:
        """After the pre-vote, only a newer term ends a campaign."""
        core = _restarted()
        core.tick(_START + timedelta(seconds=1))
        _sync(core)
        granted = VoteReply(
            source_disk=_VOTER.disk,
            term=1,
            election_term=2,
            granted=True,
            preliminary=True,
        )
        core.receive(_VOTER.vm, granted)
        core.receive(_VOTER.vm, self._request(last_index=2))
        self.assertIs(core.state.role, Role.CANDIDATE)

    def _request(self, last_index: int) -> VoteRequest:
        return VoteRequest(
            source_disk=_VOTER.disk,
            destination_disk=_SELF.disk,
            term=2,
            last_index=last_index,
            last_term=1,
            preliminary=True,
        )


class CommitTest(unittest.TestCase):
    """Guards against commits that a later leader can undo."""

    def test_entry_of_an_earlier_term(self) -> None:
        """An earlier term's entry is committed only with one of this term."""
        core = _leader()
        _acknowledge(core, _VOTER, 2)
        self.assertEqual(core.state.commit_index, 0)
        _acknowledge(core, _VOTER, 3)
        self.assertEqual(core.state.commit_index, 3)

    def test_acknowledgement_of_a_non_voter(self) -> None:
        """Acknowledgements of disks outside the voter set do not count."""
        core = _leader()
        _acknowledge(core, _LEARNER, 3)
        self.assertEqual(core.state.commit_index, 0)

    def test_learner_catches_up_first(self) -> None:
        """An old disk is removed once the new one has all committed entries."""
        core = _leader()
        _acknowledge(core, _VOTER, 3)
        core.receive(_LEARNER.vm, JoinRequest(_LEARNER.disk, founding=False))
        core.take_effects()
        for match_index, voters in ((2, _VOTERS), (3, _VOTERS[:2])):
            _acknowledge(core, _LEARNER, match_index)
            configuration = core.state.log.configuration
            self.assertEqual(configuration.voters, voters)

    def test_learner_of_a_busy_log(self) -> None:
        """Guards against a disk that never replaces a lost one.

        It is farther from the leader than the other voter, so each of its
        acknowledgements lacks a command that is committed already.
        """
        core = _leader()
        _acknowledge(core, _VOTER, 3)
        core.receive(_LEARNER.vm, JoinRequest(_LEARNER.disk, founding=False))
        _sync(core)
        for index in range(4, 8):
            sent_at = core.state.now
            core.tick(core.state.now + timedelta(milliseconds=10))
            core.propose(Command(b'busy'))
            _sync(core)
            _acknowledge(core, _VOTER, index)
            self.assertEqual(core.state.commit_index, index)
            _acknowledge(core, _LEARNER, index - 1, sent_at)
        self.assertNotIn(_VOTERS[2], core.state.log.configuration.voters)

    def test_learner_that_falls_behind(self) -> None:
        """Guards against a voter that lacks most of the log.

        A learner keeps up, is away while the leader has no voter change to
        make, and comes back.
        """
        core = _leader()
        _acknowledge(core, _VOTER, 3)
        core.receive(_LEARNER.vm, JoinRequest(_LEARNER.disk, founding=False))
        core.take_effects()
        # An uncommitted entry of members keeps voter changes from starting.
        core.change_members(_MEMBERS)
        _sync(core)
        _acknowledge(core, _LEARNER, 3)
        for number in range(15):
            core.tick(core.state.now + HEARTBEAT_INTERVAL)
            core.propose(Command(b'%d' % number))
            _sync(core)
            _acknowledge(core, _VOTER, 3)
        _acknowledge(core, _VOTER, core.state.log.last_index)
        core.tick(core.state.now + HEARTBEAT_INTERVAL * 2)
        _acknowledge(core, _LEARNER, 3)
        self.assertEqual(core.state.log.configuration.voters, _VOTERS)

    def test_learner_with_a_slow_disk(self) -> None:
        """Guards against a learner that is never taken for caught up.

        Its answers name the newest message, while its disk is one write late.
        """
        core = _leader()
        _acknowledge(core, _VOTER, 3)
        core.receive(_LEARNER.vm, JoinRequest(_LEARNER.disk, founding=False))
        for index in range(4, 40):
            core.tick(core.state.now + timedelta(milliseconds=10))
            core.propose(Command(b'busy'))
            _sync(core)
            _acknowledge(core, _VOTER, index)
            _acknowledge(core, _LEARNER, max(3, index - 3))
        self.assertNotIn(_VOTERS[2], core.state.log.configuration.voters)

    def test_empty_learner_of_a_new_leader(self) -> None:
        """Guards against an empty disk that becomes a voter without the log.

        A leader that has started again knows of no commit at first.
        """
        core = _leader()
        core.receive(_LEARNER.vm, JoinRequest(_LEARNER.disk, founding=False))
        core.take_effects()
        _acknowledge(core, _LEARNER, 0)
        _acknowledge(core, _VOTER, 3)
        _acknowledge(core, _VOTER, 3)
        self.assertEqual(core.state.log.configuration.voters, _VOTERS)

    def test_change_waits_for_commit_in_own_term(self) -> None:
        """No voter change starts before an entry of this term is committed."""
        core = _leader()
        self.assertTrue(core.change_members(_MEMBERS[:2]).is_err())
        _acknowledge(core, _VOTER, 3)
        self.assertTrue(core.change_members(_MEMBERS[:2]).is_ok())
        self.assertTrue(core.change_members(_MEMBERS).is_err())
