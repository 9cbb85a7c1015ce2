"""Planner: one safe step from the present shares to the wanted ones."""

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

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
    RegisterView,
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
    wanted = _wanted_shares(demands, share_view)
    steps = (
        _step(demand, share_view, wanted[demand.resource])
        for demand in (*demands, *_removed(demands, share_view))
    )
    return tuple(change for change in steps if change.grants)


def _removed(
    demands: Iterable[ShareDemand],
    view: ShareView,
) -> Iterator[ShareDemand]:
    known = view.resources
    for resource in sorted(
        known.keys() - {demand.resource for demand in demands},
    ):
        yield ShareDemand(resource, known[resource].unit, 0, ())


def _wanted_shares(
    demands: Sequence[ShareDemand],
    view: ShareView,
) -> Mapping[ResourceId, _Wanted]:
    wanted: dict[ResourceId, _Wanted] = dict.fromkeys(view.resources, {})
    groups: dict[_Owners, list[ShareDemand]] = {}
    find_owners = _OwnerSearch(view.register)
    for demand in demands:
        owners = find_owners(demand.tiers)
        wanted[demand.resource] = {}
        if owners and demand.unit is ShareUnit.RATE:
            share = split_rate(demand.capacity, len(owners))
            wanted[demand.resource] = dict.fromkeys(owners, share)
        elif owners:
            groups.setdefault(owners, []).append(demand)
    for owners, group in groups.items():
        wanted.update(_split_group(group, owners, view))
    return wanted


def _split_group(
    group: Sequence[ShareDemand],
    owners: _Owners,
    view: ShareView,
) -> Iterator[tuple[ResourceId, _Wanted]]:
    present = [
        {
            key: share.share
            for key, share in _held_of(view, demand.resource).holders.items()
        }
        for demand in group
    ]
    capacities = [int(demand.capacity) for demand in group]
    splits = split_counts(capacities, present, owners)
    return zip((demand.resource for demand in group), splits)


class _OwnerSearch:
    """Finds owners; most resources of a zone have equal tiers."""

    def __init__(self, register: RegisterView):
        self._register = register
        self._found: dict[tuple[tuple[VmId, ...], ...], _Owners] = {}

    def __call__(self, tiers: tuple[tuple[VmId, ...], ...]) -> _Owners:
        known = self._found.get(tiers)
        if known is None:
            known = self._search(tiers)
            self._found[tiers] = known
        return known

    def _search(self, tiers: tuple[tuple[VmId, ...], ...]) -> _Owners:
        newest = self._register.newest
        for tier in tiers:
            owners = tuple(
                newest[vm].key
                for vm in sorted(set(tier))
                if vm in newest and newest[vm].may_get_shares
            )
            if owners:
                return owners
        return ()


def _step(
    demand: ShareDemand,
    view: ShareView,
    wanted: _Wanted,
) -> ShareChange:
    known = _held_of(view, demand.resource)
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


def _held_of(view: ShareView, resource: ResourceId) -> ResourceShares:
    return view.resources.get(resource, _NONE_HELD)
