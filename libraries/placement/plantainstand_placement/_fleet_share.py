"""Splits whole numbers of requests among entry VMs."""

from collections.abc import Mapping

import xxhash
from plantainstand_core import RegionId
from plantainstand_fleet import VmSeed

_SEED_BYTES = 8


class FleetShare:
    """One VM's part of limits that hold for all entry VMs together.

    VMs never agree on the set of VMs at all times. A VM's part therefore
    shrinks, or stays, with each VM that it counts in addition: it depends on
    the VM's rank in an order that is fixed for each pair of VM and target. The
    parts add up to the limit at most if each VM that uses its part counts all
    others that use theirs, and more VMs as it likes.
    """

    def __init__(
        self,
        own: VmSeed | None,
        regions: Mapping[RegionId, frozenset[VmSeed]],
    ):
        """Split among the VMs of ``regions``.

        ``own`` is None for a VM that may not use its part.
        """
        self._own = own
        self._regions = regions
        self._all = frozenset[VmSeed]().union(*regions.values())
        self._ranks: dict[tuple[RegionId | None, int], int] = {}

    @property
    def entry_count(self) -> int:
        """Number of entry VMs that share the limits; at least 1."""
        return max(1, len(self._all))

    @property
    def regions(self) -> Mapping[RegionId, frozenset[VmSeed]]:
        """The entry VMs by region."""
        return self._regions

    @property
    def is_usable(self) -> bool:
        """Whether this VM may use its part."""
        return self._own is not None

    def part(self, total: int, target_seed: int) -> int:
        """Return this VM's part of ``total`` requests to a target."""
        return self._part(None, self._all, total, target_seed)

    def regional_part(
        self, region: RegionId, total: int, target_seed: int
    ) -> int:
        """Return its part of requests that the VMs of a region may send."""
        vms = self._regions.get(region, frozenset())
        return self._part(region, vms, total, target_seed)

    def _part(
        self,
        region: RegionId | None,
        vms: frozenset[VmSeed],
        total: int,
        target_seed: int,
    ) -> int:
        if self._own is None or self._own not in vms:
            return 0
        key = (region, target_seed)
        rank = self._ranks.get(key)
        if rank is None:
            rank = _rank(self._own, vms, target_seed)
            self._ranks[key] = rank
        even, rest = divmod(total, len(vms))
        return even + (rank < rest)


def _rank(own: VmSeed, vms: frozenset[VmSeed], target_seed: int) -> int:
    """Return the number of VMs before ``own`` in the target's order."""
    own_place = _place(own, target_seed)
    return sum(_place(vm, target_seed) < own_place for vm in vms)


def _place(vm: VmSeed, target_seed: int) -> tuple[int, VmSeed]:
    digest = xxhash.xxh64_intdigest(
        vm.to_bytes(_SEED_BYTES, 'big'), target_seed
    )
    return digest, vm
