"""The platform's list of VMs, which lags behind their states."""

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
    """Entry of the list."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    state: PlatformState


@dataclass(frozen=True)
class PlatformSnapshot:
    """The list in one answer of the platform."""

    generated_at: datetime
    """Time-zone-aware time by the platform's clock."""

    vms: Iterable[PlatformVm]


class PlatformList:
    """The newest list and the VMs known to be terminated.

    The list lags, so ``live`` and ``leaving`` are hints. ``terminated`` is
    final: such a VM never returns, whatever a later list contains.
    """

    def __init__(self) -> None:
        """Create an empty list."""
        self._generated_at: datetime | None = None
        self._vms: Mapping[VmId, PlatformVm] = {}
        self._terminated: frozenset[VmId] = frozenset()

    @property
    def generated_at(self) -> datetime | None:
        """Time of the newest list, by the platform's clock."""
        return self._generated_at

    @property
    def terminated(self) -> frozenset[VmId]:
        """VMs that are terminated and never return."""
        return self._terminated

    def accept(self, snapshot: PlatformSnapshot) -> bool:
        """Store a list; return whether it is newer than the stored one.

        A list that is not newer is ignored.
        """
        newest = self._generated_at
        if newest is not None and snapshot.generated_at <= newest:
            return False
        self._generated_at = snapshot.generated_at
        self._vms = {listed.vm: listed for listed in snapshot.vms}
        self._terminated |= {
            vm
            for vm, listed in self._vms.items()
            if listed.state is PlatformState.TERMINATED
        }
        return True

    def listed_state(self, vm: VmId) -> PlatformState | None:
        """Return the state of a VM; ``None`` if it is not listed.

        A terminated VM stays terminated in all later lists.
        """
        if vm in self._terminated:
            return PlatformState.TERMINATED
        listed = self._vms.get(vm)
        return None if listed is None else listed.state

    def remove_terminated(self, vms: Collection[VmId]) -> None:
        """Remove terminated VMs that the registry no longer contains."""
        self._terminated -= frozenset(vms)
