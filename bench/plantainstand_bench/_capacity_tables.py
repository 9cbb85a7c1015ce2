"""Prints the tables of docs/CAPACITY.md from the figures of a run.

``python -m plantainstand_bench._capacity_tables out/bench``, after the parts
`log`, `membership` and `capacity` have been run.
"""

import sys
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import msgspec

from plantainstand_bench import _capacity_limits as limits
from plantainstand_bench._capacity_load import (
    Figures,
    command_bytes_per_second,
    commands_per_second,
    rebuild_seconds,
    role_rows,
    totals,
)
from plantainstand_bench._capacity_site import (
    PLANNED_SITE,
    TODAY_SITE,
    Row,
)

_CALL_RATES = (0.1, 0.3, 1, 10)
_LIFETIMES_S = (1, 3, 10, 30)
_PERCENT = 100
_MEASURED_VMS = (10, 100, 825, 3300)
_KILOBYTE = 1000
_LEASE_MARGIN_S = 2
_MICROSECONDS = 1_000_000


def main() -> int:
    """Print every table."""
    figures: dict[str, float] = {}
    for part in ('log', 'membership', 'capacity'):
        content = (Path(sys.argv[1]) / f'{part}.json').read_bytes()
        figures.update(msgspec.json.decode(content, type=dict[str, float]))
    for line in (
        *role_table(figures),
        *_size_lines(figures),
        *_leader_block_lines(figures),
        *_limit_lines(figures),
        *_caching_lines(figures),
    ):
        print(line)
    return 0


def role_table(figures: Figures) -> Iterator[str]:
    """Return the lines of the table of roles, both sizes side by side."""
    yield (
        '| role | activity | messages in/s | out/s | core % | KB/s both ways '
        '| slope |'
    )
    yield '| --- | --- | --- | --- | --- | --- | --- |'
    today = tuple(role_rows(figures, TODAY_SITE))
    planned = tuple(role_rows(figures, PLANNED_SITE))
    for small, large in zip(today, planned):
        yield _line(small, large, large.slope)
    today_sums = totals(iter(today))
    for role, total in totals(iter(planned)).items():
        yield _line(today_sums[role], total, 'sum')


def _line(today: Row, planned: Row, slope: str) -> str:
    cells = [
        _pair(today.received, planned.received),
        _pair(today.sent, planned.sent),
        _pair(today.core * _PERCENT, planned.core * _PERCENT),
        _pair(
            today.bytes_both_ways / _KILOBYTE,
            planned.bytes_both_ways / _KILOBYTE,
        ),
    ]
    names = f'| {planned.role} | {planned.activity} |'
    return f'{names} {" | ".join(cells)} | {slope} |'


def _pair(today: float, planned: float) -> str:
    return f'{_short(today)} → {_short(planned)}'


def _short(number: float) -> str:
    if number >= _PERCENT:
        return f'{number:,.0f}'
    return f'{number:.3g}'


def _size_lines(figures: Figures) -> Iterator[str]:
    for site in (TODAY_SITE, PLANNED_SITE):
        vms = site.vms
        yield f'{vms} VMs: commands/s {commands_per_second(figures, site):.4g}'
        rate = command_bytes_per_second(figures, site)
        yield f'{vms} VMs: command bytes/s {rate:.4g}'
        yield f'{vms} VMs: view in force, s {rebuild_seconds(figures, vms):.4g}'
        snapshot = figures[f'snapshot, bytes at {vms} VMs']
        daily = snapshot * site.restarts_per_day
        yield f'{vms} VMs: snapshots, MB/day {daily / _MICROSECONDS:.4g}'
        look_ups = site.look_ups_per_second / vms
        cores = look_ups * figures['look-up, HTTP server, us'] / _MICROSECONDS
        yield f'{vms} VMs: look-ups/s {look_ups:.4g}, cores {cores:.3g}'


def _leader_block_lines(figures: Figures) -> Iterator[str]:
    for vms in _MEASURED_VMS:
        plan = figures[f'settled plan, s at {vms} VMs']
        restore = figures[f'restore, s at {vms} VMs']
        rebuild = rebuild_seconds(figures, vms)
        yield (
            f'{vms} VMs: plan {plan:.3g} s, restore {restore:.3g} s, '
            f'rebuild {rebuild:.3g} s'
        )


def _limit_lines(figures: Figures) -> Iterator[str]:
    for name, limit in (('4.4 %', limits.CORE_LIMIT), ('one core', 1)):
        size = limits.largest(
            partial(limits.heartbeat_core, figures),
            limit,
        )
        yield f'heartbeats: leader at {name} with {size} VMs'
    for zones in (TODAY_SITE.zones, PLANNED_SITE.zones):
        size = limits.largest(
            partial(limits.exchange_rate, figures, zones=zones),
            limits.BYTES_LIMIT,
        )
        yield f'exchanges: 30 KB/s with {size} members, {zones} zones'
    size = limits.largest(
        lambda vms: limits.rebuild_core(figures, vms),
        limits.CORE_LIMIT,
    )
    yield f'views: 4.4 % with {size} VMs of the planned shape'
    size = limits.largest(
        lambda vms: limits.rebuild_time(figures, vms),
        _LEASE_MARGIN_S,
    )
    yield f'views: {_LEASE_MARGIN_S} s with {size} VMs of the planned shape'


def _caching_lines(figures: Figures) -> Iterator[str]:
    names = ' | '.join(f'{lifetime} s' for lifetime in _LIFETIMES_S)
    yield f'| requests/s of one caller | {names} |'
    for rate in _CALL_RATES:
        shares = ' | '.join(
            f'{_PERCENT * limits.cached_share(rate, lifetime):.0f} %'
            for lifetime in _LIFETIMES_S
        )
        yield f'| {rate} | {shares} |'


if __name__ == '__main__':
    sys.exit(main())
