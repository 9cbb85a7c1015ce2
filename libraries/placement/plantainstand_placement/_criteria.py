"""Criteria by which the target of one request is chosen."""

from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import AvailabilityZoneId, RegionId, TargetId

from plantainstand_placement._admission import Admission
from plantainstand_placement._cold import ColdRequestShare
from plantainstand_placement._cold_knowledge import ListReading
from plantainstand_placement._object_demand import DemandEstimate
from plantainstand_placement._request_limits import RequestLimits


@dataclass(frozen=True, slots=True)
class PlacementCriteria:
    """Criteria by which the target of one request is chosen."""

    object_key: bytes
    """Identifies the object; equal for all requests for it."""

    region: RegionId
    """Region of the entry VM."""

    home_regions: tuple[RegionId, ...]
    """Regions whose targets may serve the request; empty for all."""

    objective_left: timedelta
    """Time until the route's latency objective is missed."""

    time_left: timedelta
    """Time until the request is given up."""

    cold_share: ColdRequestShare
    """Requests that this VM may send to cold targets."""

    request_limits: RequestLimits
    """Requests that this VM may send to targets that state limits."""

    demand: DemandEstimate | None = None
    """Demand for the object; None if the request states no object."""

    admission: Admission | None = None
    """Admission beside requests of other ranks; None if all are of one."""

    list_reading: ListReading | None = None
    """Newest reading of the platform's list; without it, all targets count as
    warm that are not known to be cold."""

    evacuated_availability_zones: frozenset[AvailabilityZoneId] = frozenset()
    """Availability zones whose targets receive no requests."""

    tried_targets: frozenset[TargetId] = field(default_factory=frozenset)
    """Targets to which the request has been sent already."""
