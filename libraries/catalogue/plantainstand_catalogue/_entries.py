"""Catalogue entries: what operators state about the things they own."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, ClassVar, TypeAlias

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    EntryId,
    OwnerId,
    RegionId,
    ServiceId,
    TargetId,
    TrafficClass,
)

_MAX_PORT = 65535
# Larger integers are not exact in every JSON reader, and MessagePack cannot
# carry integers above 64 bits.
_MAX_COUNT = 9007199254740991
_MAX_MILLISECONDS = 3600000
# The upper bounds of float fields also refuse infinity.
_MAX_RATE = 1000000000
_MAX_OWNER_LENGTH = 200

Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0, le=_MAX_COUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_MILLISECONDS)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=_MAX_RATE)]
# Names are parts of URLs and headers: "$" would let a line feed pass.
Name = Annotated[str, msgspec.Meta(pattern=r'\A[a-z0-9][a-z0-9_.-]{0,62}\Z')]
Port = Annotated[int, msgspec.Meta(gt=0, le=_MAX_PORT)]
Owner = Annotated[
    OwnerId,
    msgspec.Meta(min_length=1, max_length=_MAX_OWNER_LENGTH),
]


class Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of every part of an entry: immutable, unknown fields refused."""


class InFlightLimits(Strict, frozen=True):
    """Limits of a region or an availability zone."""

    requests_in_flight: Count
    """Requests that may run at its targets at one time."""


class LinkLimits(Strict, frozen=True):
    """Limits of a link in one direction."""

    bytes_per_second: PositiveCount
    """What plantainstand may send, requests and responses together."""


class ServiceLimits(Strict, frozen=True):
    """Limits of a service."""

    deadline_ms: PositiveCount
    """Longest deadline that a caller may ask for."""

    request_bytes: Count
    """Largest request body."""

    response_bytes: Count
    """Largest response body; also reserved on the link when forwarding."""

    queue_length: Count
    """Requests that may wait at one entry VM."""


class TargetLimits(Strict, frozen=True):
    """Limits of a target."""

    slots: Count
    """Requests that it serves at one time, over all entry VMs."""

    connections: PositiveCount
    """Connections that it holds open, over all entry VMs."""


class RetryPolicy(Strict, frozen=True):
    """How often attempts may be repeated."""

    budget_ratio: Fraction = 0.1
    """Retries and hedges allowed per successful request."""


class HedgePolicy(Strict, frozen=True):
    """When a second attempt of an idempotent request is started."""

    enabled: bool = False
    """Refused for services that are not idempotent."""

    percentile: Fraction = 0.95
    """Observed latency percentile after which the hedge starts."""


class WarmUp(Strict, frozen=True):
    """Ramp of a target that has started with a cold cache."""

    duration_ms: Milliseconds = 10000.0
    """Time from the first use to the full share."""

    initial_fraction: Fraction = 0.25
    """Part of the share usable at the start; at least one slot."""


class TrafficShiftLimits(Strict, frozen=True):
    """How quickly traffic may move, over all entry VMs together."""

    target_slots_per_second: Rate
    """Growth of the slots in use at one target."""

    region_requests_per_second: Rate
    """Requests steered from one region to another one."""


class Entry(Strict, frozen=True, tag_field='kind', kw_only=True):
    """Fields of every entry."""

    kind: ClassVar[str]

    id: Name
    """Name, unique among the entries of its kind."""

    owner: Owner
    """Who answers for the entry."""

    traffic_class: TrafficClass = msgspec.field(name='class')
    """Priority; for a target, its service's class decides."""

    @property
    def entry_id(self) -> EntryId:
        """Id over all kinds, ``<kind>/<id>``."""
        return EntryId(f'{self.kind}/{self.id}')


class Region(Entry, frozen=True, tag='region'):
    """A region: a set of availability zones with small delays."""

    kind: ClassVar[str] = 'region'

    limits: InFlightLimits
    zone_delay_ms: Milliseconds
    """One-way delay between its availability zones."""

    @property
    def region_id(self) -> RegionId:
        """Typed id."""
        return RegionId(self.id)


class AvailabilityZone(Entry, frozen=True, tag='availability_zone'):
    """An availability zone: entry VMs and targets that fail together."""

    kind: ClassVar[str] = 'availability_zone'

    limits: InFlightLimits
    region: RegionId

    @property
    def availability_zone_id(self) -> AvailabilityZoneId:
        """Typed id."""
        return AvailabilityZoneId(self.id)


class Link(Entry, frozen=True, tag='link'):
    """One direction between two regions."""

    kind: ClassVar[str] = 'link'

    limits: LinkLimits
    from_region: RegionId
    to_region: RegionId
    delay_ms: Milliseconds
    """One-way delay."""


class Service(Entry, frozen=True, tag='service'):
    """A service: a set of targets that can serve the same requests."""

    kind: ClassVar[str] = 'service'

    limits: ServiceLimits
    idempotent: bool
    """Whether every request may run more than once without harm."""

    shift: TrafficShiftLimits
    retry: RetryPolicy = RetryPolicy()
    hedge: HedgePolicy = HedgePolicy()
    warm_up: WarmUp = WarmUp()

    @property
    def service_id(self) -> ServiceId:
        """Typed id."""
        return ServiceId(self.id)


class Target(Entry, frozen=True, tag='target'):
    """A target: one back end process that serves one service."""

    kind: ClassVar[str] = 'target'

    limits: TargetLimits
    service: ServiceId
    availability_zone: AvailabilityZoneId
    host: str
    """IP address."""

    port: Port

    @property
    def target_id(self) -> TargetId:
        """Typed id."""
        return TargetId(self.id)


AnyEntry: TypeAlias = Region | AvailabilityZone | Link | Service | Target

ENTRY_TYPES: Mapping[str, type[AnyEntry]] = MappingProxyType(
    {
        entry_type.kind: entry_type
        for entry_type in (Region, AvailabilityZone, Link, Service, Target)
    }
)
"""Entry type of each kind, in an order in which references resolve."""
