"""Entry VMs that share limits which hold for all of them together."""

from collections.abc import Iterable
from functools import reduce
from operator import xor
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


def sharing_digest(seeds: Iterable[VmSeed]) -> int:
    """Return a number that is equal for equal sets of VMs."""
    return reduce(xor, seeds, 0)


def vm_seed(vm: VmId) -> VmSeed:
    """Return the hash of a VM's id; equal on all VMs."""
    return VmSeed(xxhash.xxh64_intdigest(vm.encode()))
