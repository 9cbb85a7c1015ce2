"""Message types and their MessagePack form."""

from enum import Enum

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    TargetId,
    VmId,
)
from plantainstand_desired import EvacuationItem, Item
from result import Err, Ok, Result


class VmRole(Enum):
    """What a process does."""

    ENTRY = 'entry'
    CONTROL = 'control'


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Tagged with the name of its type."""


class Hello(_Message, frozen=True):
    """First message on a link."""

    role: VmRole
    vm: VmId
    """IP address of the sender, its identity in the fleet."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    desired_index: int
    """Newest log index whose changes the sender holds."""


class EntryReport(_Message, frozen=True):
    """What an entry VM says of itself, twice a second."""

    client_address: str
    """Where clients reach it."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    ready: bool
    """Whether clients may be sent to it."""


class TargetEntry(msgspec.Struct, frozen=True, array_like=True):
    """A target as the platform lists it."""

    target: TargetId
    service: ServiceId
    address: str
    availability_zone: AvailabilityZoneId
    region: RegionId
    slots: int
    draining: bool
    started_ms: int
    """Start of its process, Unix milliseconds; 0 if not stated."""

    cold_seconds: float
    """How much longer it is cold, at the time of the observation."""


class TargetUpdate(_Message, frozen=True):
    """Difference between two observations of the platform's list."""

    full: bool
    """Whether everything not named is gone."""

    updated: tuple[TargetEntry, ...]
    removed: tuple[TargetId, ...]
    age_seconds: float
    """Time since the observation."""


class DesiredUpdate(_Message, frozen=True):
    """Items that changed after what the receiver holds."""

    items: tuple[Item, ...]
    evacuations: tuple[EvacuationItem, ...]
    complete_through: int
    """Log index that the receiver is then complete up to."""


class EntryChanges(_Message, frozen=True):
    """Entry VMs that report to a control VM, told to the other ones."""

    full: bool
    """Whether every VM that is not named is gone."""

    updated: tuple[tuple[VmId, EntryReport], ...]
    removed: tuple[VmId, ...]


class ControlVm(msgspec.Struct, frozen=True, array_like=True):
    """A control VM, and where it is."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    region: RegionId


class Roster(_Message, frozen=True):
    """VMs that a control VM knows of."""

    controls: tuple[ControlVm, ...]
    entry_count: int
    """Entry VMs that report to any control VM."""


class ReplicaMessage(_Message, frozen=True):
    """A message of the replicated log."""

    payload: bytes


FleetMessage = (
    Hello
    | EntryReport
    | EntryChanges
    | TargetUpdate
    | DesiredUpdate
    | Roster
    | ReplicaMessage
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[FleetMessage] = msgspec.msgpack.Decoder(
    FleetMessage,
)


def encode_fleet_message(message: FleetMessage) -> bytes:
    """Return a message's form on a link."""
    return _ENCODER.encode(message)


def decode_fleet_message(frame: bytes) -> Result[FleetMessage, str]:
    """Read a frame; anything else is a problem, described in words."""
    try:
        return Ok(_DECODER.decode(frame))
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        return Err(str(problem))
