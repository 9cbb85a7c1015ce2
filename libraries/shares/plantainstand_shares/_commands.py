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
"""Whole for counted resources, per second for rates."""


class ShareUnit(Enum):
    """How a resource is counted."""

    COUNT = 'count'
    """In use until released, whole numbers: slots, requests in flight."""

    RATE = 'rate'
    """Used up per second: bytes, requests."""


class Command(msgspec.Struct, frozen=True, tag_field='kind'):
    """Base of every command."""


class RegisterVm(Command, frozen=True, tag='register_vm'):
    """A process of a VM starts under a new incarnation."""

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
    """A VM gets no more shares; it goes on with those it has until released."""

    vm: VmId
    incarnation: Incarnation


class DepartVm(Command, frozen=True, tag='depart_vm'):
    """A VM has nothing in flight and starts nothing more."""

    vm: VmId
    incarnation: Incarnation


class ReclaimVm(Command, frozen=True, tag='reclaim_vm'):
    """The leader knows that an incarnation uses none of its shares."""

    vm: VmId
    incarnation: Incarnation
    decided_at: LogIndex
    """Index of the view that the leader's decision is based on."""


class ShareGrant(msgspec.Struct, frozen=True, array_like=True):
    """New share of one incarnation."""

    vm: VmId
    incarnation: Incarnation
    share: Amount


class ShareChange(msgspec.Struct, frozen=True):
    """New shares of one resource; shares not named stay as they are."""

    resource: ResourceId
    unit: ShareUnit
    capacity: Amount
    grants: tuple[ShareGrant, ...]


class SetShares(Command, frozen=True, tag='set_shares'):
    """A step of the planner."""

    changes: tuple[ShareChange, ...]


class ConfirmRelease(Command, frozen=True, tag='confirm_release'):
    """A VM stays at or below the share of ``version`` from now on."""

    vm: VmId
    incarnation: Incarnation
    resource: ResourceId
    version: LogIndex


class ConfirmMembers(Command, frozen=True, tag='confirm_members'):
    """A VM has applied the log up to ``version``.

    Proposed once after each change of its zone's members. A leader that has
    never heard from a lost VM then knows which members it may count on.
    """

    vm: VmId
    incarnation: Incarnation
    version: LogIndex


class SetLongestDeadline(Command, frozen=True, tag='set_longest_deadline'):
    """Bound of the time that dispatched work may take."""

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
    """Decode :func:`encode_command`'s output; the error says what is wrong."""
    try:
        return Ok(_DECODER.decode(payload))
    except msgspec.MsgspecError as problem:
        return Err(str(problem))
