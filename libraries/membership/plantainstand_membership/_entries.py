"""Answers to callers that ask which entry VMs to use."""

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
# zone. 1,024 groups spread callers over a zone's VMs within a few percent.
_GROUPS = 1024
_HASH_BITS = 64
_DEFAULT_LIMIT = 12


@dataclass(frozen=True)
class EntryVm:
    """A registered entry VM."""

    vm: VmId
    host: str
    port: int
    availability_zone: AvailabilityZoneId
    region: RegionId

    weight: float = 1
    """Share of the callers, relative to the other VMs; above zero."""

    usable: bool = True
    """False for a VM that is leaving or lapsed; it is not named."""


@dataclass(frozen=True)
class EntryAnswer:
    """Entry VMs for one caller."""

    version: int
    """Version of the snapshot that gave the answer."""

    lifetime: timedelta
    entries: Sequence[EntryVm]
    """The one to use first comes first."""


@dataclass(frozen=True)
class _Zone:
    zone: AvailabilityZoneId
    region: RegionId
    weight: float
    members: Sequence[EntryVm]


_Answers: TypeAlias = list[EntryAnswer | None]


class EntrySnapshot:
    """Immutable set of entry VMs with the orders computed so far.

    An order is computed on the first look-up of a caller group from a zone
    and kept until the snapshot is replaced.
    """

    def __init__(
        self,
        version: int,
        vms: Iterable[EntryVm],
        regions: Mapping[AvailabilityZoneId, RegionId],
        limit: int = _DEFAULT_LIMIT,
    ):
        """Use the usable VMs.

        ``regions`` maps every zone a caller can be in, also one without
        entry VMs. ``limit`` is the largest number of VMs in an answer.
        """
        self._version = version
        self._regions = dict(regions)
        self._limit = limit
        self._zones = _group(vm for vm in vms if vm.usable)
        self._answers: dict[AvailabilityZoneId | None, _Answers] = {}
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
            answers = [None for _ in range(_GROUPS)]
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
            room = self._limit - len(entries)
            # Half of the room is kept for other zones, because the caller's
            # own zone can be lost as a whole.
            kept = min(sum(map(_size, later)), room // 2)
            entries.extend(self._rank_tier(group, tier, room - kept))
        return entries

    def _tiers(self, zone: AvailabilityZoneId | None) -> Sequence[list[_Zone]]:
        region = None if zone is None else self._regions.get(zone)
        tiers: tuple[list[_Zone], list[_Zone], list[_Zone]] = ([], [], [])
        for other in self._zones:
            place = 1 if other.region == region else 2
            tiers[0 if other.zone == zone else place].append(other)
        return tiers

    def _rank_tier(
        self,
        group: int,
        tier: Sequence[_Zone],
        room: int,
    ) -> Iterable[EntryVm]:
        # Takes the first VM of each zone, then the second ones: when a zone
        # is lost, the next VM in the list is in another one.
        score = partial(_zone_score, group)
        zones = heapq.nlargest(room, tier, key=score)
        orders = [self._zone_order(group, zone) for zone in zones]
        longest = max(map(len, orders), default=0)
        interleaved = (
            order[place]
            for place in range(longest)
            for order in orders
            if place < len(order)
        )
        return tuple(interleaved)[:room]

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
    """Return the entry VMs for a caller, best first.

    VMs of the caller's zone come first, then those of its region, then the
    others; inside each part, rendezvous hashing spreads the callers. When a
    VM leaves, only the callers that used it move. ``zone`` is ``None`` when
    the caller's place is not known.
    """
    group = xxhash.xxh3_64_intdigest(caller_id.encode()) % _GROUPS
    return snapshot.answer(group, zone)


def _group(vms: Iterable[EntryVm]) -> Sequence[_Zone]:
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


def _size(zone: _Zone) -> int:
    return len(zone.members)


def _weight(vm: EntryVm) -> float:
    return vm.weight


def _vm_score(group: int, vm: EntryVm) -> float:
    return _score(vm.vm, group, vm.weight)


def _zone_score(group: int, zone: _Zone) -> float:
    return _score(zone.zone, group, zone.weight)


def _score(name: str, group: int, weight: float) -> float:
    # Weighted rendezvous hashing: the chance to have the largest score is in
    # proportion to the weight.
    digest = xxhash.xxh3_64_intdigest(name.encode(), seed=group)
    return -weight / math.log((digest + 1) / (2**_HASH_BITS + 2))
