"""Candidates for one request and what is known about their load."""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NewType

from plantainstand_core import AvailabilityZoneId

CandidateId = NewType('CandidateId', str)


class CandidateKind(Enum):
    """What a request is handed to."""

    TARGET = 'target'
    """A target of the own availability zone; this VM owns slots of it."""

    VM = 'vm'
    """Another entry VM, which dispatches to a target that it owns slots of."""


@dataclass(frozen=True)
class Candidate:
    """One place that can take a request of a service."""

    candidate_id: CandidateId
    """Unique among the candidates of a service."""

    kind: CandidateKind

    availability_zone: AvailabilityZoneId
    """Zone of the target, or of the VM and its targets."""

    network_delay: timedelta
    """Round trip to the candidate."""

    service_time: timedelta
    """Expected time from dispatch to answer while nothing is observed."""

    slots: int
    """Slots that this VM owns of the target, or that the other VM owns."""


@dataclass(frozen=True)
class LoadReport:
    """Load of a VM for one service, as that VM states it."""

    free_slots: int
    total_slots: int
    queued: int

    measured_at: timedelta
    """Reading of the receiver's monotonic clock, message age taken off."""


class AttemptResult(Enum):
    """How an attempt at a candidate ended, for load and error statistics."""

    ANSWERED = 'answered'

    REFUSED = 'refused'
    """The candidate had no capacity; the request did not run there."""

    FAILED = 'failed'
    """Error, timeout or lost connection."""

    CANCELLED = 'cancelled'
    """Ended by this VM; says nothing about the candidate."""


@dataclass(frozen=True)
class RankedCandidate:
    """A candidate with the cost that placed it in the order."""

    candidate: Candidate
    cost: timedelta
    """Network delay, expected wait, service time and risk of failure."""

    has_free_slot: bool
    """A slot is known to be free: owned, or by a fresh credible report."""


def may_share_target(first: Candidate, second: Candidate) -> bool:
    """Return whether two candidates can reach the same target.

    Several VMs own slots of each target of their availability zone, so a VM
    overlaps with every other candidate of that zone.
    """
    if first.candidate_id == second.candidate_id:
        return True
    same_zone = first.availability_zone == second.availability_zone
    return same_zone and CandidateKind.VM in {first.kind, second.kind}
