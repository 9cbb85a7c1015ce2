"""Entry VMs that share limits which hold for all of them together."""

from typing import NewType

import msgspec
import xxhash
from plantainstand_core import RegionId, VmId

VmSeed = NewType('VmSeed', int)
"""64-bit hash of a VM's id, by which shares are split."""


class SharingRegion(msgspec.Struct, frozen=True, array_like=True):
    """Entry VMs of one region."""

    region: RegionId
    seeds: tuple[VmSeed, ...]


def vm_seed(vm: VmId) -> VmSeed:
    """Return the hash of a VM's id; equal on all VMs."""
    return VmSeed(xxhash.xxh64_intdigest(vm.encode()))
