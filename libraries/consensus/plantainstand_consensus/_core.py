"""The replicated log's protocol without input or output."""

import random
from collections.abc import Sequence
from datetime import timedelta

from plantainstand_core import DiskId, VmId
from result import Err, Ok, Result

from plantainstand_consensus._effects import Effects, Outbox, WriteSnapshot
from plantainstand_consensus._election import Election
from plantainstand_consensus._entries import (
    Body,
    Configuration,
    HardState,
    Node,
    Snapshot,
)
from plantainstand_consensus._following import Following
from plantainstand_consensus._joining import Joining
from plantainstand_consensus._leading import Leadership
from plantainstand_consensus._log import Log
from plantainstand_consensus._messages import (
    AppendReply,
    AppendRequest,
    JoinReply,
    JoinRequest,
    Message,
    SnapshotChunk,
    SnapshotReply,
    VoteReply,
    VoteRequest,
)
from plantainstand_consensus._problems import (
    ChangePending,
    NotLeader,
    Overloaded,
    ProposeProblem,
)
from plantainstand_consensus._state import CoreState, Role

MAX_COMMITTED_PER_BATCH = 512
"""Bounds the time that the state machine takes between two heartbeats."""

MAX_UNCOMMITTED_ENTRIES = 16384
"""Bounds the leader's memory while a majority is slow or gone."""


class ReplicaCore:
    """One replica; see :class:`Effects` for how to carry out its effects."""

    def __init__(
        self,
        node: Node,
        log: Log,
        hard_state: HardState,
        *,
        peers: Sequence[VmId],
        founding_members: Sequence[VmId],
        random_source: random.Random,
        now: timedelta,
    ):
        """Continue from what is on disk.

        ``peers`` are the VMs to ask when the log names none yet.
        """
        start = log.snapshot.index if log.snapshot else 0
        self._state = CoreState(
            node=node,
            log=log,
            outbox=Outbox(log.last_index),
            random_source=random_source,
            hard_state=hard_state,
            now=now,
            commit_index=start,
            handed_out=start,
        )
        self._election = Election(self._state)
        self._following = Following(self._state)
        self._joining = Joining(self._state, peers, founding_members)
        self._leadership: Leadership | None = None

    @property
    def state(self) -> CoreState:
        """State of the replica, to be read only."""
        return self._state

    @property
    def leadership(self) -> Leadership | None:
        """The leader's part, while this replica leads."""
        leading = self._state.role == Role.LEADER
        return self._leadership if leading else None

    def tick(self, now: timedelta) -> None:
        """Let time pass; to be called several times per heartbeat."""
        self._state.now = max(now, self._state.now)
        if self.leadership is None:
            self._joining.tick()
            self._election.tick()
            self._take_leadership()
        else:
            self.leadership.tick()

    def receive(self, source: VmId, message: Message) -> None:
        """Take a message of another replica."""
        match message:
            case AppendRequest():
                self._following.on_append(source, message)
            case AppendReply() | SnapshotReply():
                if self.leadership is not None:
                    self.leadership.on_reply(source, message)
            case SnapshotChunk():
                self._following.on_chunk(source, message)
            case VoteRequest():
                self._admit(source, message.source_disk)
                self._election.on_request(source, message)
            case VoteReply():
                self._election.on_reply(source, message)
                self._take_leadership()
            case JoinRequest():
                self._admit(source, message.source_disk)
                self._joining.on_request(source, message)
            case JoinReply():
                self._joining.on_reply(source, message)

    def propose(self, payload: Body) -> Result[int, ProposeProblem]:
        """Append an entry and return its index; its term is the current."""
        leadership = self.leadership
        if leadership is None or not leadership.may_serve:
            return Err(NotLeader(self._leader_hint()))
        uncommitted = self._state.log.last_index - self._state.commit_index
        if uncommitted >= MAX_UNCOMMITTED_ENTRIES:
            return Err(Overloaded())
        return Ok(leadership.append(payload))

    def change_members(
        self,
        members: Sequence[VmId],
    ) -> Result[int, ProposeProblem]:
        """Set which VMs are meant to be voters.

        The leader then adds and removes voters, one committed change at a
        time, as the new VMs ask to join and have caught up.
        """
        if self.leadership is not None and not self.leadership.change_allowed:
            return Err(ChangePending())
        current = self._state.log.configuration
        return self.propose(
            Configuration(tuple(members), current.voters, current.formed),
        )

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Set the VMs to ask while this disk is no voter."""
        self._joining.replace_peers(peers)

    def synced(self, sequence: int) -> None:
        """Note that the writes through a batch are durable."""
        self._state.outbox.synced(sequence)
        if self.leadership is None:
            self._following.after_sync()
        else:
            self.leadership.advance()

    def compact(self, payload: bytes, retained: int) -> None:
        """Take a state machine snapshot of everything handed out so far.

        ``retained`` entries before it are kept for replicas that are only a
        little behind.
        """
        state = self._state
        index = state.handed_out
        term = state.log.term_at(index)
        if term is None:
            return
        snapshot = Snapshot(
            index,
            term,
            state.log.configuration_at(index),
            payload,
        )
        base_index = max(state.log.base_index, index - retained)
        state.log.compact(snapshot, base_index)
        state.outbox.write(
            WriteSnapshot(snapshot, base_index, replaces_log=False),
        )

    def take_effects(self) -> Effects:
        """Return what is to be done since the last call."""
        state = self._state
        if self.leadership is not None:
            self.leadership.flush()
        effects = state.outbox.take(state.log.last_index)
        effects.restore = self._following.installed
        self._following.installed = None
        first = state.handed_out + 1
        count = state.commit_index - state.handed_out
        if count:
            effects.committed = state.log.entries(
                first,
                min(count, MAX_COMMITTED_PER_BATCH),
            )
            state.handed_out += len(effects.committed)
        return effects

    def _take_leadership(self) -> None:
        if self._state.role == Role.LEADER and self._has_new_term():
            self._leadership = Leadership(self._state)

    def _has_new_term(self) -> bool:
        leadership = self._leadership
        return leadership is None or leadership.term != self._state.term

    def _admit(self, source: VmId, disk: DiskId) -> None:
        if self.leadership is not None:
            self.leadership.join(Node(source, disk))

    def _leader_hint(self) -> VmId | None:
        return None if self.leadership else self._state.leader
