"""Message types and their MessagePack encoding."""

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

from plantainstand_fleet._allotments import Allotment, AllotmentUse
from plantainstand_fleet._loads import TargetLoad
from plantainstand_fleet._sharing import SharingRegion


class VmRole(Enum):
    """Role of a VM's process."""

    ENTRY = 'entry'
    CONTROL = 'control'


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    """Base of all messages: an array that starts with the class name."""


class Hello(_Message, frozen=True):
    """First message on a link."""

    role: VmRole
    vm: VmId
    """IP address of the sender, which is its id."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    desired_index: int
    """Newest log index whose changes the sender has applied."""


class LimitStatement(msgspec.Struct, frozen=True, array_like=True):
    """What a target stated last on the requests that it takes."""

    target: TargetId
    started_ms: int
    """Start of the target's process; a restarted process states anew."""

    rate: float | None
    """Requests per second from all entry VMs together; None if the target no
    longer states a limit."""

    age_seconds: float
    """Time since the target's answer arrived at an entry VM."""

    leaving: bool = False
    """Whether the target said that it leaves; never taken back."""


class EntryReport(_Message, frozen=True):
    """An entry VM's report on itself, sent twice a second."""

    client_address: str
    """Address on which clients connect, ``host:port``."""

    availability_zone: AvailabilityZoneId
    region: RegionId
    ready: bool
    """Whether the directory may send clients to the VM."""

    limits: tuple[LimitStatement, ...] = ()
    """Limits in the answers that the VM received since its last report."""

    counted_digest: int = 0
    """Digest of the VMs that the VM counts as sharing limits; 0 for none."""

    loads: tuple[TargetLoad, ...] | None = None
    """Newest loads in the responses that the VM received since its last report.
    None if its process is of a build that does not know :class:`LoadUpdate`, or
    if a control VM passes the report on."""


class TargetEntry(msgspec.Struct, frozen=True, array_like=True):
    """A target on the platform's list."""

    target: TargetId
    service: ServiceId
    address: str
    availability_zone: AvailabilityZoneId
    region: RegionId
    slots: int
    draining: bool
    started_ms: int
    """Start of the target's process, Unix milliseconds; 0 if not stated."""

    cold_seconds: float
    """Remaining cold time when the list was read."""


class TargetUpdate(_Message, frozen=True):
    """Difference between two readings of the platform's list."""

    full: bool
    """Whether all targets that are not named have been removed."""

    updated: tuple[TargetEntry, ...]
    removed: tuple[TargetId, ...]
    age_seconds: float
    """Time since the list was read."""


class DesiredUpdate(_Message, frozen=True):
    """Items that changed after the receiver's log index."""

    items: tuple[Item, ...]
    evacuations: tuple[EvacuationItem, ...]
    complete_through: int
    """Log index up to which the receiver is complete with this update."""

    lists_all: bool = False
    """Whether this update is one of those that list all items; others were
    removed."""

    is_last: bool = True
    """Whether no further one of these updates follows."""


class EntryChanges(_Message, frozen=True):
    """Changed reports of entry VMs, sent from one control VM to the others."""

    full: bool
    """Whether all entry VMs that are not named have been removed."""

    updated: tuple[tuple[VmId, EntryReport], ...]
    removed: tuple[VmId, ...]


class ControlVm(msgspec.Struct, frozen=True, array_like=True):
    """A control VM and its location."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    region: RegionId


class Roster(_Message, frozen=True):
    """Control VMs and number of entry VMs that a control VM knows."""

    controls: tuple[ControlVm, ...]
    entry_count: int
    """Number of entry VMs that report to any control VM."""

    entry_position: int | None = None
    """Position of the receiver among these, from 0; None if it has not yet
    reported or is a control VM. Limits that cannot be split evenly are split by
    it."""

    region_entry_count: int | None = None
    """Number of entry VMs in the receiver's region."""

    region_entry_position: int | None = None
    """Position of the receiver among these, from 0."""

    limits: tuple[LimitStatement, ...] = ()
    """For an entry VM all limits that are known; for a control VM those that
    entry VMs have reported to the sender itself."""

    sharing: tuple[SharingRegion, ...] | None = None
    """Entry VMs that share limits, for an entry VM; None if they are those of
    the last roster on the link."""

    is_authoritative: bool = False
    """Whether the sender is in contact with the leader of the log."""

    receiver_is_settled: bool = False
    """Whether the sender has counted the receiver for so long that each VM
    which may use its part of a limit counts it too."""


class ReplicaMessage(_Message, frozen=True):
    """A message between replicas of the log."""

    payload: bytes


class AccountQuestion(_Message, frozen=True):
    """Asks the leader for the newest change of accounts and for allotments."""

    number: int
    """Increases with each question of a process."""

    incarnation: int
    """Identifies the process of the entry VM that asks."""

    applied: int = 0
    """Number of the question whose answer was applied last."""

    uses: tuple[AllotmentUse, ...] = ()
    vm: VmId = VmId('')
    """Entry VM that asks, if a control VM forwards the question."""


class AccountAnswer(_Message, frozen=True):
    """The leader's answer to an :class:`AccountQuestion`."""

    number: int
    term: int
    """Term of the leader."""

    accounts_index: int
    """Log index of the newest change of an account, as of a read barrier that
    began after the leader had the question."""

    allotments: tuple[Allotment, ...] = ()
    """All allotments of the VM; it has none of accounts that are missing."""

    vm: VmId = VmId('')
    """Entry VM that asked, if a control VM is to forward the answer."""

    incarnation: int = 0
    """Process that asked."""


class LoadUpdate(_Message, frozen=True):
    """Loads that changed, sent by the leader to entry VMs that report loads."""

    loads: tuple[TargetLoad, ...]


FleetMessage = (
    Hello
    | EntryReport
    | EntryChanges
    | TargetUpdate
    | DesiredUpdate
    | Roster
    | ReplicaMessage
    | AccountQuestion
    | AccountAnswer
    | LoadUpdate
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[FleetMessage] = msgspec.msgpack.Decoder(
    FleetMessage,
)


def encode_fleet_message(message: FleetMessage) -> bytes:
    """Encode a message as one frame of a link."""
    return _ENCODER.encode(message)


def decode_fleet_message(frame: bytes) -> Result[FleetMessage, str]:
    """Decode a frame; return a description of the fault if it is malformed."""
    try:
        return Ok(_DECODER.decode(frame))
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        return Err(str(problem))
