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
    """Load of a service at a VM or in an availability zone."""

    free_slots: int
    total_slots: int
    queued: int

    service_time: timedelta
    """Mean time that a request holds a slot."""


@dataclass(frozen=True)
class VmSummary:
    """Load of a VM at one moment, as reported by the VM."""

    vm: VmId
    incarnation: Incarnation
    availability_zone: AvailabilityZoneId

    sequence: int
    """Increases with each summary of an incarnation."""

    leaving: bool
    services: Mapping[ServiceId, ServiceLoad]


@dataclass(frozen=True)
class ReceivedSummary:
    """A summary with the time of its measurement."""

    summary: VmSummary

    measured_at: timedelta
    """Reading of the receiver's monotonic clock."""


class SummaryTable:
    """The latest summary of each registered VM."""

    def __init__(self, clock: Clock):
        """Create an empty table; :meth:`replace_registered` sets the VMs."""
        self._clock = clock
        self._registered: Mapping[VmId, Incarnation] = {}
        self._received: dict[VmId, ReceivedSummary] = {}

    def replace_registered(
        self, registered: Mapping[VmId, Incarnation]
    ) -> None:
        """Set the registered VMs and remove the summaries of others.

        Peers still exchange summaries of a departed VM for a while; these are
        refused, as are summaries of incarnations before the registered one.
        """
        self._registered = dict(registered)
        self._received = {
            vm: received
            for vm, received in self._received.items()
            if self._is_registered(received.summary)
        }

    def accept(self, summary: VmSummary, age: timedelta) -> bool:
        """Store a summary; return whether it is newer than the stored one.

        A summary of an unregistered VM is refused. ``age`` is the age of the
        summary when it was sent, as reported by the sender.
        """
        if not self._is_registered(summary):
            return False
        received = self._received.get(summary.vm)
        if received and _version_key(summary) <= _version_key(received.summary):
            return False
        age = max(age, timedelta(0))
        measured_at = self._clock.monotonic() - age
        self._received[summary.vm] = ReceivedSummary(summary, measured_at)
        return True

    def find(self, vm: VmId) -> ReceivedSummary | None:
        """Return the latest summary of a VM, or ``None``."""
        return self._received.get(vm)

    def age(self, vm: VmId) -> timedelta | None:
        """Return the age of the latest summary of a VM, or ``None``."""
        received = self._received.get(vm)
        if received is None:
            return None
        return self._clock.monotonic() - received.measured_at

    def members(self, zone: AvailabilityZoneId) -> tuple[ReceivedSummary, ...]:
        """Return the latest summaries of a zone's VMs, ordered by VM id."""
        found = (
            received
            for received in self._received.values()
            if received.summary.availability_zone == zone
        )
        return tuple(sorted(found, key=_vm_id))

    def _is_registered(self, summary: VmSummary) -> bool:
        registered = self._registered.get(summary.vm)
        return registered is not None and summary.incarnation >= registered


@dataclass(frozen=True)
class ZoneSummary:
    """Sum of the summaries of a zone's members."""

    availability_zone: AvailabilityZoneId

    members: int
    """Number of VMs in the sum."""

    measured_at: timedelta
    """Measurement time of the oldest summary in the sum."""

    services: Mapping[ServiceId, ServiceLoad] = field(default_factory=dict)


def summarise_zone(
    zone: AvailabilityZoneId,
    members: Iterable[ReceivedSummary],
    oldest: timedelta,
) -> ZoneSummary | None:
    """Return the sum of the members' summaries for a zone.

    Only members of the zone that are not leaving and were measured at or after
    ``oldest`` are included; ``None`` if there are none. The service time is
    the mean weighted by slots.
    """
    included = [
        received
        for received in members
        if received.summary.availability_zone == zone
        and received.measured_at >= oldest
        and not received.summary.leaving
    ]
    if not included:
        return None
    services: dict[ServiceId, ServiceLoad] = {}
    for received in included:
        for service, load in received.summary.services.items():
            services[service] = _add(services.get(service), load)
    measured_at = min(map(_measured_at, included))
    return ZoneSummary(zone, len(included), measured_at, services)


def _add(first: ServiceLoad | None, second: ServiceLoad) -> ServiceLoad:
    if first is None:
        return second
    total_slots = first.total_slots + second.total_slots
    weighted_time = first.total_slots * first.service_time
    weighted_time += second.total_slots * second.service_time
    return ServiceLoad(
        first.free_slots + second.free_slots,
        total_slots,
        first.queued + second.queued,
        weighted_time / total_slots if total_slots else first.service_time,
    )


def _version_key(summary: VmSummary) -> tuple[int, int]:
    return summary.incarnation, summary.sequence


def _measured_at(received: ReceivedSummary) -> timedelta:
    return received.measured_at


def _vm_id(received: ReceivedSummary) -> VmId:
    return received.summary.vm
