"""JSON body of ``GET /explain`` of an entry VM's metrics address.

Unknown fields are ignored, so that an entry VM may be newer than the tool.
"""

from collections.abc import Sequence

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    TargetId,
)

EXPLAIN_PATH = '/explain'


class ItemVersion(msgspec.Struct, frozen=True):
    """Name and version of a route or an account."""

    name: str
    version: int


class ServicePart(msgspec.Struct, frozen=True):
    """A service of a route, and its weight in the traffic split."""

    service: ServiceId
    weight: float


class ExplainedTarget(msgspec.Struct, frozen=True):
    """One of the first targets of the object's order."""

    target: TargetId
    availability_zone: AvailabilityZoneId
    may_receive: bool
    to_be_probed: bool
    familiarity: str
    slots: int
    load: float
    load_age_ms: float | None
    """Age of the newest statement of the load; null without one."""

    in_flight: int
    """Requests of the entry VM at the target."""

    slowdown: float
    expected_wait_ms: float
    expected_run_ms: float


class Decision(msgspec.Struct, frozen=True):
    """What would be done with the request."""

    outcome: str
    """``send``, ``reject``, or ``wait`` for an allotment of the leader."""

    reason: str
    target: TargetId | None = None
    status: int | None = None
    retry_after_ms: float | None = None


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go now, and why."""

    decision: Decision
    route: ItemVersion | None = None
    account: ItemVersion | None = None
    denial: str | None = None
    requires_keys: bool = False
    keys_confirmed: bool = True
    rank: int | None = None
    home_regions: Sequence[RegionId] = ()
    allotment_left: int | None = None
    service: ServiceId | None = None
    parts: Sequence[ServicePart] = ()
    states_object: bool = False
    targets: Sequence[ExplainedTarget] = ()
