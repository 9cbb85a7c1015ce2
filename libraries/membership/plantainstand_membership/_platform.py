"""The platform's delayed list of VMs."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime
from enum import Enum

from plantainstand_core import AvailabilityZoneId, VmId


class PlatformState(Enum):
    """State of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    TERMINATED = 'terminated'


@dataclass(frozen=True)
class PlatformVm:
    """One line of the list."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    state: PlatformState


@dataclass(frozen=True)
class PlatformSnapshot:
    """The list as one answer gives it."""

    generated_at: datetime
    """Aware; by the platform's clock."""

    vms: Iterable[PlatformVm]


class PlatformList:
    """The newest list seen, and the VMs known to be terminated.

    The list lags, so ``live`` and ``leaving`` are hints. ``terminated`` is a
    fact: such a VM never comes back, whatever a later list says.
    """

    def __init__(self) -> None:
        """Start without a list."""
        self._generated_at: datetime | None = None
        self._vms: Mapping[VmId, PlatformVm] = {}
        self._terminated: frozenset[VmId] = frozenset()

    @property
    def generated_at(self) -> datetime | None:
        """Time of the newest list, by the platform's clock."""
        return self._generated_at

    @property
    def terminated(self) -> frozenset[VmId]:
        """VMs that never come back."""
        return self._terminated

    def accept(self, snapshot: PlatformSnapshot) -> bool:
        """Take over a list; one that is not newer is ignored.

        Returns whether the list was taken over.
        """
        known = self._generated_at
        if known is not None and snapshot.generated_at <= known:
            return False
        self._generated_at = snapshot.generated_at
        self._vms = {line.vm: line for line in snapshot.vms}
        self._terminated |= {
            vm
            for vm, line in self._vms.items()
            if line.state is PlatformState.TERMINATED
        }
        return True

    def hint(self, vm: VmId) -> PlatformState | None:
        """Return the state that the list gives; ``None`` if not listed."""
        if vm in self._terminated:
            return PlatformState.TERMINATED
        line = self._vms.get(vm)
        return None if line is None else line.state

    def forget(self, vms: Collection[VmId]) -> None:
        """Drop terminated VMs that the register no longer names."""
        self._terminated -= frozenset(vms)
