"""Figures of the membership library at the planned size."""

import ipaddress
import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from random import Random

from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_membership import (
    ClientBlockTable,
    EntrySnapshot,
    EntryVm,
    rank_entries,
)

_ZONES = 64
_REGIONS = 27
_VMS = 3300
_BLOCKS = 150_000
_LOOKUPS = 100_000
_CALLERS = 20_000
_SEED = 1


def measure_membership() -> Mapping[str, float]:
    """Return look-ups per second, build times and memory.

    A cold look-up computes the order of its caller group; a warm one finds
    it in the snapshot.
    """
    figures: dict[str, float] = {}
    for name, size, zones in (('small', 11, 6), ('planned', _VMS, _ZONES)):
        figures.update(_entry_figures(name, size, zones))
    return {**figures, **_block_figures()}


def _entry_figures(name: str, size: int, zones: int) -> Mapping[str, float]:
    regions = {
        _zone(number): RegionId(f'r{number * _REGIONS // _ZONES}')
        for number in range(zones)
    }
    vms = [_vm(number, zones, regions) for number in range(size)]
    queries = _queries(zones)
    one_zone, all_zones = _snapshot_bytes(vms, regions, queries)
    build = _seconds(lambda: EntrySnapshot(1, vms, regions))
    cold = EntrySnapshot(1, vms, regions)
    cold_seconds = _seconds(lambda: _ask_all(cold, queries))
    warm_seconds = _seconds(lambda: _ask_all(cold, queries))
    return {
        f'{name}_snapshot_build_ms': 1000 * build,
        f'{name}_snapshot_one_zone_kilobytes': one_zone / 1000,
        f'{name}_snapshot_all_zones_kilobytes': all_zones / 1000,
        f'{name}_cold_lookup_us': 1_000_000 * cold_seconds / _LOOKUPS,
        f'{name}_warm_lookup_us': 1_000_000 * warm_seconds / _LOOKUPS,
        f'{name}_warm_lookups_per_second': _LOOKUPS / warm_seconds,
    }


def _queries(zones: int) -> Sequence[tuple[str, AvailabilityZoneId]]:
    random_source = Random(_SEED)
    return [
        (f'caller-{random_source.randrange(_CALLERS)}', _zone(number % zones))
        for number in range(_LOOKUPS)
    ]


def _snapshot_bytes(
    vms: Sequence[EntryVm],
    regions: Mapping[AvailabilityZoneId, RegionId],
    queries: Sequence[tuple[str, AvailabilityZoneId]],
) -> tuple[int, int]:
    """Return the memory after look-ups from one zone and from all."""
    tracemalloc.start()
    snapshot = EntrySnapshot(1, vms, regions)
    _ask_all(snapshot, [(caller, _zone(0)) for caller, _home in queries])
    one_zone = tracemalloc.get_traced_memory()[0]
    _ask_all(snapshot, queries)
    all_zones = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return one_zone, all_zones


def _block_figures() -> Mapping[str, float]:
    random_source = Random(_SEED)
    blocks = [
        (_block(random_source), _zone(random_source.randrange(_ZONES)))
        for _ in range(_BLOCKS)
    ]
    texts = [
        str(ipaddress.IPv4Address(random_source.getrandbits(32)))
        for _ in range(_LOOKUPS)
    ]
    tracemalloc.start()
    table = ClientBlockTable(blocks)
    table_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    build = _seconds(lambda: ClientBlockTable(blocks))
    addresses = [ipaddress.ip_address(text) for text in texts]
    find = _seconds(lambda: [table.find(address) for address in addresses])
    parse = _seconds(lambda: [ipaddress.ip_address(text) for text in texts])
    return {
        'block_table_ranges': table.range_count,
        'block_table_bytes_per_block': table_bytes / _BLOCKS,
        'block_table_build_ms': 1000 * build,
        'block_table_find_us': 1_000_000 * find / _LOOKUPS,
        'address_parse_us': 1_000_000 * parse / _LOOKUPS,
    }


def _ask_all(
    snapshot: EntrySnapshot,
    queries: Sequence[tuple[str, AvailabilityZoneId]],
) -> None:
    for caller, zone in queries:
        rank_entries(snapshot, caller, zone)


def _seconds(action: Callable[[], object]) -> float:
    began = time.perf_counter()
    action()
    return time.perf_counter() - began


def _zone(number: int) -> AvailabilityZoneId:
    return AvailabilityZoneId(f'z{number}')


def _vm(
    number: int,
    zones: int,
    regions: Mapping[AvailabilityZoneId, RegionId],
) -> EntryVm:
    zone = _zone(number % zones)
    return EntryVm(VmId(f'vm{number}'), '127.0.0.1', 80, zone, regions[zone])


def _block(random_source: Random) -> ipaddress.IPv4Network:
    length = random_source.randint(16, 26)
    address = random_source.getrandbits(length) << (32 - length)
    return ipaddress.IPv4Network((address, length))
