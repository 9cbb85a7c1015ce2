"""Builders of commands and states for tests."""

from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    LogIndex,
    RegionId,
    ResourceId,
    VmId,
)
from plantainstand_shares import (
    Accepted,
    Amount,
    AnyCommand,
    ConfirmRelease,
    DepartVm,
    MarkLeaving,
    ReclaimVm,
    RegisterVm,
    SetShares,
    ShareChange,
    ShareGrant,
    ShareOutcome,
    ShareState,
    ShareUnit,
    VmIncarnation,
)

TARGET = ResourceId('target/a')


def key(vm: str, incarnation: int = 1) -> VmIncarnation:
    """Return the identity of a process."""
    return VmIncarnation(VmId(vm), Incarnation(incarnation))


def register(vm: str, incarnation: int = 1, zone: str = 'z1') -> RegisterVm:
    """Return a registration in a region named after the zone."""
    return RegisterVm(
        *key(vm, incarnation),
        AvailabilityZoneId(zone),
        RegionId(f'region-of-{zone}'),
        '127.0.0.1',
        http_port=1,
        rpc_port=2,
    )


def accepted(index: int) -> Accepted:
    """Return the outcome of a command in force since ``index``."""
    return Accepted(LogIndex(index))


def leave(vm: str, incarnation: int = 1) -> MarkLeaving:
    """Return the command that marks a VM as leaving."""
    return MarkLeaving(*key(vm, incarnation))


def depart(vm: str, incarnation: int = 1) -> DepartVm:
    """Return the command of a clean departure."""
    return DepartVm(*key(vm, incarnation))


def reclaim(vm: str, incarnation: int = 1, decided_at: int = 99) -> ReclaimVm:
    """Return the command that reclaims the shares of a VM."""
    return ReclaimVm(*key(vm, incarnation), LogIndex(decided_at))


def confirm(
    vm: str,
    version: int,
    incarnation: int = 1,
    resource: ResourceId = TARGET,
) -> ConfirmRelease:
    """Return the confirmation of a released share."""
    return ConfirmRelease(*key(vm, incarnation), resource, LogIndex(version))


def change(
    capacity: Amount,
    *grants: tuple[str, int, Amount],
    resource: ResourceId = TARGET,
    unit: ShareUnit = ShareUnit.COUNT,
) -> SetShares:
    """Return a change of one resource.

    Each grant is a tuple of VM, incarnation and share.
    """
    shares = tuple(
        ShareGrant(*key(vm, incarnation), share)
        for vm, incarnation, share in grants
    )
    return SetShares((ShareChange(resource, unit, capacity, shares),))


class Log:
    """A state with the index of the last command."""

    def __init__(self, *commands: AnyCommand):
        """Start with ``commands`` applied from index 1 on."""
        self.state = ShareState()
        self.index = LogIndex(0)
        for command in commands:
            self.apply(command)

    def apply(self, command: AnyCommand) -> ShareOutcome:
        """Apply one command at the next index."""
        self.index = LogIndex(self.index + 1)
        return self.state.apply(command, self.index)

    def held(self, resource: ResourceId = TARGET) -> Amount:
        """Return the sum of the held amounts of a resource."""
        known = self.state.view().resources.get(resource)
        return known.held if known else 0
