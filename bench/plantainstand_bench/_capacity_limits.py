"""Sizes at which a mechanism reaches a limit."""

from collections.abc import Callable

from plantainstand_bench._capacity_load import (
    Figures,
    exchange_bytes,
    exchange_calls,
    on_line,
)
from plantainstand_bench._capacity_site import PLANNED_SITE

CORE_LIMIT = 0.044
BYTES_LIMIT = 30_000
MEMORY_LIMIT_MB = 256
_MICROSECOND = 1e-6
_DAY_S = 86400
_MOST_VMS = 100_000


def largest(load: Callable[[int], float], limit: float) -> int:
    """Return the largest size whose load is within the limit.

    ``load`` must not fall as the size grows.
    """
    low, high = 0, _MOST_VMS
    while low < high:
        middle = (low + high + 1) // 2
        if load(middle) <= limit:
            low = middle
        else:
            high = middle - 1
    return low


def heartbeat_core(figures: Figures, vms: int) -> float:
    """Return the leader's processor time for heartbeats per second."""
    spent = on_line(figures, 'heartbeat, leader, us', vms)
    return 2 * vms * spent * _MICROSECOND


def exchange_rate(figures: Figures, members: int, zones: int) -> float:
    """Return bytes per second of exchanges at one VM, both directions."""
    calls = exchange_calls(members, zones)
    return 2 * calls * exchange_bytes(figures, members)


def rebuild_time(figures: Figures, vms: int) -> float:
    """Return seconds to rebuild the services at a size of planned shape.

    The time grows with VMs times targets; the planned size's own
    measurement gives the factor.
    """
    planned = PLANNED_SITE.vms
    measured = figures[f'rebuild services, s at {planned} VMs']
    return measured * (vms / planned) ** 2


def rebuild_core(figures: Figures, vms: int) -> float:
    """Return processor time of rebuilds, with changes in proportion to VMs."""
    per_vm = PLANNED_SITE.changes_per_day / PLANNED_SITE.vms
    return vms * per_vm / _DAY_S * rebuild_time(figures, vms)


def cached_share(calls_per_second: float, lifetime_s: float) -> float:
    """Return the share of look-ups that a caller answers itself.

    A caller asks at its first request after the answer has expired.
    """
    uses = calls_per_second * lifetime_s
    return uses / (1 + uses)
