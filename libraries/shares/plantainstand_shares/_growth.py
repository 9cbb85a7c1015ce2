"""Division of free capacity among growing shares."""

import math
from collections.abc import Mapping

from plantainstand_shares._commands import Amount, ShareUnit
from plantainstand_shares._view import VmIncarnation

_RATE_STEP = 1 / 1024


def divide_capacity(
    available: Amount,
    needed: Mapping[VmIncarnation, Amount],
    unit: ShareUnit,
) -> dict[VmIncarnation, Amount]:
    """Divide available capacity in proportion to the needed amounts.

    No holder gets more than it needs.
    """
    total = sum(needed.values())
    if total <= available:
        return dict(needed)
    if unit is ShareUnit.RATE:
        return {
            key: math.floor(available * amount / total / _RATE_STEP)
            * _RATE_STEP
            for key, amount in needed.items()
        }
    return _whole_amounts(int(available), needed, total)


def _whole_amounts(
    available: int,
    needed: Mapping[VmIncarnation, Amount],
    total: Amount,
) -> dict[VmIncarnation, Amount]:
    amounts: dict[VmIncarnation, Amount] = {
        key: int(available * amount // total) for key, amount in needed.items()
    }
    remainder = available - int(sum(amounts.values()))
    # Rounding down leaves less than one unit per holder. The holders with the
    # largest shortfall get these units.
    by_shortfall = sorted(needed, key=lambda key: amounts[key] - needed[key])
    for key in by_shortfall[:remainder]:
        amounts[key] += 1
    return amounts
