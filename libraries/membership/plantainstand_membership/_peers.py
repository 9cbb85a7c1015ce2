"""Choice of the VMs that a VM exchanges summaries with."""

from collections.abc import Mapping, Sequence
from random import Random

from plantainstand_core import AvailabilityZoneId, VmId


def choose_exchange_peers(
    own_vm: VmId,
    own_zone: AvailabilityZoneId,
    members: Mapping[AvailabilityZoneId, Sequence[VmId]],
    random_source: Random,
) -> Sequence[VmId]:
    """Return all other VMs of the own zone and one of each other zone.

    ``members`` are the registered VMs of each zone. The number of peers
    grows with the zone's size and the number of zones, not with the number
    of VMs.
    """
    peers = [vm for vm in members.get(own_zone, ()) if vm != own_vm]
    for zone, vms in members.items():
        if zone != own_zone and vms:
            peers.append(random_source.choice(vms))
    return peers
