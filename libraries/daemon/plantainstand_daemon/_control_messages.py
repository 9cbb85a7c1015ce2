"""Messages of the control service and what they mean."""

from collections.abc import Sequence

from plantainstand_consensus import (
    CommittedEntry,
    NotLeader,
    Overloaded,
    ProposeProblem,
    Stopped,
    StorageFailed,
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
    """Build the message form of an incarnation."""
    return WireVm(vm=key.vm, incarnation=key.incarnation)


def decode_vm(message: WireVm) -> VmIncarnation:
    """Read an incarnation."""
    return VmIncarnation(VmId(message.vm), Incarnation(message.incarnation))


def decode_heartbeat(request: HeartbeatRequest) -> Heartbeat:
    """Read a heartbeat."""
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
    """Build the message with commands for a follower, without records."""
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
    """Return what a proposer is told about a proposal without outcome."""
    match problem:
        # An overloaded leader has not put the command into its log either.
        case NotLeader() | Overloaded():
            return ProposeResult.NOT_LEADER
        case Stopped():
            return ProposeResult.STOPPED
        case StorageFailed():
            return ProposeResult.STORAGE_FAILED
    return ProposeResult.TIMED_OUT
