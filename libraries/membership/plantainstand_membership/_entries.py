"""Ordered lists of entry VMs for callers."""

import heapq
import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from operator import itemgetter
from typing import TypeAlias

import xxhash
from plantainstand_core import AvailabilityZoneId, RegionId, VmId

ENTRY_LIFETIME = timedelta(seconds=3)

# Callers are hashed into groups, and an order is computed once per group and
# zone. With 1,024 groups, the VMs of a zone get equal numbers of callers within
# a few percent.
_CALLER_GROUP_COUNT = 1024
_HASH_BITS = 64
_DEFAULT_ENTRY_COUNT = 12


@dataclass(frozen=True)
class EntryVm:
    """A registered entry VM."""

    vm: VmId
    host: str
    port: int
    availability_zone: AvailabilityZoneId
    region: RegionId

    weight: float = 1
    """Weight of the VM in the distribution of callers; above zero."""

    usable: bool = True
    """False for a leaving or lapsed VM, which is not listed."""


@dataclass(frozen=True)
class EntryAnswer:
    """Entry VMs for one caller."""

    version: int
    """Version of the snapshot that the answer is based on."""

    lifetime: timedelta
    entries: Sequence[EntryVm]
    """In order of preference."""


@dataclass(frozen=True)
class _Zone:
    zone: AvailabilityZoneId
    region: RegionId
    weight: float
    members: Sequence[EntryVm]


_GroupAnswers: TypeAlias = list[EntryAnswer | None]


class EntrySnapshot:
    """Immutable set of entry VMs with a cache of computed orders.

    The order for a caller group and zone is computed on the first look-up and
    cached for the lifetime of the snapshot.
    """

    def __init__(
        self,
        version: int,
        vms: Iterable[EntryVm],
        regions: Mapping[AvailabilityZoneId, RegionId],
        limit: int = _DEFAULT_ENTRY_COUNT,
    ):
        """Create a snapshot of the usable VMs.

        ``regions`` maps every availability zone of callers to its region,
        including zones without entry VMs. ``limit`` is the maximum number of
        VMs in an answer.
        """
        self._version = version
        self._regions = dict(regions)
        self._limit = limit
        self._zones = _group_by_zone(vm for vm in vms if vm.usable)
        self._answers: dict[AvailabilityZoneId | None, _GroupAnswers] = {}
        self._orders: dict[
            tuple[AvailabilityZoneId, int], Sequence[EntryVm]
        ] = {}

    @property
    def version(self) -> int:
        """Version of the set of VMs."""
        return self._version

    def answer(
        self,
        group: int,
        zone: AvailabilityZoneId | None,
    ) -> EntryAnswer:
        """Return the answer for a caller group; see :func:`rank_entries`."""
        answers = self._answers.get(zone)
        if answers is None:
            answers = [None for _ in range(_CALLER_GROUP_COUNT)]
            if zone in self._regions:
                self._answers[zone] = answers
        found = answers[group]
        if found is None:
            entries = tuple(self._rank(group, zone))
            found = EntryAnswer(self._version, ENTRY_LIFETIME, entries)
            answers[group] = found
        return found

    def _rank(
        self,
        group: int,
        zone: AvailabilityZoneId | None,
    ) -> Sequence[EntryVm]:
        own, near, far = self._tiers(zone)
        entries: list[EntryVm] = []
        for tier, later in ((own, near + far), (near, far), (far, [])):
            remaining = self._limit - len(entries)
            # Half of the remaining places are reserved for later tiers, because
            # the caller's zone can fail as a whole.
            reserved = min(sum(map(_member_count, later)), remaining // 2)
            entries.extend(self._rank_tier(group, tier, remaining - reserved))
        return entries

    def _tiers(self, zone: AvailabilityZoneId | None) -> Sequence[list[_Zone]]:
        region = None if zone is None else self._regions.get(zone)
        tiers: tuple[list[_Zone], list[_Zone], list[_Zone]] = ([], [], [])
        for other in self._zones:
            tier_index = 1 if other.region == region else 2
            tiers[0 if other.zone == zone else tier_index].append(other)
        return tiers

    def _rank_tier(
        self,
        group: int,
        tier: Sequence[_Zone],
        remaining: int,
    ) -> Iterable[EntryVm]:
        # Interleaves the zones: the first VM of each zone, then the second
        # ones. If a zone fails, the next VM in the list is in another zone.
        score = partial(_zone_score, group)
        zones = heapq.nlargest(remaining, tier, key=score)
        orders = [self._zone_order(group, zone) for zone in zones]
        longest = max(map(len, orders), default=0)
        interleaved = (
            order[position]
            for position in range(longest)
            for order in orders
            if position < len(order)
        )
        return tuple(interleaved)[:remaining]

    def _zone_order(self, group: int, zone: _Zone) -> Sequence[EntryVm]:
        key = (zone.zone, group)
        order = self._orders.get(key)
        if order is None:
            score = partial(_vm_score, group)
            order = heapq.nlargest(self._limit, zone.members, key=score)
            self._orders[key] = order
        return order


def rank_entries(
    snapshot: EntrySnapshot,
    caller_id: str,
    zone: AvailabilityZoneId | None,
) -> EntryAnswer:
    """Return the entry VMs for a caller in order of preference.

    VMs of the caller's zone come first, then VMs of its region, then the
    others. Within each of these tiers, rendezvous hashing distributes the
    callers, so that only the callers of a leaving VM move to other VMs.
    ``zone`` is ``None`` if the caller's availability zone is not known.
    """
    group = xxhash.xxh3_64_intdigest(caller_id.encode()) % _CALLER_GROUP_COUNT
    return snapshot.answer(group, zone)


def _group_by_zone(vms: Iterable[EntryVm]) -> Sequence[_Zone]:
    members: dict[AvailabilityZoneId, list[EntryVm]] = {}
    for vm in vms:
        members.setdefault(vm.availability_zone, []).append(vm)
    return tuple(
        _Zone(
            zone,
            found[0].region,
            sum(map(_weight, found)),
            tuple(found),
        )
        for zone, found in sorted(members.items(), key=itemgetter(0))
    )


def _member_count(zone: _Zone) -> int:
    return len(zone.members)


def _weight(vm: EntryVm) -> float:
    return vm.weight


def _vm_score(group: int, vm: EntryVm) -> float:
    return _score(vm.vm, group, vm.weight)


def _zone_score(group: int, zone: _Zone) -> float:
    return _score(zone.zone, group, zone.weight)


def _score(name: str, group: int, weight: float) -> float:
    # Weighted rendezvous hashing: the probability of the highest score is
    # proportional to the weight.
    digest = xxhash.xxh3_64_intdigest(name.encode(), seed=group)
    return -weight / math.log((digest + 1) / (2**_HASH_BITS + 2))
