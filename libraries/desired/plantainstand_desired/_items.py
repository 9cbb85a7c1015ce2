"""Items of the desired state."""

from enum import Enum
from hashlib import blake2b
from typing import NewType

import msgspec
from plantainstand_core import AvailabilityZoneId, RegionId, ServiceId

RouteName = NewType('RouteName', str)
AccountName = NewType('AccountName', str)
KeyDigest = NewType('KeyDigest', bytes)
Version = NewType('Version', int)


MAX_TOMBSTONES = 10_000
"""Removed items that are remembered. Replicas of the state machine must forget
the same ones, so this does not depend on the memory of a VM."""


class ItemKind(Enum):
    """Kind of an item; names are unique within a kind."""

    ROUTE = 'route'
    SERVICE = 'service'
    LIMITS = 'limits'
    ACCOUNT = 'account'


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

    large_bodies: bool = False
    """Whether request bodies are large enough to saturate a VM's link."""

    public: bool = False
    """Whether requests need no key of an account."""


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


class ClientAccount(msgspec.Struct, frozen=True, tag='account'):
    """Client account: its keys, limits and the regions that may serve it."""

    key_digests: tuple[KeyDigest, ...]
    """Digests of the keys; the keys themselves stay in the document."""

    rank: int | None = None
    """Priority of its requests; None for that of the route."""

    requests_per_second: float = 0
    """Rate over all entry VMs together; without rate and burst, no limit."""

    burst: float = 0
    """Requests beyond the rate in one window."""

    home_regions: tuple[RegionId, ...] = ()
    """Regions that may serve the requests; if empty, all may."""

    def __repr__(self) -> str:
        """Describe the account without the digests of its keys."""
        return (
            f'ClientAccount({len(self.key_digests)} keys, rank={self.rank},'
            f' requests_per_second={self.requests_per_second},'
            f' burst={self.burst}, home_regions={self.home_regions})'
        )

    @property
    def has_limit(self) -> bool:
        """Whether the number of its requests is limited."""
        return self.requests_per_second > 0 or self.burst > 0


ItemBody = Route | ServicePolicy | IngressLimits | ClientAccount

_KEY_DIGEST_BYTES = 16


def digest_key(key: bytes) -> KeyDigest:
    """Return the digest by which entry VMs know a key, 16 bytes of BLAKE2b."""
    return KeyDigest(blake2b(key, digest_size=_KEY_DIGEST_BYTES).digest())


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

    def __repr__(self) -> str:
        """Describe the item without its document, which may hold keys."""
        return (
            f'Item({self.kind}, {self.name!r}, version={self.version},'
            f' body={self.body!r}, index={self.index})'
        )

    @property
    def size(self) -> int:
        """Approximate length in bytes when encoded."""
        return len(self.name) + 2 * len(self.document) + ITEM_OVERHEAD_BYTES

    @property
    def key(self) -> ItemKey:
        """Kind and name, which identify the item."""
        return (self.kind, self.name)

    def without_document(self) -> 'Item':
        """Return the item as it is sent to entry VMs.

        The operator's text is only read back from control VMs. It may hold
        keys, and takes half of the bytes of a change on the links.
        """
        return msgspec.structs.replace(self, document=b'')


class EvacuationItem(msgspec.Struct, frozen=True):
    """Whether an availability zone is evacuated, so its targets get nothing."""

    zone: AvailabilityZoneId
    active: bool
    index: int
    """Log index of the command; the highest index is in force."""
