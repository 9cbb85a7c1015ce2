"""Even splits of capacities that change little from split to split."""

import math
from collections.abc import Callable, Mapping, Sequence
from itertools import repeat

from plantainstand_shares._commands import Amount
from plantainstand_shares._view import VmIncarnation

# Rates are multiples of this binary fraction. Their float sums are exact, so
# rounding cannot make the sum of the shares exceed the capacity.
_RATE_STEP = 1 / 1024
# A split is kept if the totals per VM differ by at most this number of slots,
# so that slots do not move without need.
_MAX_KEPT_SPREAD = 2

Counts = dict[VmIncarnation, int]


def split_rate(capacity: Amount, owners: int) -> float:
    """Return the equal share of each of ``owners`` owners."""
    return math.floor(capacity / owners / _RATE_STEP) * _RATE_STEP


def split_counts(
    capacities: Sequence[int],
    present: Sequence[Mapping[VmIncarnation, Amount]],
    owners: Sequence[VmIncarnation],
) -> list[Counts]:
    """Split resources that have the same owners into whole numbers.

    Every owner gets the even share of each resource, rounded down. The
    remaining units, at most one per owner and resource, are assigned so that
    the totals of the owners are even and that owners keep the units they have
    in ``present`` where possible. The result has one mapping per resource.
    """
    parts = [divmod(capacity, len(owners)) for capacity in capacities]
    extras = [
        {owner for owner in owners if present_shares.get(owner, 0) > part[0]}
        for part, present_shares in zip(parts, present)
    ]
    spread = _total_spread(extras, owners)
    is_even = all(map(_is_even_split, parts, present, repeat(owners)))
    if not is_even or spread > _MAX_KEPT_SPREAD:
        reassigned = _assign_extras([part[1] for part in parts], extras, owners)
        # Prevents alternation between two equally even splits.
        if not is_even or _total_spread(reassigned, owners) < spread:
            extras = reassigned
    return [
        {owner: part[0] + (owner in chosen) for owner in owners}
        for part, chosen in zip(parts, extras)
    ]


def _is_even_split(
    part: tuple[int, int],
    present_shares: Mapping[VmIncarnation, Amount],
    owners: Sequence[VmIncarnation],
) -> bool:
    base, extra_count = part
    above = [present_shares.get(owner, 0) - base for owner in owners]
    return sum(above) == extra_count and all(extra in {0, 1} for extra in above)


def _total_spread(
    extras: Sequence[set[VmIncarnation]],
    owners: Sequence[VmIncarnation],
) -> int:
    totals = _totals(extras, owners).values()
    return max(totals) - min(totals)


def _totals(
    extras: Sequence[set[VmIncarnation]],
    owners: Sequence[VmIncarnation],
) -> Counts:
    totals = dict.fromkeys(owners, 0)
    for holders in extras:
        for holder in holders:
            totals[holder] += 1
    return totals


def _assign_extras(
    extra_counts: Sequence[int],
    present: Sequence[set[VmIncarnation]],
    owners: Sequence[VmIncarnation],
) -> list[set[VmIncarnation]]:
    quotas = _extra_quotas(sum(extra_counts), present, owners)
    left_count = sum(extra_count > 0 for extra_count in extra_counts)
    chosen = []
    for extra_count, holders in zip(extra_counts, present):
        rank = _rank_key(quotas, left_count, holders)
        chosen.append(set(sorted(owners, key=rank)[:extra_count]))
        for owner in chosen[-1]:
            quotas[owner] -= 1
        left_count -= extra_count > 0
    return chosen


def _extra_quotas(
    total: int,
    present: Sequence[set[VmIncarnation]],
    owners: Sequence[VmIncarnation],
) -> Counts:
    # Number of extra slots of each owner; owners that have more of them now
    # get the larger numbers.
    present_totals = _totals(present, owners)
    base, extra_count = divmod(total, len(owners))
    ranked = sorted(owners, key=lambda owner: -present_totals[owner])
    return {
        owner: base + (rank < extra_count) for rank, owner in enumerate(ranked)
    }


def _rank_key(
    quotas: Counts,
    left_count: int,
    holders: set[VmIncarnation],
) -> Callable[[VmIncarnation], tuple[bool, bool, bool, int]]:
    def rank(owner: VmIncarnation) -> tuple[bool, bool, bool, int]:
        quota = quotas[owner]
        return (
            # Owners that need an extra slot of every remaining resource come
            # first.
            quota < left_count,
            quota <= 0,
            owner not in holders,
            -quota,
        )

    return rank
