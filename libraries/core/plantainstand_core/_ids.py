"""Ids and enumerations shared by the libraries."""

from enum import Enum
from typing import NewType

VmId = NewType('VmId', str)
AvailabilityZoneId = NewType('AvailabilityZoneId', str)
RegionId = NewType('RegionId', str)
ServiceId = NewType('ServiceId', str)
TargetId = NewType('TargetId', str)
OwnerId = NewType('OwnerId', str)
EntryId = NewType('EntryId', str)
RequestId = NewType('RequestId', str)
OperationId = NewType('OperationId', str)
DiskId = NewType('DiskId', str)
ResourceId = NewType('ResourceId', str)

Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
Revision = NewType('Revision', int)
Incarnation = NewType('Incarnation', int)


class TrafficClass(Enum):
    """Priority class of a service; members are in order of priority."""

    CRITICAL = 'critical'
    NORMAL = 'normal'
    BACKGROUND = 'background'


class RequestOutcome(Enum):
    """Outcome of a request that is reported to its caller."""

    ANSWERED = 'answered'
    """The target's whole response follows."""

    NOT_RUN = 'not-run'
    """The request did not run and never will."""

    UNKNOWN = 'unknown'
    """The request may have run; the caller can query its outcome later."""
