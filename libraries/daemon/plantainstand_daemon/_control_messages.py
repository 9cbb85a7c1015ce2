"""Conversion of the control service's messages from and to domain types."""

from collections.abc import Sequence

from plantainstand_consensus import (
    CommittedEntry,
    NotLeader,
    Overloaded,
    ProposeProblem,
    Stopped,
    StorageFailed,
    TooLong,
)
from plantainstand_core import Incarnation, LogIndex, ResourceId, VmId
from plantainstand_protocol.steering_pb2 import (
    FollowCommand,
    FollowEntries,
    FollowItem,
    HeartbeatRequest,
    ProposeResult,
)
from plantainstand_protocol.steering_pb2 import (
    VmIncarnation as WireVm,
)
from plantainstand_shares import Heartbeat, ReleasedShare, VmIncarnation

from plantainstand_daemon._control_state import CommandKind, command_kind


def encode_vm(key: VmIncarnation) -> WireVm:
    """Convert an incarnation to its message."""
    return WireVm(vm=key.vm, incarnation=key.incarnation)


def decode_vm(message: WireVm) -> VmIncarnation:
    """Convert a message to an incarnation."""
    return VmIncarnation(VmId(message.vm), Incarnation(message.incarnation))


def decode_heartbeat(request: HeartbeatRequest) -> Heartbeat:
    """Convert a heartbeat request to a heartbeat."""
    return Heartbeat(
        decode_vm(request.sender),
        LogIndex(request.applied_index),
        tuple(
            ReleasedShare(
                ResourceId(released.resource),
                LogIndex(released.version),
            )
            for released in request.released
        ),
        frozenset(decode_vm(key) for key in request.revoked),
        request.drained,
    )


def entries_item(
    entries: Sequence[CommittedEntry],
    through: LogIndex,
) -> FollowItem:
    """Build the message with a follower's commands, without request records."""
    return FollowItem(
        entries=FollowEntries(
            through_index=through,
            commands=[
                FollowCommand(index=entry.index, command=entry.payload)
                for entry in entries
                if command_kind(entry.payload) is not CommandKind.RECORDS
            ],
        ),
    )


def proposal_status(
    problem: ProposeProblem,
) -> 'ProposeResult.Status.ValueType':
    """Return the status for a proposal that has no outcome."""
    match problem:
        # Like a follower, an overloaded leader has not appended the command,
        # and no leader appends one that is too long.
        case NotLeader() | Overloaded() | TooLong():
            return ProposeResult.NOT_LEADER
        case Stopped():
            return ProposeResult.STOPPED
        case StorageFailed():
            return ProposeResult.STORAGE_FAILED
    return ProposeResult.TIMED_OUT
