"""Deployment files of the load tool."""

import math
from collections.abc import Mapping
from enum import Enum
from pathlib import Path

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ServiceId,
    SettingsProblem,
    VmId,
    load_settings,
)
from result import Result

from plantainstand_bench._target_settings import (
    ColdStart,
    Count,
    Fraction,
    Milliseconds,
    PositiveCount,
    ServiceTime,
    Strict,
)


class Role(Enum):
    """Role of a daemon."""

    ENTRY = 'entry'
    VOTER = 'voter'


class VmPlan(Strict, frozen=True):
    """One VM of the system."""

    id: VmId
    availability_zone: AvailabilityZoneId
    region: RegionId
    roles: tuple[Role, ...]
    http_port: PositiveCount
    rpc_port: PositiveCount
    host: str = '127.0.0.1'
    http_threads: PositiveCount = 400
    """Requests in progress at the VM; each holds a thread of the daemon."""

    @property
    def is_voter(self) -> bool:
        """Whether the VM keeps the log."""
        return Role.VOTER in self.roles

    @property
    def is_entry(self) -> bool:
        """Whether callers send requests to the VM."""
        return Role.ENTRY in self.roles


class TargetPlan(Strict, frozen=True):
    """How the targets of one service behave."""

    service_time: ServiceTime = ServiceTime()
    cold_start: ColdStart = ColdStart()
    response_bytes: Count = 256
    shed_limit: Count = 0
    """Requests running and waiting before a target sheds; zero: 2 x slots."""

    @property
    def mean_seconds(self) -> float:
        """Mean service time of a warm target."""
        times = self.service_time
        log_normal = times.median_ms * math.exp(times.sigma**2 / 2)
        tail = 1 + times.tail_fraction * (times.tail_factor - 1)
        return log_normal * tail / 1000


class TrafficPlan(Strict, frozen=True):
    """Arrivals of one service."""

    service: ServiceId
    requests_per_second: Milliseconds
    """Arrivals of all callers together at load factor one."""

    deadline_ms: PositiveCount
    path: str = 'work'
    method: str = 'GET'
    body_bytes: Count = 0


class Deployment(Strict, frozen=True):
    """A deployment file."""

    catalogue: str
    """Catalogue file, relative to this file."""

    vms: tuple[VmPlan, ...]
    traffic: tuple[TrafficPlan, ...]
    targets: Mapping[ServiceId, TargetPlan] = {}  # noqa: RUF012
    callers_per_zone: PositiveCount = 20
    duration_s: Milliseconds = 30
    warm_up_s: Milliseconds = 0
    """Time after the first arrival that latency and headroom leave out.

    The arrival rate rises linearly from zero during this time.
    """

    settle_s: Milliseconds = 6
    """Time between loading the catalogue and the first arrival."""

    platform_list_port: Count = 0
    """Port of the platform's list; zero starts no list."""

    platform_list_lag_ms: Milliseconds = 2000
    sendings: PositiveCount = 6
    """Sendings of a non-idempotent request while its outcome is unknown."""

    twin_fraction: Fraction = 0.2
    """Share of resends that go to two entry VMs at the same moment."""

    def target_plan(self, service: ServiceId) -> TargetPlan:
        """Return the plan of a service, or the default one."""
        return self.targets.get(service, TargetPlan())

    def vm(self, vm: VmId) -> VmPlan | None:
        """Return a VM of the file."""
        return next((plan for plan in self.vms if plan.id == vm), None)


def load_deployment(path: Path) -> Result[Deployment, SettingsProblem]:
    """Read a deployment file."""
    return load_settings(path, Deployment).map(
        lambda deployment: _resolve_catalogue(deployment, path),
    )


def _resolve_catalogue(deployment: Deployment, path: Path) -> Deployment:
    catalogue = path.parent / deployment.catalogue
    return msgspec.structs.replace(deployment, catalogue=str(catalogue))
