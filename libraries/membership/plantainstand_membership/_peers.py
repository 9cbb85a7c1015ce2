"""Choice of the peers with which a VM exchanges summaries."""

from collections.abc import Mapping, Sequence
from random import Random

from plantainstand_core import AvailabilityZoneId, VmId


def choose_exchange_peers(
    own_vm: VmId,
    own_zone: AvailabilityZoneId,
    members: Mapping[AvailabilityZoneId, Sequence[VmId]],
    random_source: Random,
) -> Sequence[VmId]:
    """Return all other VMs of the own zone and one VM of each other zone.

    ``members`` contains the registered VMs of each zone. The number of peers
    grows with the size of the own zone and the number of zones, not with the
    total number of VMs.
    """
    peers = [vm for vm in members.get(own_zone, ()) if vm != own_vm]
    for zone, vms in members.items():
        if zone != own_zone and vms:
            peers.append(random_source.choice(vms))
    return peers
