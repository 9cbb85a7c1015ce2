"""State that the parts of the core share."""

import random
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum

from plantainstand_core import VmId

from plantainstand_consensus._effects import Outbox, WriteHardState
from plantainstand_consensus._entries import HardState, Node
from plantainstand_consensus._log import Log

HEARTBEAT_INTERVAL = timedelta(milliseconds=100)
ELECTION_TIMEOUT_MIN = HEARTBEAT_INTERVAL * 5
ELECTION_TIMEOUT_MAX = ELECTION_TIMEOUT_MIN * 2

FIRST_ELECTION_TIMEOUT_MIN = HEARTBEAT_INTERVAL * 2
FIRST_ELECTION_TIMEOUT_MAX = HEARTBEAT_INTERVAL * 5
"""Time after a start until a replica that hears no leader stands for election.
A leader that lives is heard within two heartbeats, and voters that hear it
refuse; when all have restarted, every request waits for this election."""

QUORUM_CONTACT_TIMEOUT = timedelta(seconds=1)
"""A leader without answers of a majority for this long steps down."""


class Role(Enum):
    """What a replica currently does."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'
    LEARNER = 'learner'
    """Receives the log, but is not in the voter set that it knows."""


class InvariantError(Exception):
    """The protocol's guarantees are broken; the process must stop."""


@dataclass
class CoreState:
    """Persistent and volatile state of a replica."""

    node: Node
    log: Log
    outbox: Outbox
    random_source: random.Random
    hard_state: HardState
    now: timedelta
    commit_index: int = 0
    handed_out: int = 0
    """Last entry that was given out to be applied."""

    role: Role = Role.FOLLOWER
    leader: VmId | None = None
    leader_contact: timedelta | None = None
    """When the leader's last message arrived."""

    election_deadline: timedelta = field(init=False)

    def __post_init__(self) -> None:
        """Wait for a living leader before standing for election."""
        self.election_deadline = self.now + self._random_duration(
            FIRST_ELECTION_TIMEOUT_MIN,
            FIRST_ELECTION_TIMEOUT_MAX,
        )

    @property
    def term(self) -> int:
        """Newest term that the replica has seen."""
        return self.hard_state.term

    @property
    def is_voter(self) -> bool:
        """Whether this disk is in the newest voter set of its own log."""
        return self.node in self.log.configuration.voters

    @property
    def is_blank(self) -> bool:
        """Whether this disk has never been part of a cluster."""
        return self.log.is_blank and not self.term

    @property
    def hears_leader(self) -> bool:
        """Whether a leader was heard within the shortest timeout."""
        if self.leader is None or self.leader_contact is None:
            return False
        return self.now - self.leader_contact < ELECTION_TIMEOUT_MIN

    def reset_election_deadline(self) -> None:
        """Draw a new election timeout."""
        self.election_deadline = self.now + self._random_duration(
            ELECTION_TIMEOUT_MIN,
            ELECTION_TIMEOUT_MAX,
        )

    def store_hard_state(self, hard_state: HardState) -> None:
        """Set term and vote, and have them written."""
        if hard_state != self.hard_state:
            self.hard_state = hard_state
            self.outbox.write(WriteHardState(hard_state))

    def become_follower(self, term: int, leader: VmId | None) -> None:
        """Follow ``leader``, if known, in ``term``."""
        if term > self.term:
            self.store_hard_state(HardState(term))
        self.role = Role.FOLLOWER
        self.leader = leader

    def heard_leader(self, term: int, leader: VmId) -> None:
        """Note a message of the leader of a term that is not past."""
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
