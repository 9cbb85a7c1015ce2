"""Chooses the control VMs to which an entry VM connects."""

from collections import defaultdict
from collections.abc import Collection, Sequence
from itertools import chain, zip_longest

import xxhash
from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_fleet import ControlVm

MAX_CONTROL_LINKS = 6
"""Control VMs to which one entry VM connects: two in each of three regions.
Each of them sends every change, so each further link costs network and
processor time."""


def order_control_vms(
    vm: VmId,
    zone: AvailabilityZoneId,
    region: RegionId,
    known: Collection[ControlVm],
) -> Sequence[VmId]:
    """Return the known control VMs in the order an entry VM prefers them.

    Regions take turns, starting with the entry VM's own region. Within a
    region, control VMs in the entry VM's availability zone come first, so that
    an isolated availability zone keeps a link to its own control VM. The
    further order differs from VM to VM, which spreads the links.
    """

    def preference(control: ControlVm) -> tuple[bool, int]:
        return (control.availability_zone != zone, _hash_rank(vm, control.vm))

    by_region: dict[RegionId, list[ControlVm]] = defaultdict(list)
    for place in sorted(known, key=preference):
        by_region[place.region].append(place)
    own = by_region.pop(region, [])
    others = (by_region[name] for name in sorted(by_region))
    turns = chain.from_iterable(zip_longest(own, *others))
    return [control.vm for control in turns if control is not None]


def _hash_rank(vm: VmId, control: VmId) -> int:
    return xxhash.xxh64_intdigest(f'{vm}/{control}'.encode())
