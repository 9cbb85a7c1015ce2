"""Planner: one safe step from the present shares to the wanted ones."""

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
from plantainstand_shares._growth import share_out
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
    """A limited resource and who may own it."""

    resource: ResourceId
    unit: ShareUnit
    capacity: Amount
    """Whole number for counts; zero for a draining target."""

    tiers: tuple[tuple[VmId, ...], ...]
    """VMs by preference; the first tier with a live VM owns everything."""


_Owners = tuple[VmIncarnation, ...]
_Wanted = Mapping[VmIncarnation, Amount]
_NO_SHARE = Share(
    ResourceId(''),
    VmId(''),
    Incarnation(0),
    ShareUnit.COUNT,
    share=0,
    held=0,
    version=LogIndex(0),
)
_NONE_HELD = ResourceShares(ShareUnit.COUNT, 0, {}, 0)


def plan_shares(
    demands: Sequence[ShareDemand],
    share_view: ShareView,
) -> Sequence[ShareChange]:
    """Return the changes that can be made now.

    Shares above the wanted split are lowered; others grow as far as the
    capacity allows beside all that is still held. Called again after every
    confirmed release or reclaim, the table reaches the wanted split, for
    which nothing is returned. Resources without a demand are removed. The
    result is the same for equal arguments.
    """
    return SharePlanner().plan(demands, share_view)


class SharePlanner:
    """Remembers what needs no change, so that it is not examined again.

    The results are those of :func:`plan_shares`.
    """

    def __init__(self) -> None:
        """Start without memory."""
        self._settled: dict[_Owners, _Group] = {}

    def plan(
        self,
        demands: Sequence[ShareDemand],
        share_view: ShareView,
    ) -> Sequence[ShareChange]:
        """See :func:`plan_shares`."""
        settled: dict[_Owners, _Group] = {}
        changes: list[ShareChange] = []
        for owners, demanded in _groups(demands, share_view).items():
            group = _Group(demanded, share_view)
            if not group.equals(self._settled.get(owners)):
                steps = _group_steps(group, owners, share_view)
                unsettled = [step for step in steps if step.grants]
                changes.extend(unsettled)
                if unsettled:
                    continue
            settled[owners] = group
        self._settled = settled
        return changes


class _Group:
    """Resources with the same owners and their present shares."""

    __slots__ = ('demands', 'present')

    def __init__(self, demands: Sequence[ShareDemand], view: ShareView):
        self.demands = demands
        self.present = [
            view.resources.get(demand.resource, _NONE_HELD)
            for demand in demands
        ]

    def equals(self, other: '_Group | None') -> bool:
        # Views share what has not changed, so identity is enough.
        return (
            other is not None
            and self.demands == other.demands
            and all(map(operator.is_, self.present, other.present))
        )


def _groups(
    demands: Sequence[ShareDemand],
    view: ShareView,
) -> Mapping[_Owners, Sequence[ShareDemand]]:
    groups: dict[_Owners, list[ShareDemand]] = {}
    find_owners = cache(partial(_find_owners, view.registry))
    for demand in (*demands, *_removed(demands, view)):
        groups.setdefault(find_owners(demand.tiers), []).append(demand)
    return groups


def _removed(
    demands: Iterable[ShareDemand],
    view: ShareView,
) -> Iterator[ShareDemand]:
    known = view.resources
    for resource in sorted(
        known.keys() - {demand.resource for demand in demands},
    ):
        yield ShareDemand(resource, known[resource].unit, 0, ())


def _find_owners(
    register: RegistryView,
    tiers: tuple[tuple[VmId, ...], ...],
) -> _Owners:
    newest = register.newest
    for tier in tiers:
        owners = tuple(
            newest[vm].key
            for vm in sorted(set(tier))
            if vm in newest and newest[vm].may_get_shares
        )
        if owners:
            return owners
    return ()


def _group_steps(
    group: _Group,
    owners: _Owners,
    view: ShareView,
) -> Iterator[ShareChange]:
    wanted = _wanted_shares(group, owners)
    for demand, known in zip(group.demands, group.present):
        yield _step(demand, known, view, wanted[demand.resource])


def _wanted_shares(
    group: _Group,
    owners: _Owners,
) -> Mapping[ResourceId, _Wanted]:
    wanted: dict[ResourceId, _Wanted] = {
        demand.resource: _equal_rates(demand, owners)
        for demand in group.demands
        if not owners or demand.unit is ShareUnit.RATE
    }
    counted = [
        (demand, _present_shares(known))
        for demand, known in zip(group.demands, group.present)
        if demand.resource not in wanted
    ]
    if counted:
        splits = split_counts(
            [int(pair[0].capacity) for pair in counted],
            [pair[1] for pair in counted],
            owners,
        )
        wanted.update(zip((pair[0].resource for pair in counted), splits))
    return wanted


def _equal_rates(demand: ShareDemand, owners: _Owners) -> _Wanted:
    if not owners:
        return {}
    return dict.fromkeys(owners, split_rate(demand.capacity, len(owners)))


def _present_shares(known: ResourceShares) -> _Wanted:
    return {key: share.share for key, share in known.holders.items()}


def _step(
    demand: ShareDemand,
    known: ResourceShares,
    view: ShareView,
    wanted: _Wanted,
) -> ShareChange:
    lowered = {
        key: wanted.get(key, 0)
        for key, share in known.holders.items()
        if share.share > wanted.get(key, 0) and view.member(key)
    }
    grown = _growth(demand, known, wanted)
    return ShareChange(
        demand.resource,
        demand.unit,
        demand.capacity,
        tuple(
            ShareGrant(key.vm, key.incarnation, share)
            for key, share in (lowered | grown).items()
        ),
    )


def _growth(
    demand: ShareDemand,
    known: ResourceShares,
    wanted: _Wanted,
) -> dict[VmIncarnation, Amount]:
    # What a VM still holds costs nothing; only growth above it needs room.
    present = {key: known.holders.get(key, _NO_SHARE) for key in wanted}
    needs = {
        key: target - present[key].held
        for key, target in wanted.items()
        if target > present[key].held
    }
    room = max(0, demand.capacity - known.held)
    given = share_out(room, needs, demand.unit)
    reached = {
        key: min(target, present[key].held + given.get(key, 0))
        for key, target in wanted.items()
    }
    return {
        key: share
        for key, share in reached.items()
        if share > present[key].share
    }
