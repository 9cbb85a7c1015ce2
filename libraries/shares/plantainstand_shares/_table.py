"""Share table: how much of each resource each incarnation may use.

The sum of the amounts that the holders of a resource may still use never grows
beyond the capacity: the table refuses such a change regardless of the planner.
"""

import math
from collections.abc import Iterable, Mapping
from types import MappingProxyType

import msgspec
from plantainstand_core import Incarnation, LogIndex, ResourceId, VmId

from plantainstand_shares._commands import (
    Amount,
    ConfirmRelease,
    ShareChange,
    ShareUnit,
)
from plantainstand_shares._view import ResourceShares, Share, VmIncarnation

_NO_SHARES = ResourceShares(ShareUnit.COUNT, 0, {}, 0)


class ShareRow(msgspec.Struct, frozen=True, array_like=True):
    """One share in a snapshot."""

    vm: VmId
    incarnation: Incarnation
    share: Amount
    held: Amount
    version: LogIndex


class ResourceEntry(msgspec.Struct, frozen=True, array_like=True):
    """One resource in a snapshot."""

    resource: ResourceId
    unit: ShareUnit
    capacity: Amount
    rows: tuple[ShareRow, ...]


class ShareTable:
    """Mutable part of the state machine that stores the shares."""

    def __init__(self, entries: Iterable[ResourceEntry] = ()):
        """Create a table with the contents of a snapshot."""
        self._resources: dict[ResourceId, ResourceShares] = {}
        self._by_vm: dict[VmIncarnation, dict[ResourceId, Share]] = {}
        self._vm_views: dict[VmIncarnation, Mapping[ResourceId, Share]] = {}
        for entry in entries:
            holders = {
                VmIncarnation(row.vm, row.incarnation): Share(
                    entry.resource,
                    row.vm,
                    row.incarnation,
                    entry.unit,
                    row.share,
                    row.held,
                    row.version,
                )
                for row in entry.rows
            }
            self._store(entry.resource, entry.unit, entry.capacity, holders)

    @property
    def resources(self) -> Mapping[ResourceId, ResourceShares]:
        """Immutable copy by resource."""
        return MappingProxyType(self._resources.copy())

    @property
    def by_vm(self) -> Mapping[VmIncarnation, Mapping[ResourceId, Share]]:
        """Immutable copy by holder; reuses mappings of unchanged holders."""
        for key, shares in self._by_vm.items():
            if key not in self._vm_views:
                self._vm_views[key] = MappingProxyType(shares.copy())
        return MappingProxyType(self._vm_views.copy())

    def apply_change(self, change: ShareChange, index: LogIndex) -> bool:
        """Set shares of a resource; False if they exceed the capacity."""
        old = self._resources.get(change.resource, _NO_SHARES)
        holders = dict(old.holders)
        for grant in change.grants:
            key = VmIncarnation(grant.vm, grant.incarnation)
            held = holders[key].held if key in holders else 0
            holders[key] = Share(
                change.resource,
                grant.vm,
                grant.incarnation,
                change.unit,
                grant.share,
                max(grant.share, held),
                index,
            )
        if _held_sum(holders) > max(change.capacity, old.held):
            return False
        self._store(change.resource, change.unit, change.capacity, holders)
        return True

    def confirm_release(self, command: ConfirmRelease) -> bool:
        """Lower the held amount to the share.

        Returns False if the share has changed since the confirmed version.
        """
        key = VmIncarnation(command.vm, command.incarnation)
        share = self._by_vm.get(key, {}).get(command.resource)
        if share is None or share.version != command.version:
            return False
        lowered = msgspec.structs.replace(share, held=share.share)
        self._replace(command.resource, key, lowered)
        return True

    def remove_holder(self, key: VmIncarnation) -> None:
        """Remove all shares of an incarnation."""
        for resource in tuple(self._by_vm.get(key, ())):
            self._replace(resource, key, None)

    def entries(self) -> tuple[ResourceEntry, ...]:
        """Return the contents for a snapshot in a deterministic order."""
        return tuple(
            ResourceEntry(
                resource,
                current.unit,
                current.capacity,
                tuple(
                    ShareRow(*key, share.share, share.held, share.version)
                    for key, share in sorted(current.holders.items())
                ),
            )
            for resource, current in sorted(self._resources.items())
        )

    def _replace(
        self,
        resource: ResourceId,
        key: VmIncarnation,
        share: Share | None,
    ) -> None:
        current = self._resources[resource]
        holders = dict(current.holders)
        holders.pop(key)
        if share is not None:
            holders[key] = share
        self._store(resource, current.unit, current.capacity, holders)

    def _store(
        self,
        resource: ResourceId,
        unit: ShareUnit,
        capacity: Amount,
        holders: Mapping[VmIncarnation, Share],
    ) -> None:
        old = self._resources.pop(resource, _NO_SHARES)
        remaining = {key: share for key, share in holders.items() if share.held}
        self._update_by_vm(resource, old.holders, remaining)
        if remaining:
            self._resources[resource] = ResourceShares(
                unit,
                capacity,
                MappingProxyType(remaining),
                _held_sum(remaining),
            )

    def _update_by_vm(
        self,
        resource: ResourceId,
        old: Mapping[VmIncarnation, Share],
        new: Mapping[VmIncarnation, Share],
    ) -> None:
        for key in old.keys() | new.keys():
            share = new.get(key)
            if share is old.get(key):
                continue
            self._vm_views.pop(key, None)
            shares = self._by_vm.setdefault(key, {})
            if share is None:
                shares.pop(resource)
            else:
                shares[resource] = share
            if not shares:
                self._by_vm.pop(key)


def _held_sum(holders: Mapping[VmIncarnation, Share]) -> Amount:
    # The sum of integers must stay an integer. For floats, fsum rounds only
    # once, so the result does not depend on the order of the holders.
    amounts = [share.held for share in holders.values()]
    if all(isinstance(amount, int) for amount in amounts):
        return sum(amounts)
    return math.fsum(amounts)
