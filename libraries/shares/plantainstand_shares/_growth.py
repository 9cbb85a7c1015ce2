"""Division of free capacity among shares that are to grow."""

import math
from collections.abc import Mapping

from plantainstand_shares._commands import Amount, ShareUnit
from plantainstand_shares._view import VmIncarnation

_RATE_STEP = 1 / 1024


def share_out(
    room: Amount,
    needs: Mapping[VmIncarnation, Amount],
    unit: ShareUnit,
) -> dict[VmIncarnation, Amount]:
    """Divide ``room`` in proportion to ``needs``, nobody above its need."""
    total = sum(needs.values())
    if total <= room:
        return dict(needs)
    if unit is ShareUnit.RATE:
        return {
            key: math.floor(room * need / total / _RATE_STEP) * _RATE_STEP
            for key, need in needs.items()
        }
    return _whole_parts(int(room), needs, total)


def _whole_parts(
    room: int,
    needs: Mapping[VmIncarnation, Amount],
    total: Amount,
) -> dict[VmIncarnation, Amount]:
    parts: dict[VmIncarnation, Amount] = {
        key: int(room * need // total) for key, need in needs.items()
    }
    rest = room - int(sum(parts.values()))
    # Rounding down leaves less than one for each; the neediest come first.
    neediest = sorted(needs, key=lambda key: parts[key] - needs[key])
    for key in neediest[:rest]:
        parts[key] += 1
    return parts
