"""Items of the desired state."""

from enum import Enum
from typing import NewType

import msgspec
from plantainstand_core import AvailabilityZoneId, RegionId, ServiceId

RouteName = NewType('RouteName', str)
Version = NewType('Version', int)


class ItemKind(Enum):
    """Table that an item belongs to."""

    ROUTE = 'route'
    SERVICE = 'service'
    LIMITS = 'limits'


ItemKey = tuple[ItemKind, str]


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """One part of a route's traffic."""

    service: ServiceId
    weight: float
    """Share of the route's requests, relative to the other parts."""


class Route(msgspec.Struct, frozen=True, tag='route'):
    """Which requests go to which services, and how."""

    host: str
    path_prefix: str
    """Begins and ends with a slash."""

    idempotent: bool
    """Whether a request may run more than once."""

    timeout_seconds: float
    """Longest time for which a request may be kept waiting."""

    objective_seconds: float
    """Latency within which an answer has its full worth."""

    rank: int
    """Urgency; 0 is the most urgent."""

    max_attempts: int
    """Most targets to which one request may be sent."""

    sticky: bool
    """Whether a target is faster for objects that it served lately."""

    home_regions: tuple[RegionId, ...]
    """Regions that may serve the route; empty for all."""

    parts: tuple[WeightedService, ...]
    """Services of the route with their weights."""

    large_answers: bool = False
    """Whether answers are large enough to fill links between regions."""


class ServicePolicy(msgspec.Struct, frozen=True, tag='service'):
    """What the targets of a service bear."""

    health_path: str
    max_connections: int
    """Connections that a target accepts from all VMs together."""

    cold_seconds: float
    """How long a target stays cold after its start."""

    cold_requests_per_second: float
    """Requests that a cold target bears, from all VMs together."""


class IngressLimits(msgspec.Struct, frozen=True, tag='limits'):
    """What clients may send, and how long they may take."""

    header_bytes: int
    body_bytes: int
    head_timeout_seconds: float
    idle_timeout_seconds: float


ItemBody = Route | ServicePolicy | IngressLimits


class Item(msgspec.Struct, frozen=True):
    """One version of a named item; without a body it is a removal marker."""

    kind: ItemKind
    name: str
    version: Version
    body: ItemBody | None
    document: bytes = b''
    """The item as its author wrote it, returned when it is read back."""

    index: int = 0
    """Log index of the change that set it; 0 before it is accepted."""

    @property
    def key(self) -> ItemKey:
        """Return the table and the name."""
        return (self.kind, self.name)


class EvacuationItem(msgspec.Struct, frozen=True):
    """Whether an availability zone's targets are to get nothing."""

    zone: AvailabilityZoneId
    active: bool
    index: int
    """Log index of the order; the highest one holds."""
