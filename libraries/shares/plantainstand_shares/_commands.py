"""Commands of the share state machine and their encoding."""

from enum import Enum
from typing import TypeAlias

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    LogIndex,
    RegionId,
    ResourceId,
    VmId,
)
from result import Err, Ok, Result

Amount: TypeAlias = int | float
"""A whole number for counts; an amount per second for rates."""


class ShareUnit(Enum):
    """How use of a resource is measured."""

    COUNT = 'count'
    """A whole number in use until released: slots, requests in flight."""

    RATE = 'rate'
    """An amount per second: bytes, requests."""


class Command(msgspec.Struct, frozen=True, tag_field='kind'):
    """Base of every command."""


class RegisterVm(Command, frozen=True, tag='register_vm'):
    """Register a process of a VM under a new incarnation."""

    vm: VmId
    incarnation: Incarnation
    """Greater than that of every earlier process of the VM."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    host: str
    """IP address."""

    http_port: int
    rpc_port: int


class MarkLeaving(Command, frozen=True, tag='mark_leaving'):
    """Mark a VM as leaving: it gets no new shares, but may use its own."""

    vm: VmId
    incarnation: Incarnation


class DepartVm(Command, frozen=True, tag='depart_vm'):
    """End an incarnation that has no work in flight and starts no more."""

    vm: VmId
    incarnation: Incarnation


class ReclaimVm(Command, frozen=True, tag='reclaim_vm'):
    """End a lost incarnation, which certainly uses none of its shares."""

    vm: VmId
    incarnation: Incarnation
    decided_at: LogIndex
    """Log index of the view on which the leader based its decision."""


class ShareGrant(msgspec.Struct, frozen=True, array_like=True):
    """New share of one incarnation."""

    vm: VmId
    incarnation: Incarnation
    share: Amount


class ShareChange(msgspec.Struct, frozen=True):
    """New shares of one resource; shares without a grant do not change."""

    resource: ResourceId
    unit: ShareUnit
    capacity: Amount
    grants: tuple[ShareGrant, ...]


class SetShares(Command, frozen=True, tag='set_shares'):
    """Apply share changes of the planner."""

    changes: tuple[ShareChange, ...]


class ConfirmRelease(Command, frozen=True, tag='confirm_release'):
    """Confirm that a VM no longer exceeds the share of ``version``."""

    vm: VmId
    incarnation: Incarnation
    resource: ResourceId
    version: LogIndex


class ConfirmMembers(Command, frozen=True, tag='confirm_members'):
    """Confirm that a VM has applied the log up to ``version``.

    Proposed once after each change of the members of its zone. A leader that
    has received no heartbeat from a lost VM can then tell which members the
    VM may request support from.
    """

    vm: VmId
    incarnation: Incarnation
    version: LogIndex


class SetLongestDeadline(Command, frozen=True, tag='set_longest_deadline'):
    """Set the maximum deadline of dispatched work."""

    milliseconds: int


AnyCommand: TypeAlias = (
    RegisterVm
    | MarkLeaving
    | DepartVm
    | ReclaimVm
    | SetShares
    | ConfirmRelease
    | ConfirmMembers
    | SetLongestDeadline
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[AnyCommand] = msgspec.msgpack.Decoder(
    AnyCommand,
)


def encode_command(command: AnyCommand) -> bytes:
    """Encode a command as MessagePack."""
    return _ENCODER.encode(command)


def decode_command(payload: bytes) -> Result[AnyCommand, str]:
    """Decode the result of :func:`encode_command`, or return a message."""
    try:
        return Ok(_DECODER.decode(payload))
    except msgspec.MsgspecError as problem:
        return Err(str(problem))
