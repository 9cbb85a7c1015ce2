"""The targets of one service and their order for each object."""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from datetime import timedelta

import xxhash
from plantainstand_core import AvailabilityZoneId, RegionId

from plantainstand_placement._target import TargetState

MIN_SPARE_SLOTS = 0.01
"""Hashing weight of a region without spare slots, which orders it last."""

MAX_CACHED_ORDERS = 4096
"""Number of cached orders at which the cache is cleared: a few times the number
of objects of a service. Hashing all targets for each request would cost more
than forwarding the request."""

MAX_CACHED_POSITIONS = 512 * 1024
"""Targets in all cached orders together, 8 bytes each; less than
``MAX_CACHED_ORDERS`` allows for services of more than 128 targets."""

GREY_FAILURE_RATE = 0.3
"""Lowest failure rate above which a target is tried last; ordinary errors are
below 0.01."""

GREY_FAILURE_MULTIPLE = 1.6
"""Multiple of the mean failure rate of the service's targets above which a
target is tried last. When all targets fail alike, moving an object to another
target would only make that one serve the object cold."""

FAILURE_LIMIT_LIFETIME = timedelta(milliseconds=100)
"""Time for which a computed limit is reused: short beside the seconds in which
the moving failure rates change much."""

USUAL_LOADS_LIFETIME = timedelta(milliseconds=100)
"""Time for which computed means of the load are reused, for the same reason."""

MIN_REPORT_WEIGHT = 0.5
"""Weight of an assumed idle target in a mean of reports, so that the mean fades
when no reports arrive: a VM that rejects all requests would learn nothing."""

_HASH_SPAN = 2**64


class ServiceTargets:
    """Targets of a service, with a cache of what is derived from them."""

    def __init__(self, states: Sequence[TargetState]):
        """Hold the targets of a service that are not draining."""
        self._states = tuple(states)
        self._slots = tuple(_slots(state) for state in self._states)
        self._counts = Counter(state.entry.region for state in self._states)
        self._orders: dict[object, Sequence[TargetState]] = {}
        self._max_orders = min(
            MAX_CACHED_ORDERS,
            MAX_CACHED_POSITIONS // max(len(self._states), 1),
        )
        self._failure_limit = GREY_FAILURE_RATE
        self._failure_limit_until: timedelta | None = None
        self._usual_loads: Mapping[RegionId, float] = {}
        self._usual_loads_until: timedelta | None = None

    @property
    def states(self) -> Sequence[TargetState]:
        """The targets, in the order in which they were listed."""
        return self._states

    def matches(self, states: Sequence[TargetState]) -> bool:
        """Tell whether ``states`` are the same targets with the same slots."""
        return self._states == tuple(states) and self._slots == tuple(
            _slots(state) for state in states
        )

    def failure_limit(self, now: timedelta) -> float:
        """Return the failure rate above which a target is tried last."""
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

    def usual_loads(self, now: timedelta) -> Mapping[RegionId, float]:
        """Return the mean load by region that targets reported lately."""
        valid_until = self._usual_loads_until
        if valid_until is None or now > valid_until:
            self._usual_loads = _mean_loads(self._states, now)
            self._usual_loads_until = now + USUAL_LOADS_LIFETIME
        return self._usual_loads

    def count_in(self, region: RegionId) -> int:
        """Return the number of targets in a region."""
        return self._counts.get(region, 0)

    def order(
        self,
        object_key: bytes,
        region: RegionId,
        evacuating: frozenset[AvailabilityZoneId],
    ) -> Sequence[TargetState]:
        """Return the targets in the order in which an object prefers them.

        The order is the same on all entry VMs of a region; ``region`` is the
        region of this VM. Targets in the availability zones ``evacuating`` are
        left out.
        """
        key = (object_key, region, evacuating)
        cached = self._orders.get(key)
        if cached is None:
            if len(self._orders) >= self._max_orders:
                self._orders.clear()
            cached = _order_targets(
                object_key, region, self._usable(evacuating)
            )
            self._orders[key] = cached
        return cached

    def _usable(
        self,
        evacuating: frozenset[AvailabilityZoneId],
    ) -> Sequence[TargetState]:
        return [
            state
            for state in self._states
            if state.entry.availability_zone not in evacuating
        ]


def _mean_loads(
    states: Sequence[TargetState], now: timedelta
) -> Mapping[RegionId, float]:
    loads: dict[RegionId, float] = {}
    weights: dict[RegionId, float] = {}
    for state in states:
        weight = state.other_load.weight(now)
        place = state.entry.region
        load = state.in_flight + state.other_load.last
        loads[place] = loads.get(place, 0) + weight * load
        weights[place] = weights.get(place, MIN_REPORT_WEIGHT) + weight
    return {place: load / weights[place] for place, load in loads.items()}


def _order_targets(
    object_key: bytes,
    region: RegionId,
    states: Sequence[TargetState],
) -> Sequence[TargetState]:
    """Order regions first, then targets, so that overflow stays in a region."""
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
    """Return the regions that serve an object, preferred first.

    A region keeps as many of its objects as its slots can serve if all regions
    bring equally many requests. The remaining objects go to regions with spare
    slots, in proportion to these. Targets that are unreachable for a moment
    count as well; otherwise each of them would move objects of other targets.
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
            max(spare_of[place], MIN_SPARE_SLOTS),
        ),
    )
    if region not in slots_of:
        return others
    kept_share = slots_of[region] / fair
    if others and _hashed_share(object_key, _region_seed(region)) > kept_share:
        return (others[0], region, *others[1:])
    return (region, *others)


def _hashed_share(object_key: bytes, seed: int) -> float:
    """Return the hash of an object as a number above 0 and at most 1."""
    digest = xxhash.xxh64_intdigest(object_key, seed)
    return (digest + 1) / _HASH_SPAN


def _hashed_position(object_key: bytes, seed: int, weight: float) -> float:
    """Return the sort key for weighted rendezvous hashing, least first."""
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
