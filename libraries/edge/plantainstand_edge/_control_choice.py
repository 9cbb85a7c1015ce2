"""Which control VMs an entry VM connects to."""

from collections import defaultdict
from collections.abc import Collection, Sequence
from itertools import chain, zip_longest

import xxhash
from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_fleet import ControlVm

MAX_CONTROL_LINKS = 6
"""Control VMs that one entry VM connects to: two in each of three regions.
Each brings every change, so more cost link and processor time."""


def choose_controls(
    vm: VmId,
    zone: AvailabilityZoneId,
    region: RegionId,
    known: Collection[ControlVm],
) -> Sequence[VmId]:
    """Return control VMs of an entry VM, best first.

    Those of its own zone come first, so that a zone that is cut off still
    has its own; then the regions take turns, beginning with the own one.
    Within a region the choice differs from VM to VM, which spreads the links.
    """

    def preference(control: ControlVm) -> tuple[bool, int]:
        return (control.availability_zone != zone, _rank(vm, control.vm))

    by_region: dict[RegionId, list[ControlVm]] = defaultdict(list)
    for place in sorted(known, key=preference):
        by_region[place.region].append(place)
    own = by_region.pop(region, [])
    others = (by_region[name] for name in sorted(by_region))
    turns = chain.from_iterable(zip_longest(own, *others))
    return [control.vm for control in turns if control is not None]


def _rank(vm: VmId, control: VmId) -> int:
    return xxhash.xxh64_intdigest(f'{vm}/{control}'.encode())
