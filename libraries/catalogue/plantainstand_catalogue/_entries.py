"""Types of catalogue entries and their parts."""

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
# JSON parsers with floating-point numbers are inexact above 2**53 - 1, and
# MessagePack integers have at most 64 bits.
_MAX_COUNT = 9007199254740991
_MAX_MILLISECONDS = 3600000
# The upper bounds of float fields also exclude infinity.
_MAX_RATE = 1000000000
_MAX_OWNER_LENGTH = 200

Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0, le=_MAX_COUNT)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=_MAX_MILLISECONDS)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=_MAX_RATE)]
# Names are parts of URLs and headers, which must contain no line feed: "$"
# would match before a trailing one, "\Z" does not.
Name = Annotated[str, msgspec.Meta(pattern=r'\A[a-z0-9][a-z0-9_.-]{0,62}\Z')]
Port = Annotated[int, msgspec.Meta(gt=0, le=_MAX_PORT)]
Owner = Annotated[
    OwnerId,
    msgspec.Meta(min_length=1, max_length=_MAX_OWNER_LENGTH),
]


class StrictStruct(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of entries and their parts: immutable, without unknown fields."""


class InFlightLimits(StrictStruct, frozen=True):
    """Limits of a region or an availability zone."""

    requests_in_flight: Count
    """Most requests that run at its targets at the same time."""


class LinkLimits(StrictStruct, frozen=True):
    """Limits of a link in one direction."""

    bytes_per_second: PositiveCount
    """Most bytes that plantainstand sends, requests and responses together."""


class ServiceLimits(StrictStruct, frozen=True):
    """Limits of a service."""

    deadline_ms: PositiveCount
    """Longest deadline that a caller may request."""

    request_bytes: Count
    """Largest request body."""

    response_bytes: Count
    """Largest response body.

    A forwarded request reserves as many bytes on the link.
    """

    queue_length: Count
    """Most requests that wait at one entry VM."""


class TargetLimits(StrictStruct, frozen=True):
    """Limits of a target."""

    slots: Count
    """Most requests that run at the target at the same time.

    Counted over all entry VMs.
    """

    connections: PositiveCount
    """Most open connections to the target, over all entry VMs."""


class RetryPolicy(StrictStruct, frozen=True):
    """Limit of repeated attempts."""

    budget_ratio: Fraction = 0.1
    """Retries and hedges allowed per successful request."""


class HedgePolicy(StrictStruct, frozen=True):
    """When a second attempt of an idempotent request is started."""

    enabled: bool = False
    """May be set for idempotent services only."""

    percentile: Fraction = 0.95
    """Percentile of the observed latency after which the hedge starts."""


class WarmUp(StrictStruct, frozen=True):
    """Ramp-up of a target that has started with a cold cache."""

    duration_ms: Milliseconds = 10000.0
    """Time from the first request until all slots may be used."""

    initial_fraction: Fraction = 0.25
    """Fraction of the slots usable at the start; at least one slot."""


class TrafficShiftLimits(StrictStruct, frozen=True):
    """Limits of the rate at which traffic moves, over all entry VMs."""

    target_slots_per_second: Rate
    """Fastest growth of the slots in use at one target."""

    region_requests_per_second: Rate
    """Most requests moved from one region to another."""


class Entry(StrictStruct, frozen=True, tag_field='kind', kw_only=True):
    """Base of the entry types, with their common fields."""

    kind: ClassVar[str]

    id: Name
    """Name, unique among the entries of its kind."""

    owner: Owner
    """Who is responsible for the entry."""

    traffic_class: TrafficClass = msgspec.field(name='class')
    """Priority; for a target, that of its service applies instead."""

    @property
    def entry_id(self) -> EntryId:
        """Id that is unique among all kinds, ``<kind>/<id>``."""
        return EntryId(f'{self.kind}/{self.id}')


class Region(Entry, frozen=True, tag='region'):
    """A region: availability zones with small delays between them."""

    kind: ClassVar[str] = 'region'

    limits: InFlightLimits
    zone_delay_ms: Milliseconds
    """One-way delay between its availability zones."""

    @property
    def region_id(self) -> RegionId:
        """Typed id."""
        return RegionId(self.id)


class AvailabilityZone(Entry, frozen=True, tag='availability_zone'):
    """An availability zone: entry VMs and targets that may fail together."""

    kind: ClassVar[str] = 'availability_zone'

    limits: InFlightLimits
    region: RegionId

    @property
    def availability_zone_id(self) -> AvailabilityZoneId:
        """Typed id."""
        return AvailabilityZoneId(self.id)


class Link(Entry, frozen=True, tag='link'):
    """The network from one region to another, in this direction only."""

    kind: ClassVar[str] = 'link'

    limits: LinkLimits
    from_region: RegionId
    to_region: RegionId
    delay_ms: Milliseconds
    """One-way delay."""


class Service(Entry, frozen=True, tag='service'):
    """A service: targets that can serve the same requests."""

    kind: ClassVar[str] = 'service'

    limits: ServiceLimits
    idempotent: bool
    """Whether any request may run more than once without harm."""

    shift: TrafficShiftLimits
    retry: RetryPolicy = RetryPolicy()
    hedge: HedgePolicy = HedgePolicy()
    warm_up: WarmUp = WarmUp()

    @property
    def service_id(self) -> ServiceId:
        """Typed id."""
        return ServiceId(self.id)


class Target(Entry, frozen=True, tag='target'):
    """A target: a process that serves the requests of one service."""

    kind: ClassVar[str] = 'target'

    limits: TargetLimits
    service: ServiceId
    availability_zone: AvailabilityZoneId
    host: str
    """IP address in canonical form."""

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
"""Entry types by kind, each after the types to which it refers."""
