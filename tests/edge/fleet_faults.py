"""Faults of a simulated fleet that begin at random moments and overlap."""

from collections.abc import Callable, Collection
from datetime import timedelta
from functools import partial

from plantainstand_core import VmId

from tests.edge.simulated_fleet import SimulatedFleet

LONGEST_FAULT_SECONDS = 9
LATEST_BEGIN_SECONDS = 4


def plan_faults(fleet: SimulatedFleet, number: int) -> None:
    """Plan faults that begin in the next seconds."""
    for fault in fleet.random.choices(_FAULTS, k=number):
        draw = fleet.random
        count = draw.randint(1, len(fleet.entry_ids))
        vms = draw.sample(fleet.entry_ids, count)
        duration = timedelta(seconds=draw.uniform(0.5, LONGEST_FAULT_SECONDS))
        begin = timedelta(seconds=draw.uniform(0, LATEST_BEGIN_SECONDS))
        fleet.at(fleet.now + begin, partial(fault, fleet, vms, duration))


def cut_off(
    fleet: SimulatedFleet, vms: Collection[VmId], duration: timedelta
) -> None:
    """Cut entry VMs off from the control VMs; they still reach targets."""
    _cut_paths(
        fleet,
        {(vm, control) for vm in vms for control in fleet.control_ids},
        duration,
    )


def _freeze(
    fleet: SimulatedFleet, vms: Collection[VmId], duration: timedelta
) -> None:
    fleet.frozen.update(vms)
    fleet.at(fleet.now + duration, partial(fleet.frozen.difference_update, vms))


def _restart(
    fleet: SimulatedFleet, vms: Collection[VmId], duration: timedelta
) -> None:
    for vm in vms:
        fleet.stop(vm)
        fleet.at(fleet.now + duration, partial(fleet.start_entry, vm))


def _restart_controls(
    fleet: SimulatedFleet, _vms: Collection[VmId], duration: timedelta
) -> None:
    for vm in fleet.control_ids:
        fleet.stop(vm)
        fleet.at(fleet.now + duration, partial(fleet.start_control, vm))


def _isolate_control(
    fleet: SimulatedFleet, _vms: Collection[VmId], duration: timedelta
) -> None:
    """Cut a control VM off from the others; entry VMs still reach it."""
    lone, *others = fleet.random.sample(fleet.control_ids, 3)
    _cut_paths(fleet, {(lone, other) for other in others}, duration)


def _silence_list(
    fleet: SimulatedFleet, _vms: Collection[VmId], duration: timedelta
) -> None:
    fleet.list_silent = True
    fleet.at(
        fleet.now + duration, partial(setattr, fleet, 'list_silent', False)
    )


def _cut_paths(
    fleet: SimulatedFleet, paths: set[tuple[VmId, VmId]], duration: timedelta
) -> None:
    fleet.cut |= paths
    fleet.at(fleet.now + duration, partial(fleet.cut.difference_update, paths))


_Fault = Callable[[SimulatedFleet, Collection[VmId], timedelta], None]
_FAULTS: tuple[_Fault, ...] = (
    cut_off,
    cut_off,
    _freeze,
    _restart,
    _restart_controls,
    _isolate_control,
    _silence_list,
)
