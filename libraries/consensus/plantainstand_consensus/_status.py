"""Status of a replica for its embedder."""

from datetime import timedelta

from plantainstand_core import LogIndex, Term
from plantainstand_storage import StorageProblem

from plantainstand_consensus._core import ReplicaCore
from plantainstand_consensus._entries import Node
from plantainstand_consensus._interfaces import LearnerStatus, ReplicaStatus
from plantainstand_consensus._leading import Leadership
from plantainstand_consensus._state import QUORUM_CONTACT_TIMEOUT, Role


def describe_status(
    core: ReplicaCore,
    now: timedelta,
    problem: StorageProblem | None,
    journal_bytes: int,
    *,
    running: bool,
) -> ReplicaStatus:
    """Return the status of a replica at the time ``now``."""
    state = core.state
    leadership = core.leadership
    configuration = state.log.configuration
    has_contact = leadership is not None and leadership.has_quorum_contact(now)
    snapshot = state.log.snapshot
    is_learner = leadership is None and not state.is_voter
    return ReplicaStatus(
        node=state.node,
        role=Role.LEARNER if is_learner else state.role,
        term=Term(state.term),
        leader=state.leader,
        last_index=LogIndex(state.log.last_index),
        commit_index=LogIndex(state.commit_index),
        applied_index=LogIndex(state.delivered_index),
        has_quorum_contact=running and has_contact,
        has_leader_contact=running
        and (has_contact or _hears_leader(core, now)),
        formed=configuration.formed,
        log_bytes=state.log.size_between(
            state.log.base_index, state.log.last_index
        ),
        snapshot_bytes=len(snapshot.payload) if snapshot else 0,
        journal_bytes=journal_bytes,
        members=configuration.members,
        voters=configuration.voters,
        silent_voters=_find_silent_voters(leadership, now),
        learners=_describe_learners(leadership, now),
        problem=problem,
    )


def _find_silent_voters(
    leadership: Leadership | None, now: timedelta
) -> tuple[Node, ...]:
    if leadership is None:
        return ()
    since = now - QUORUM_CONTACT_TIMEOUT
    return tuple(sorted(leadership.replicas.silent_voters(since)))


def _describe_learners(
    leadership: Leadership | None, now: timedelta
) -> tuple[LearnerStatus, ...]:
    if leadership is None:
        return ()
    missing_entries = leadership.replicas.missing_entries(
        now - QUORUM_CONTACT_TIMEOUT
    )
    return tuple(
        LearnerStatus(node, missing_entries[node])
        for node in sorted(missing_entries)
    )


def _hears_leader(core: ReplicaCore, now: timedelta) -> bool:
    state = core.state
    contact = state.leader_contact
    if core.leadership is not None or state.leader is None or contact is None:
        return False
    return now - contact < QUORUM_CONTACT_TIMEOUT
