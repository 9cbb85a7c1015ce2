"""Planner of safe share changes toward an even split."""

import operator
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from functools import cache, partial

from plantainstand_core import Incarnation, LogIndex, ResourceId, VmId

from plantainstand_shares._commands import (
    Amount,
    ShareChange,
    ShareGrant,
    ShareUnit,
)
from plantainstand_shares._growth import divide_capacity
from plantainstand_shares._split import split_counts, split_rate
from plantainstand_shares._view import (
    RegistryView,
    ResourceShares,
    Share,
    ShareView,
    VmIncarnation,
)


@dataclass(frozen=True)
class ShareDemand:
    """Capacity of a limited resource and the VMs that may hold shares."""

    resource: ResourceId
    unit: ShareUnit
    capacity: Amount
    """A whole number for counts; zero for a draining target."""

    tiers: tuple[tuple[VmId, ...], ...]
    """VMs by preference; only the first tier with a live VM gets shares."""


_Owners = tuple[VmIncarnation, ...]
_DesiredShares = Mapping[VmIncarnation, Amount]
_EMPTY_SHARE = Share(
    ResourceId(''),
    VmId(''),
    Incarnation(0),
    ShareUnit.COUNT,
    share=0,
    held=0,
    version=LogIndex(0),
)
_NO_SHARES = ResourceShares(ShareUnit.COUNT, 0, {}, 0)


def plan_shares(
    demands: Sequence[ShareDemand],
    share_view: ShareView,
) -> Sequence[ShareChange]:
    """Return the share changes that are safe now.

    Shares above the desired split are lowered; other shares are raised as far
    as the capacity allows in addition to the amounts still held. If this is
    repeated after every confirmed release and reclaim, the table reaches the
    desired split, for which no changes are returned. Resources without a
    demand are removed. Equal arguments give equal results.
    """
    return SharePlanner().plan(demands, share_view)


class SharePlanner:
    """Plans like :func:`plan_shares`, with a cache of unchanged resources.

    Resources that needed no change are not examined again until their demand
    or their shares change.
    """

    def __init__(self) -> None:
        """Create a planner with an empty cache."""
        self._settled: dict[_Owners, _Group] = {}

    def plan(
        self,
        demands: Sequence[ShareDemand],
        share_view: ShareView,
    ) -> Sequence[ShareChange]:
        """Return the share changes; see :func:`plan_shares`."""
        settled: dict[_Owners, _Group] = {}
        changes: list[ShareChange] = []
        for owners, group_demands in _group_by_owners(
            demands, share_view
        ).items():
            group = _Group(group_demands, share_view)
            if not group.equals(self._settled.get(owners)):
                planned = _plan_group(group, owners, share_view)
                unsettled = [change for change in planned if change.grants]
                changes.extend(unsettled)
                if unsettled:
                    continue
            settled[owners] = group
        self._settled = settled
        return changes


class _Group:
    """Resources with the same owners, and their current shares."""

    __slots__ = ('demands', 'present')

    def __init__(self, demands: Sequence[ShareDemand], view: ShareView):
        self.demands = demands
        self.present = [
            view.resources.get(demand.resource, _NO_SHARES)
            for demand in demands
        ]

    def equals(self, other: '_Group | None') -> bool:
        # Successive views share unchanged objects, so comparing their identity
        # is sufficient.
        return (
            other is not None
            and self.demands == other.demands
            and all(map(operator.is_, self.present, other.present))
        )


def _group_by_owners(
    demands: Sequence[ShareDemand],
    view: ShareView,
) -> Mapping[_Owners, Sequence[ShareDemand]]:
    groups: dict[_Owners, list[ShareDemand]] = {}
    find_owners = cache(partial(_find_owners, view.registry))
    for demand in (*demands, *_removed_resources(demands, view)):
        groups.setdefault(find_owners(demand.tiers), []).append(demand)
    return groups


def _removed_resources(
    demands: Iterable[ShareDemand],
    view: ShareView,
) -> Iterator[ShareDemand]:
    current = view.resources
    for resource in sorted(
        current.keys() - {demand.resource for demand in demands},
    ):
        yield ShareDemand(resource, current[resource].unit, 0, ())


def _find_owners(
    registry: RegistryView,
    tiers: tuple[tuple[VmId, ...], ...],
) -> _Owners:
    newest = registry.newest
    for tier in tiers:
        owners = tuple(
            newest[vm].key
            for vm in sorted(set(tier))
            if vm in newest and newest[vm].may_get_shares
        )
        if owners:
            return owners
    return ()


def _plan_group(
    group: _Group,
    owners: _Owners,
    view: ShareView,
) -> Iterator[ShareChange]:
    desired = _desired_shares(group, owners)
    for demand, current in zip(group.demands, group.present):
        yield _plan_resource(demand, current, view, desired[demand.resource])


def _desired_shares(
    group: _Group,
    owners: _Owners,
) -> Mapping[ResourceId, _DesiredShares]:
    desired: dict[ResourceId, _DesiredShares] = {
        demand.resource: _equal_rates(demand, owners)
        for demand in group.demands
        if not owners or demand.unit is ShareUnit.RATE
    }
    counted = [
        (demand, _present_shares(current))
        for demand, current in zip(group.demands, group.present)
        if demand.resource not in desired
    ]
    if counted:
        splits = split_counts(
            [int(pair[0].capacity) for pair in counted],
            [pair[1] for pair in counted],
            owners,
        )
        desired.update(zip((pair[0].resource for pair in counted), splits))
    return desired


def _equal_rates(demand: ShareDemand, owners: _Owners) -> _DesiredShares:
    if not owners:
        return {}
    return dict.fromkeys(owners, split_rate(demand.capacity, len(owners)))


def _present_shares(current: ResourceShares) -> _DesiredShares:
    return {key: share.share for key, share in current.holders.items()}


def _plan_resource(
    demand: ShareDemand,
    current: ResourceShares,
    view: ShareView,
    desired: _DesiredShares,
) -> ShareChange:
    lowered = {
        key: desired.get(key, 0)
        for key, share in current.holders.items()
        if share.share > desired.get(key, 0) and view.member(key)
    }
    grown = _grown_shares(demand, current, desired)
    return ShareChange(
        demand.resource,
        demand.unit,
        demand.capacity,
        tuple(
            ShareGrant(key.vm, key.incarnation, share)
            for key, share in (lowered | grown).items()
        ),
    )


def _grown_shares(
    demand: ShareDemand,
    current: ResourceShares,
    desired: _DesiredShares,
) -> dict[VmIncarnation, Amount]:
    # The held amounts already count against the capacity, so only growth above
    # them needs free capacity.
    present = {key: current.holders.get(key, _EMPTY_SHARE) for key in desired}
    needed = {
        key: desired_share - present[key].held
        for key, desired_share in desired.items()
        if desired_share > present[key].held
    }
    available = max(0, demand.capacity - current.held)
    granted = divide_capacity(available, needed, demand.unit)
    reachable = {
        key: min(desired_share, present[key].held + granted.get(key, 0))
        for key, desired_share in desired.items()
    }
    return {
        key: share
        for key, share in reachable.items()
        if share > present[key].share
    }
