"""Loads that the replay plays."""

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True)
class SlowMachines:
    """Targets whose work takes longer, drawn anew in each period."""

    share: float
    factor: float
    period: timedelta


@dataclass(frozen=True)
class LoadExchange:
    """How entry VMs exchange the loads that targets state."""

    period: timedelta
    """Interval of each VM's reports, and of the updates to all VMs."""

    transit: timedelta
    """Time of a report, or of an update, on its link."""


@dataclass(frozen=True)
class ReplayedLoad:
    """Targets, entry VMs and requests of one service."""

    targets_by_region: tuple[int, ...]
    vms_by_region: int
    slots: int
    queue_length: int
    objects: int
    arrivals_per_second: float
    cold_run: timedelta
    warm_run: timedelta
    objective: timedelta
    timeout: timedelta
    shared_objects: bool = True
    """Whether all regions request the same objects."""

    counts_objects: bool = True
    """Whether the demand for objects is known to the decisions."""

    skew: float = 0
    """Exponent of the Zipf distribution of requests over objects."""

    kept: int | None = None
    """Objects that a target keeps warm; None for all."""

    response_delay: timedelta = timedelta()
    """Time from the end of a run, when the target states its load, to the
    arrival of the response at the entry VM."""

    max_sends: int = 1
    """Sends of a request whose targets have rejected it."""

    rank_shares: tuple[float, ...] = (1.0,)
    """Share of the requests by rank, the most urgent first."""

    counts_ranks: bool = True
    """Whether the ranks of requests are known to the decisions."""

    phases: Sequence[tuple[float, float]] = ()
    """Seconds and multiple of the arrivals, in this order; then usual load."""

    slow: SlowMachines | None = None
    """Machines that are slow for a while, if their targets state it."""

    def arrivals_at(self, seconds: float) -> float:
        """Return the arrivals per second at a time after the start."""
        for length, factor in self.phases:
            if seconds < length:
                return self.arrivals_per_second * factor
            seconds -= length
        return self.arrivals_per_second


COLD_START = ReplayedLoad(
    targets_by_region=(2, 6, 6),
    vms_by_region=3,
    slots=9,
    queue_length=27,
    objects=84,
    arrivals_per_second=455,
    cold_run=timedelta(milliseconds=480),
    warm_run=timedelta(milliseconds=144),
    objective=timedelta(milliseconds=400),
    timeout=timedelta(milliseconds=800),
    shared_objects=False,
)
"""Objects that are all cold, so that arrivals need twice the slots."""

MANY_TARGETS = ReplayedLoad(
    targets_by_region=(9, 37, 44),
    vms_by_region=29,
    slots=9,
    queue_length=27,
    objects=320,
    arrivals_per_second=639,
    cold_run=timedelta(milliseconds=1560),
    warm_run=timedelta(milliseconds=468),
    objective=timedelta(milliseconds=1215),
    timeout=timedelta(milliseconds=3000),
    skew=0.2,
    kept=22,
    response_delay=timedelta(milliseconds=50),
    max_sends=3,
)
"""Each VM hears from a target once in about twelve seconds."""

FEW_TARGETS = ReplayedLoad(
    targets_by_region=(1, 3, 4),
    vms_by_region=29,
    slots=9,
    queue_length=27,
    objects=33,
    arrivals_per_second=66,
    cold_run=timedelta(milliseconds=1240),
    warm_run=timedelta(milliseconds=372),
    objective=timedelta(milliseconds=1215),
    timeout=timedelta(milliseconds=3000),
    skew=0.2,
    kept=27,
    response_delay=timedelta(milliseconds=50),
    max_sends=3,
)
"""Targets that could keep most objects of the service warm."""

CHANGING_SPEED = ReplayedLoad(
    targets_by_region=(8, 32, 38),
    vms_by_region=34,
    slots=6,
    queue_length=18,
    objects=297,
    arrivals_per_second=595,
    cold_run=timedelta(milliseconds=820),
    warm_run=timedelta(milliseconds=246),
    objective=timedelta(milliseconds=640),
    timeout=timedelta(milliseconds=2000),
    skew=0.2,
    kept=22,
    response_delay=timedelta(milliseconds=50),
    max_sends=3,
    slow=SlowMachines(0.15, 2.5, timedelta(milliseconds=600)),
)
"""Some machines are slow for a while; their targets state it."""
