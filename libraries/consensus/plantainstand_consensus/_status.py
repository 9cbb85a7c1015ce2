"""Describing a replica to its embedder."""

from datetime import timedelta

from plantainstand_core import LogIndex, Term
from plantainstand_storage import StorageProblem

from plantainstand_consensus._core import ReplicaCore
from plantainstand_consensus._interfaces import ReplicaStatus
from plantainstand_consensus._state import Role


def describe_status(
    core: ReplicaCore,
    now: timedelta,
    problem: StorageProblem | None,
    *,
    running: bool,
) -> ReplicaStatus:
    """Return the status at ``now``."""
    state = core.state
    leadership = core.leadership
    configuration = state.log.configuration
    contact = leadership is not None and leadership.has_contact(now)
    learner = leadership is None and not state.is_voter
    return ReplicaStatus(
        node=state.node,
        role=Role.LEARNER if learner else state.role,
        term=Term(state.term),
        leader=state.leader,
        last_index=LogIndex(state.log.last_index),
        commit_index=LogIndex(state.commit_index),
        applied_index=LogIndex(state.handed_out),
        has_quorum_contact=running and contact,
        formed=configuration.formed,
        members=configuration.members,
        voters=configuration.voters,
        problem=problem,
    )
