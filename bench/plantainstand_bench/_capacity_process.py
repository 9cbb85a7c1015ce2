"""A restarted VM's state in a process of its own: time and memory.

``python -m plantainstand_bench._capacity_process SNAPSHOT ZONE`` loads the
snapshot of a file as VM 0 does and prints its figures as JSON. A process of
its own makes the resident memory that of one VM.
"""

import ipaddress
import os
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    RegionId,
    SystemClock,
)
from plantainstand_daemon._control_state import ControlState
from plantainstand_daemon._holding import create_incarnation_state
from plantainstand_daemon._services import ServiceTable, VmLocation
from plantainstand_membership import (
    ClientBlockTable,
    EntrySnapshot,
    EntryVm,
    rank_entries,
)
from plantainstand_shares import SupportTiming

from plantainstand_bench._capacity_deployment import vm_name, zone_name

_REPEATS = 3
_BLOCKS = 150_000
_CALLERS = 20_000
_MEGABYTE = 1_000_000
_KIBIBYTE = 1024
_LONG_S = 10


def main() -> int:
    """Measure and print."""
    snapshot = Path(sys.argv[1]).read_bytes()
    blocks = int(sys.argv[2])
    sys.stdout.buffer.write(msgspec.json.encode(_measure(snapshot, blocks)))
    return 0


def _measure(snapshot: bytes, blocks: int) -> dict[str, list[float]]:
    figures: dict[str, list[float]] = {}
    base = _resident_bytes()
    state = ControlState()

    def restore() -> None:
        state.restore(snapshot)

    figures['restore, s'] = [_processor_time(restore)]
    figures['state, MB'] = [(_resident_bytes() - base) / _MEGABYTE]
    figures['state and indexes, MB'] = _build_views(state, figures, base)
    table = ClientBlockTable(_blocks(blocks))
    figures['all with client blocks, MB'] = [
        (_resident_bytes() - base) / _MEGABYTE,
    ]
    figures['process, MB'] = [_resident_bytes() / _MEGABYTE]
    figures['ranges of client blocks'] = [table.range_count]
    figures['restore, s'].extend(_repeated(restore))
    figures['peak while a snapshot is replaced, MB'] = [
        _peak_bytes() / _MEGABYTE,
    ]
    return figures


def _build_views(
    state: ControlState,
    figures: dict[str, list[float]],
    base: int,
) -> list[float]:
    clock = SystemClock()
    view = state.view()
    place = VmLocation(vm_name(0), zone_name(0), RegionId('r0'))
    holding = create_incarnation_state(
        place.vm, Incarnation(1), clock, SupportTiming()
    )
    table = ServiceTable(place, clock, Random(1))

    def hold() -> None:
        # Applying an unchanged view again would cost nothing.
        fresh = create_incarnation_state(
            place.vm, Incarnation(1), clock, SupportTiming()
        )
        fresh.apply(view.shares, clock.monotonic())

    def apply() -> None:
        table.apply(view, holding.key, holding.ledger)

    holding.apply(view.shares, clock.monotonic())
    figures['apply shares, s'] = _repeated(hold)
    figures['rebuild services, s'] = _repeated(apply)
    regions = {
        zone.availability_zone_id: zone.region
        for zone in view.catalogue.availability_zones.values()
    }
    vms = [
        EntryVm(
            record.vm,
            record.host,
            record.http_port,
            record.availability_zone,
            record.region,
        )
        for record in view.shares.registry.newest.values()
    ]
    figures['rebuild entries, s'] = _repeated(
        lambda: EntrySnapshot(1, vms, regions),
    )
    entries = EntrySnapshot(1, vms, regions)
    for caller in range(_CALLERS):
        rank_entries(entries, str(caller), AvailabilityZoneId('z0'))
    return [(_resident_bytes() - base) / _MEGABYTE]


def _repeated(step: Callable[[], object]) -> list[float]:
    """Repeat a step, except one that takes very long."""
    times = [_processor_time(step)]
    while len(times) < _REPEATS and times[0] < _LONG_S:
        times.append(_processor_time(step))
    return times


def _processor_time(step: Callable[[], object]) -> float:
    began = time.process_time()
    step()
    return time.process_time() - began


def _resident_bytes() -> int:
    fields = Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * os.sysconf('SC_PAGE_SIZE')


def _peak_bytes() -> int:
    # The peak of getrusage would include that of the process that forked.
    status = Path('/proc/self/status').read_text().splitlines()
    found = next(line for line in status if line.startswith('VmHWM:'))
    return int(found.split()[1]) * _KIBIBYTE


def _blocks(
    count: int,
) -> Iterator[tuple[ipaddress.IPv4Network, AvailabilityZoneId]]:
    random_source = Random(1)
    for number in range(count):
        length = random_source.randint(16, 26)
        address = random_source.getrandbits(length) << (32 - length)
        yield ipaddress.IPv4Network((address, length)), zone_name(number % 64)


if __name__ == '__main__':
    sys.exit(main())
