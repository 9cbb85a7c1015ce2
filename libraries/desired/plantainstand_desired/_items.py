"""Items of the desired state."""

from enum import Enum
from typing import NewType

import msgspec
from plantainstand_core import AvailabilityZoneId, RegionId, ServiceId

RouteName = NewType('RouteName', str)
Version = NewType('Version', int)


MAX_TOMBSTONES = 10_000
"""Removed items that are remembered. Replicas of the state machine must forget
the same ones, so this does not depend on the memory of a VM."""


class ItemKind(Enum):
    """Kind of an item; names are unique within a kind."""

    ROUTE = 'route'
    SERVICE = 'service'
    LIMITS = 'limits'


ItemKey = tuple[ItemKind, str]

ITEM_OVERHEAD_BYTES = 256
"""Length of an item's fields besides its name and what the operator wrote,
which is stored as text and decoded."""


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """Service that gets a part of a route's requests."""

    service: ServiceId
    weight: float
    """Part of the requests, relative to the weights of the other services."""


class Route(msgspec.Struct, frozen=True, tag='route'):
    """Rule that selects requests and says how they are forwarded."""

    host: str
    path_prefix: str
    """Path prefix; starts and ends with a slash."""

    idempotent: bool
    """Whether it is safe to run a request more than once."""

    timeout_seconds: float
    """Longest time until a request must have its response."""

    objective_seconds: float
    """Latency objective: within it a response has its full value."""

    rank: int
    """Priority of the requests; 0 is the highest."""

    max_attempts: int
    """Largest number of targets to which one request is sent."""

    sticky: bool
    """Whether targets serve an object faster if they served it recently."""

    home_regions: tuple[RegionId, ...]
    """Regions that may serve the requests; if empty, all may."""

    parts: tuple[WeightedService, ...]
    large_answers: bool = False
    """Whether responses are large enough to saturate links between regions."""


class ServicePolicy(msgspec.Struct, frozen=True, tag='service'):
    """Health check and load limits of a service's targets."""

    health_path: str
    max_connections: int
    """Connections that one target accepts, from all VMs together."""

    cold_seconds: float
    """Time for which a target is cold after its start."""

    cold_requests_per_second: float
    """Request rate that one cold target accepts, from all VMs together."""


class IngressLimits(msgspec.Struct, frozen=True, tag='limits'):
    """Limits on the size and the duration of clients' requests."""

    header_bytes: int
    body_bytes: int
    head_timeout_seconds: float
    idle_timeout_seconds: float


ItemBody = Route | ServicePolicy | IngressLimits


class Item(msgspec.Struct, frozen=True):
    """One version of a named item; without a body it is a tombstone."""

    kind: ItemKind
    name: str
    version: Version
    body: ItemBody | None
    document: bytes = b''
    """Item as the operator wrote it, returned unchanged when it is read."""

    index: int = 0
    """Log index of the change that set this version; 0 until accepted."""

    @property
    def size(self) -> int:
        """Approximate length in bytes when encoded."""
        return len(self.name) + 2 * len(self.document) + ITEM_OVERHEAD_BYTES

    @property
    def key(self) -> ItemKey:
        """Kind and name, which identify the item."""
        return (self.kind, self.name)


class EvacuationItem(msgspec.Struct, frozen=True):
    """Whether an availability zone is evacuated, so its targets get nothing."""

    zone: AvailabilityZoneId
    active: bool
    index: int
    """Log index of the command; the highest index is in force."""
