"""State that is shared by the components of the core."""

import random
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from plantainstand_core import VmId

from plantainstand_consensus._effects import Outbox, WriteHardState
from plantainstand_consensus._entries import HardState, Node
from plantainstand_consensus._limits import LogLimits
from plantainstand_consensus._log import Log

HEARTBEAT_INTERVAL = timedelta(milliseconds=100)
ELECTION_TIMEOUT_MIN = HEARTBEAT_INTERVAL * 5
ELECTION_TIMEOUT_MAX = ELECTION_TIMEOUT_MIN * 2

FIRST_ELECTION_TIMEOUT_MIN = HEARTBEAT_INTERVAL * 2
FIRST_ELECTION_TIMEOUT_MAX = HEARTBEAT_INTERVAL * 5
"""Longest time until the first election after the start of a replica. Short,
because every request waits for this election when all replicas have restarted.
It deposes no live leader: a message of the leader arrives within two heartbeat
intervals, and voters in contact with a leader refuse their vote."""

QUORUM_CONTACT_TIMEOUT = timedelta(seconds=1)
"""Time without answers from a majority after which a leader steps down."""


class Role(Enum):
    """Current role of a replica."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    LEARNER = 'learner'
    """Receives the log, but is not in the newest voter set of its log."""


class InvariantError(Exception):
    """A guarantee of the protocol is violated; the process must stop."""


@dataclass
class CoreState:
    """Persistent and volatile state of a replica."""

    node: Node
    log: Log
    outbox: Outbox
    random_source: random.Random
    hard_state: HardState
    now: timedelta
    limits: LogLimits = LogLimits()
    commit_index: int = 0
    delivered_index: int = 0
    """Last entry that was returned as an effect, to be applied."""

    role: Role = Role.FOLLOWER
    leader: VmId | None = None
    leader_contact: timedelta | None = None
    """Arrival time of the leader's last message."""

    election_deadline: timedelta = field(init=False)

    def __post_init__(self) -> None:
        """Set the first election deadline, which a live leader postpones."""
        self.election_deadline = self.now + self._random_duration(
            FIRST_ELECTION_TIMEOUT_MIN,
            FIRST_ELECTION_TIMEOUT_MAX,
        )

    @property
    def term(self) -> int:
        """Newest term that the replica knows."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this replica is in the newest voter set of its log."""
        return self.node in self.log.configuration.voters

    @property
    def is_blank(self) -> bool:
        """Whether this disk has never been part of a cluster."""
        return self.log.is_blank and not self.term

    @property
    def has_recent_leader(self) -> bool:
        """Whether a leader sent a message within ``ELECTION_TIMEOUT_MIN``."""
        if self.leader is None or self.leader_contact is None:
            return False
        return self.now - self.leader_contact < ELECTION_TIMEOUT_MIN

    def reset_election_deadline(self) -> None:
        """Set the election deadline to a new random timeout from now."""
        self.election_deadline = self.now + self._random_duration(
            ELECTION_TIMEOUT_MIN,
            ELECTION_TIMEOUT_MAX,
        )

    def store_hard_state(self, hard_state: HardState) -> None:
        """Set term and vote, and request their write if they changed."""
        if hard_state != self.hard_state:
            self.hard_state = hard_state
            self.outbox.write(WriteHardState(hard_state))

    def become_follower(self, term: int, leader: VmId | None) -> None:
        """Follow ``leader``, if known, in ``term``."""
        if term > self.term:
            self.store_hard_state(HardState(term))
        self.role = Role.FOLLOWER
        self.leader = leader

    def record_leader_contact(self, term: int, leader: VmId) -> None:
        """Follow the leader that sent a message of this or a newer term."""
        if self.role == Role.LEADER and term == self.term:
            raise InvariantError(f'two leaders in term {term}')
        self.become_follower(term, leader)
        self.leader_contact = self.now
        self.reset_election_deadline()

    def _random_duration(
        self,
        shortest: timedelta,
        longest: timedelta,
    ) -> timedelta:
        return shortest + (longest - shortest) * self.random_source.random()
