"""Settings and run-time faults of the stand-in for a target."""

from typing import Annotated

import msgspec
from plantainstand_core import ServiceId, TargetId

Count = Annotated[int, msgspec.Meta(ge=0)]
PositiveCount = Annotated[int, msgspec.Meta(gt=0)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Factor = Annotated[float, msgspec.Meta(ge=1)]
ReportMode = Annotated[
    str,
    msgspec.Meta(pattern='^(honest|lagging|stuck|lying)$'),
]


class Strict(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    kw_only=True,
):
    """Base of the settings: immutable, unknown fields refused."""


class ServiceTime(Strict, frozen=True):
    """Log-normal service time with a share of much slower requests."""

    median_ms: Milliseconds = 20
    """Median of the log-normal distribution."""

    sigma: Milliseconds = 0.5
    """Standard deviation of the logarithm."""

    tail_fraction: Fraction = 0.01
    """Share of requests that are slower by ``tail_factor``."""

    tail_factor: Factor = 8
    """Multiplier of the slow requests."""


class ColdStart(Strict, frozen=True):
    """Slower requests while the cache is cold after a start."""

    requests: Count = 0
    """Requests until the cache is warm."""

    factor: Factor = 4
    """Multiplier of the first request; it falls linearly to one."""


class TargetSettings(Strict, frozen=True):
    """One target."""

    id: TargetId
    """Name in the catalogue and of the journal file."""

    service: ServiceId = ServiceId('work')
    """Service that the target belongs to; written to the journal."""

    host: str = '127.0.0.1'
    port: Count = 0
    """Port; zero lets the system choose one."""

    slots: PositiveCount = 4
    """Requests that run at one time."""

    shed_limit: Count = 0
    """Requests running and waiting before it sheds; zero: twice the slots."""

    connections: PositiveCount = 330
    """Connections open at one time; more are closed at once."""

    response_bytes: Count = 256
    """Length that the body is padded to."""

    service_time: ServiceTime = ServiceTime()
    cold_start: ColdStart = ColdStart()
    seed: Count = 1

    @property
    def effective_shed_limit(self) -> int:
        """Limit of requests running and waiting."""
        return self.shed_limit or 2 * self.slots


class TargetHostSettings(Strict, frozen=True):
    """Settings file of one process that hosts targets."""

    journal_folder: str
    """Folder of the journal files, one per target."""

    targets: tuple[TargetSettings, ...]


class ReportFault(Strict, frozen=True, omit_defaults=True):
    """How a report differs from the truth."""

    mode: ReportMode = 'honest'
    """``lagging`` is old, ``stuck`` no longer changes, ``lying`` is good."""

    lag_ms: Milliseconds = 2000
    """Age of a lagging report."""


class TargetFaults(Strict, frozen=True, omit_defaults=True):
    """Body of ``PUT /faults``; fields that are left out are reset."""

    load_report: ReportFault = ReportFault()
    health_report: ReportFault = ReportFault()
    draining: bool = False
    """New work is refused; running work is finished."""

    shed_limit: Count | None = None
    """Replaces the configured limit; zero sheds everything."""

    silent_connections: bool = False
    """Connections open at this moment get no bytes from now on."""

    lost_answer_fraction: Fraction = 0
    """Share of answers lost after the work was done; the connection closes."""

    late_answer_fraction: Fraction = 0
    """Share of answers that wait for ``late_answer_ms`` after the work."""

    late_answer_ms: Milliseconds = 0
    swapped_answer_fraction: Fraction = 0
    """Share of answers that carry the answer of an earlier request."""

    error_fraction: Fraction = 0
    """Share of requests that run and are answered with status 500."""

    slow_factor: Factor = 1
    """Multiplier of the service time."""
