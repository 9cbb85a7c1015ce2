"""Protocol core of the replicated log, without I/O."""

import random
from collections.abc import Sequence
from datetime import timedelta

from plantainstand_core import DiskId, VmId
from result import Err, Ok, Result

from plantainstand_consensus._effects import Effects, Outbox, WriteSnapshot
from plantainstand_consensus._election import Election
from plantainstand_consensus._entries import (
    Body,
    Command,
    Configuration,
    HardState,
    Node,
    Snapshot,
)
from plantainstand_consensus._following import Following
from plantainstand_consensus._joining import Joining
from plantainstand_consensus._leading import Leadership
from plantainstand_consensus._limits import LogLimits
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
    TooLong,
)
from plantainstand_consensus._state import CoreState, Role

MAX_COMMITTED_PER_BATCH = 512
"""Limits the time for which the state machine delays heartbeats."""

MAX_COMMITTED_BYTES_PER_BATCH = 1024 * 1024
"""Limits the same for long commands; one is always applied."""

MAX_UNCOMMITTED_ENTRIES = 16384
"""Limits the leader's memory while a majority is slow or unreachable."""


class ReplicaCore:
    """Protocol state of one replica.

    The caller passes in time, messages and finished writes, and executes what
    :meth:`take_effects` returns; see :class:`Effects`.
    """

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
        limits: LogLimits | None = None,
    ):
        """Continue from the stored log, term and vote.

        ``peers`` are VMs that get join requests, besides the members that the
        log names.
        """
        snapshot_index = log.snapshot.index if log.snapshot else 0
        self._state = CoreState(
            node=node,
            log=log,
            outbox=Outbox(log.last_index),
            random_source=random_source,
            hard_state=hard_state,
            now=now,
            limits=limits or LogLimits(),
            commit_index=snapshot_index,
            delivered_index=snapshot_index,
        )
        self._election = Election(self._state)
        self._following = Following(self._state)
        self._joining = Joining(self._state, peers, founding_members)
        self._leadership: Leadership | None = None

    @property
    def state(self) -> CoreState:
        """State of the replica, for reading only."""
        return self._state

    @property
    def leadership(self) -> Leadership | None:
        """State of the leader, while this replica leads."""
        leading = self._state.role == Role.LEADER
        return self._leadership if leading else None

    def tick(self, now: timedelta) -> None:
        """Advance the time; call this several times per heartbeat interval."""
        self._state.now = max(now, self._state.now)
        if self.leadership is None:
            self._joining.tick()
            self._election.tick()
            self._start_leadership()
        else:
            self.leadership.tick()

    def receive(self, source: VmId, message: Message) -> None:
        """Process a message from another replica."""
        match message:
            case AppendRequest():
                self._following.on_append(source, message)
            case AppendReply() | SnapshotReply():
                if self.leadership is not None:
                    self.leadership.on_reply(source, message)
            case SnapshotChunk():
                self._following.on_chunk(source, message)
            case VoteRequest():
                self._add_learner(source, message.source_disk)
                self._election.on_request(source, message)
            case VoteReply():
                self._election.on_reply(source, message)
                self._start_leadership()
            case JoinRequest():
                self._add_learner(source, message.source_disk)
                self._joining.on_request(source, message)
            case JoinReply():
                self._joining.on_reply(source, message)

    def propose(self, body: Body) -> Result[int, ProposeProblem]:
        """Append an entry in the current term and return its index."""
        leadership = self.leadership
        if leadership is None or not leadership.accepts_requests:
            return Err(NotLeader(self._leader_hint()))
        problem = self._size_problem(body)
        if problem is not None:
            return Err(problem)
        return Ok(leadership.append(body))

    def change_members(
        self,
        members: Sequence[VmId],
    ) -> Result[int, ProposeProblem]:
        """Set which VMs are to be voters.

        The leader then adds and removes voters, one committed change at a
        time, once the new VMs have sent join requests and have caught up.
        """
        if (
            self.leadership is not None
            and not self.leadership.allows_voter_change
        ):
            return Err(ChangePending())
        current = self._state.log.configuration
        return self.propose(
            Configuration(tuple(members), current.voters, current.formed),
        )

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Set the VMs that get join requests while no leader sends the log."""
        self._joining.replace_peers(peers)

    def record_synced(self, sequence: int) -> None:
        """Record that the writes of all batches through one are durable."""
        self._state.outbox.record_synced(sequence)
        if self.leadership is None:
            self._following.after_sync()
        else:
            self.leadership.advance()

    def compact(self, payload: bytes, retained: int) -> None:
        """Store a snapshot of the state machine and compact the log.

        ``payload`` includes all entries that were returned to be applied.
        Up to ``retained`` entries before the snapshot are kept for replicas
        that are slightly behind, within the limit on their bytes.
        """
        state = self._state
        index = state.delivered_index
        term = state.log.term_at(index)
        if term is None:
            return
        snapshot = Snapshot(
            index,
            term,
            state.log.configuration_at(index),
            payload,
        )
        base_index = state.log.first_kept(
            index, retained, state.limits.retained_bytes
        )
        state.log.compact(snapshot, base_index)
        state.outbox.write(
            WriteSnapshot(snapshot, base_index, replaces_log=False),
        )

    def take_effects(self) -> Effects:
        """Return the effects since the last call."""
        state = self._state
        if self.leadership is not None:
            self.leadership.flush()
        effects = state.outbox.take_batch(state.log.last_index)
        effects.restore = self._following.installed_snapshot
        self._following.installed_snapshot = None
        first = state.delivered_index + 1
        count = state.commit_index - state.delivered_index
        if count:
            effects.committed = state.log.entries(
                first,
                min(count, MAX_COMMITTED_PER_BATCH),
                MAX_COMMITTED_BYTES_PER_BATCH,
            )
            state.delivered_index += len(effects.committed)
        return effects

    def _size_problem(self, body: Body) -> Overloaded | TooLong | None:
        state = self._state
        log = state.log
        limit = state.limits.entry_bytes
        if isinstance(body, Command) and len(body.payload) > limit:
            return TooLong(len(body.payload), limit)
        # While the own disk hangs, other voters may commit without it.
        settled = min(state.commit_index, state.outbox.durable_index)
        waiting_bytes = log.size_between(settled, log.last_index)
        if (
            log.last_index - settled >= MAX_UNCOMMITTED_ENTRIES
            or waiting_bytes > state.limits.uncommitted_bytes
        ):
            return Overloaded()
        return None

    def _start_leadership(self) -> None:
        if self._state.role == Role.LEADER and self._has_new_term():
            self._leadership = Leadership(self._state)

    def _has_new_term(self) -> bool:
        leadership = self._leadership
        return leadership is None or leadership.term != self._state.term

    def _add_learner(self, source: VmId, disk: DiskId) -> None:
        if self.leadership is not None:
            self.leadership.replicas.add_learner(Node(source, disk))

    def _leader_hint(self) -> VmId | None:
        return None if self.leadership else self._state.leader
