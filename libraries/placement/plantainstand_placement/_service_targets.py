"""The targets of one service and their order for each object."""

import math
from collections.abc import Mapping, Sequence
from datetime import timedelta

import xxhash
from plantainstand_core import AvailabilityZoneId, RegionId

from plantainstand_placement._target import TargetState

LEAST_SPARE_SLOTS = 0.01
"""Weight of a region without slots to spare: it comes last."""

MAX_REMEMBERED_ORDERS = 4096
"""Orders kept before all are forgotten: a few times the objects of a service.
Hashing all targets for each request would cost more than passing it on."""

GREY_FAILURE_RATE = 0.3
"""Above this a target is passed over while others have room; ordinary errors
are below one in a hundred."""

GREY_FAILURE_MULTIPLE = 1.6
"""A target is passed over only if it fails this much more often than its
service's targets do on average. When all fail alike, leaving the object's
target would only make the next one serve it cold."""

FAILURE_LIMIT_LIFETIME = timedelta(milliseconds=100)
"""Time for which a computed limit is used: a tenth of the time in which the
moving failure rates change much."""

_HASH_SPAN = 2**64


class ServiceTargets:
    """Targets of a service; what is derived from all of them is remembered."""

    def __init__(self, states: Sequence[TargetState]):
        """Take the targets that are not leaving."""
        self._states = tuple(states)
        self._slots = tuple(_slots(state) for state in self._states)
        self._orders: dict[object, Sequence[TargetState]] = {}
        self._failure_limit = GREY_FAILURE_RATE
        self._failure_limit_until: timedelta | None = None

    @property
    def states(self) -> Sequence[TargetState]:
        """The targets, in the order of the list."""
        return self._states

    def holds(self, states: Sequence[TargetState]) -> bool:
        """Tell whether these are the same targets with the same slots."""
        return self._states == tuple(states) and self._slots == tuple(
            _slots(state) for state in states
        )

    def failure_limit(self, now: timedelta) -> float:
        """Return the failure rate above which a target is passed over."""
        valid_until = self._failure_limit_until
        if valid_until is None or now > valid_until:
            rates = [state.failure_rate(now) for state in self._states]
            mean = sum(rates) / max(1, len(rates))
            self._failure_limit = max(
                GREY_FAILURE_RATE,
                mean * GREY_FAILURE_MULTIPLE,
            )
            self._failure_limit_until = now + FAILURE_LIMIT_LIFETIME
        return self._failure_limit

    def order(
        self,
        object_key: bytes,
        region: RegionId,
        evacuating: frozenset[AvailabilityZoneId],
    ) -> Sequence[TargetState]:
        """Return an object's order of targets.

        It is the same on all entry VMs of a region; ``region`` is this VM's.
        Targets of evacuated availability zones are left out.
        """
        key = (object_key, region, evacuating)
        known = self._orders.get(key)
        if known is None:
            if len(self._orders) >= MAX_REMEMBERED_ORDERS:
                self._orders.clear()
            known = _order_targets(object_key, region, self._usable(evacuating))
            self._orders[key] = known
        return known

    def _usable(
        self,
        evacuating: frozenset[AvailabilityZoneId],
    ) -> Sequence[TargetState]:
        return [
            state
            for state in self._states
            if state.entry.availability_zone not in evacuating
        ]


def _order_targets(
    object_key: bytes,
    region: RegionId,
    states: Sequence[TargetState],
) -> Sequence[TargetState]:
    """Order whole regions first, so that overflow stays in one region."""
    preference = _region_order(object_key, region, _slots_by_region(states))
    rank_of = {place: rank for rank, place in enumerate(preference)}

    def position(state: TargetState) -> tuple[int, float]:
        return (
            rank_of[state.entry.region],
            _hashed_position(object_key, state.order_seed, _slots(state)),
        )

    return tuple(sorted(states, key=position))


def _region_order(
    object_key: bytes,
    region: RegionId,
    slots_of: Mapping[RegionId, int],
) -> Sequence[RegionId]:
    """Return the regions that serve an object, best first.

    A region keeps what its slots can take if each region brings as many
    requests. The other objects go to regions with slots to spare, in
    proportion to these. Targets that can't be reached for a moment count, or
    each of them would move the objects of others.
    """
    fair = sum(slots_of.values()) / max(1, len(slots_of))
    spare_of = {
        place: max(float(0), slots - fair)
        for place, slots in slots_of.items()
        if place != region
    }
    others = sorted(
        spare_of,
        key=lambda place: _hashed_position(
            object_key,
            _region_seed(place),
            max(spare_of[place], LEAST_SPARE_SLOTS),
        ),
    )
    if region not in slots_of:
        return others
    kept_share = slots_of[region] / fair
    if others and _hashed_share(object_key, _region_seed(region)) > kept_share:
        return (others[0], region, *others[1:])
    return (region, *others)


def _hashed_share(object_key: bytes, seed: int) -> float:
    """Return a number above 0 and at most 1 for an object."""
    digest = xxhash.xxh64_intdigest(object_key, seed)
    return (digest + 1) / _HASH_SPAN


def _hashed_position(object_key: bytes, seed: int, weight: float) -> float:
    """Return a place in weighted rendezvous order; the least comes first."""
    return -math.log(_hashed_share(object_key, seed)) / weight


def _region_seed(region: RegionId) -> int:
    return xxhash.xxh32_intdigest(region.encode())


def _slots_by_region(states: Sequence[TargetState]) -> dict[RegionId, int]:
    slots_of: dict[RegionId, int] = {}
    for state in states:
        place = state.entry.region
        slots_of[place] = slots_of.get(place, 0) + _slots(state)
    return slots_of


def _slots(state: TargetState) -> int:
    return max(1, state.entry.slots)
