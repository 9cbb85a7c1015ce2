"""Even splits of capacities with few changes from one split to the next."""

import math
from collections.abc import Callable, Mapping, Sequence
from itertools import repeat

from plantainstand_shares._commands import Amount
from plantainstand_shares._view import VmIncarnation

# Sums of multiples of this are exact, so the shares never add up to more
# than the capacity by rounding.
_RATE_STEP = 1 / 1024
# A split whose totals per VM differ by no more is kept as it is; a new one
# would move slots for nothing.
_KEPT_SPREAD = 2

Counts = dict[VmIncarnation, int]


def split_rate(capacity: Amount, owners: int) -> float:
    """Return the equal share of each owner."""
    return math.floor(capacity / owners / _RATE_STEP) * _RATE_STEP


def split_counts(
    capacities: Sequence[int],
    present: Sequence[Mapping[VmIncarnation, Amount]],
    owners: Sequence[VmIncarnation],
) -> list[Counts]:
    """Split resources that have the same owners.

    Of each resource, every owner gets the whole part of the even share, and
    the remainder goes to different owners so that their totals are even.
    Where that leaves a choice, owners keep what they have at ``present``.
    """
    parts = [divmod(capacity, len(owners)) for capacity in capacities]
    extras = [
        {owner for owner in owners if known.get(owner, 0) > part[0]}
        for part, known in zip(parts, present)
    ]
    spread = _total_spread(extras, owners)
    is_even = all(map(_is_even_split, parts, present, repeat(owners)))
    if not is_even or spread > _KEPT_SPREAD:
        moved = _spread([part[1] for part in parts], extras, owners)
        # Two splits that are equally good must not take turns.
        if not is_even or _total_spread(moved, owners) < spread:
            extras = moved
    return [
        {owner: part[0] + (owner in chosen) for owner in owners}
        for part, chosen in zip(parts, extras)
    ]


def _is_even_split(
    part: tuple[int, int],
    known: Mapping[VmIncarnation, Amount],
    owners: Sequence[VmIncarnation],
) -> bool:
    base, rest = part
    above = [known.get(owner, 0) - base for owner in owners]
    return sum(above) == rest and all(extra in {0, 1} for extra in above)


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


def _spread(
    rests: Sequence[int],
    present: Sequence[set[VmIncarnation]],
    owners: Sequence[VmIncarnation],
) -> list[set[VmIncarnation]]:
    quotas = _quotas(sum(rests), present, owners)
    left = sum(rest > 0 for rest in rests)
    chosen = []
    for rest, holders in zip(rests, present):
        rank = _ranking(quotas, left, holders)
        chosen.append(set(sorted(owners, key=rank)[:rest]))
        for owner in chosen[-1]:
            quotas[owner] -= 1
        left -= rest > 0
    return chosen


def _quotas(
    total: int,
    present: Sequence[set[VmIncarnation]],
    owners: Sequence[VmIncarnation],
) -> Counts:
    # Each owner's number of extra slots; the larger ones go to owners that
    # have more of them now.
    held = _totals(present, owners)
    base, rest = divmod(total, len(owners))
    ranked = sorted(owners, key=lambda owner: -held[owner])
    return {owner: base + (rank < rest) for rank, owner in enumerate(ranked)}


def _ranking(
    quotas: Counts,
    left: int,
    holders: set[VmIncarnation],
) -> Callable[[VmIncarnation], tuple[bool, bool, bool, int]]:
    def rank(owner: VmIncarnation) -> tuple[bool, bool, bool, int]:
        quota = quotas[owner]
        return (
            # An owner that needs an extra slot of every resource left.
            quota < left,
            quota <= 0,
            owner not in holders,
            -quota,
        )

    return rank
