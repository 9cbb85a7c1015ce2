"""Candidates for a request, their load reports and attempt results."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType

from plantainstand_core import AvailabilityZoneId

CandidateId = NewType('CandidateId', str)


class CandidateKind(Enum):
    """Kind of receiver that a request is sent to."""

    TARGET = 'target'
    """A target in this VM's availability zone; this VM owns slots of it."""

    VM = 'vm'
    """Another entry VM, which dispatches to a target that it owns slots of."""


@dataclass(frozen=True)
class Candidate:
    """A target or VM that can serve a request of a service."""

    candidate_id: CandidateId
    """Unique among the candidates of a service."""

    kind: CandidateKind

    availability_zone: AvailabilityZoneId
    """Availability zone of the target, or of the VM and its targets."""

    network_delay: timedelta
    """Network round-trip time to the candidate."""

    service_time: timedelta
    """Assumed time from dispatch to answer until latencies are observed."""

    slots: int
    """Slots of the target that this VM owns, or all slots of the other VM."""


@dataclass(frozen=True)
class LoadReport:
    """Load of a VM for one service, as reported by that VM."""

    free_slots: int
    total_slots: int
    queued: int

    measured_at: timedelta
    """Time of measurement by the receiver's monotonic clock.

    The receiver subtracts the age of the message from the time of receipt.
    """


class AttemptResult(Enum):
    """How an attempt at a candidate ended, for load and error statistics."""

    ANSWERED = 'answered'

    REFUSED = 'refused'
    """The candidate had no capacity; the request did not run there."""

    FAILED = 'failed'
    """Error, timeout or lost connection."""

    CANCELLED = 'cancelled'
    """Ended by this VM; not counted for or against the candidate."""


@dataclass(frozen=True)
class RankedCandidate:
    """A candidate with its expected cost."""

    candidate: Candidate
    cost: timedelta
    """Network delay, expected wait, service time and cost of failures."""

    has_free_slot: bool
    """Whether an own slot is free, or a fresh credible report says so."""


def may_share_target(first: Candidate, second: Candidate) -> bool:
    """Return whether two candidates can reach the same target.

    Every VM of an availability zone can own slots of every target of that
    zone, so a VM can reach the same targets as any other candidate there.
    """
    if first.candidate_id == second.candidate_id:
        return True
    same_zone = first.availability_zone == second.availability_zone
    return same_zone and CandidateKind.VM in {first.kind, second.kind}
