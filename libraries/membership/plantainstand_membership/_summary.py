"""Load summaries that entry VMs exchange."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import (
    AvailabilityZoneId,
    Clock,
    Incarnation,
    ServiceId,
    VmId,
)


@dataclass(frozen=True)
class ServiceLoad:
    """Load of one service at one VM or over a zone."""

    free_slots: int
    total_slots: int
    queued: int

    service_time: timedelta
    """Mean time that a request holds a slot."""


@dataclass(frozen=True)
class VmSummary:
    """What a VM says about itself at one moment."""

    vm: VmId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId

    sequence: int
    """Grows with each summary of an incarnation."""

    leaving: bool
    services: Mapping[ServiceId, ServiceLoad]


@dataclass(frozen=True)
class ReceivedSummary:
    """A summary with the time at which it was true."""

    summary: VmSummary

    measured_at: timedelta
    """Reading of the holder's monotonic clock."""


class SummaryTable:
    """The latest summary of each registered VM."""

    def __init__(self, clock: Clock):
        """Start empty; :meth:`retain` states the VMs to listen to."""
        self._clock = clock
        self._registered: Mapping[VmId, Incarnation] = {}
        self._held: dict[VmId, ReceivedSummary] = {}

    def replace_registered(
        self, registered: Mapping[VmId, Incarnation]
    ) -> None:
        """Forget VMs that are not registered, and listen to those that are.

        Summaries of a departed VM still travel between its peers for a while;
        they are refused, as are those of an incarnation before the registered
        one.
        """
        self._registered = dict(registered)
        self._held = {
            vm: held
            for vm, held in self._held.items()
            if self._is_registered(held.summary)
        }

    def accept(self, summary: VmSummary, age: timedelta) -> bool:
        """Take over a summary; return whether it is newer than the held one.

        ``age`` is the age stated by the sender at the time of sending.
        """
        if not self._is_registered(summary):
            return False
        held = self._held.get(summary.vm)
        if held and _order(summary) <= _order(held.summary):
            return False
        age = max(age, timedelta(0))
        measured_at = self._clock.monotonic() - age
        self._held[summary.vm] = ReceivedSummary(summary, measured_at)
        return True

    def find(self, vm: VmId) -> ReceivedSummary | None:
        """Return the latest summary of a VM."""
        return self._held.get(vm)

    def age(self, vm: VmId) -> timedelta | None:
        """Return the age of the latest summary of a VM."""
        held = self._held.get(vm)
        if held is None:
            return None
        return self._clock.monotonic() - held.measured_at

    def members(self, zone: AvailabilityZoneId) -> tuple[ReceivedSummary, ...]:
        """Return the latest summaries of a zone's VMs, ordered by VM id."""
        found = (
            held
            for held in self._held.values()
            if held.summary.availability_zone == zone
        )
        return tuple(sorted(found, key=_vm_of))

    def _is_registered(self, summary: VmSummary) -> bool:
        registered = self._registered.get(summary.vm)
        return registered is not None and summary.incarnation >= registered


@dataclass(frozen=True)
class ZoneSummary:
    """Sum of the summaries of a zone's members."""

    availability_zone: AvailabilityZoneId

    members: int
    """VMs that are not leaving and whose summary counts."""

    measured_at: timedelta
    """Time of the oldest summary in the sum."""

    services: Mapping[ServiceId, ServiceLoad] = field(default_factory=dict)


def summarise_zone(
    zone: AvailabilityZoneId,
    members: Iterable[ReceivedSummary],
    oldest: timedelta,
) -> ZoneSummary | None:
    """Add up the members measured at or after ``oldest``.

    Returns ``None`` if no member counts. The service time is the mean
    weighted by slots.
    """
    counted = [
        held
        for held in members
        if held.summary.availability_zone == zone
        and held.measured_at >= oldest
        and not held.summary.leaving
    ]
    if not counted:
        return None
    services: dict[ServiceId, ServiceLoad] = {}
    for held in counted:
        for service, load in held.summary.services.items():
            services[service] = _add(services.get(service), load)
    measured_at = min(map(_measured_at, counted))
    return ZoneSummary(zone, len(counted), measured_at, services)


def _add(first: ServiceLoad | None, second: ServiceLoad) -> ServiceLoad:
    if first is None:
        return second
    total = first.total_slots + second.total_slots
    slot_time = first.total_slots * first.service_time
    slot_time += second.total_slots * second.service_time
    return ServiceLoad(
        first.free_slots + second.free_slots,
        total,
        first.queued + second.queued,
        slot_time / total if total else first.service_time,
    )


def _order(summary: VmSummary) -> tuple[int, int]:
    return summary.incarnation, summary.sequence


def _measured_at(held: ReceivedSummary) -> timedelta:
    return held.measured_at


def _vm_of(held: ReceivedSummary) -> VmId:
    return held.summary.vm
