"""Entry VMs that share limits, as one control VM knows them.

An entry VM that nobody hears goes on sending until its own lease ends. It is
therefore counted for longer than that, and a new one waits until all others
count it.
"""

from collections.abc import Mapping
from datetime import timedelta

from plantainstand_core import RegionId, VmId
from plantainstand_fleet import SharingRegion, vm_seed

RETENTION = timedelta(seconds=10)
"""Time for which a VM is counted after its last report was dropped. Longer than
its lease, the time until a control VM without the leader stops renewing it, the
silence timeout of a link and the one-second window of limits together."""

SETTLING_TIME = timedelta(seconds=10)
"""Time for which a VM has to be counted before it may use its part. By then the
lease of each VM that has not heard of it has ended."""


class SharingRegistry:
    """Entry VMs that report, and those that did a short while ago."""

    def __init__(self) -> None:
        """Start without VMs."""
        self._regions: dict[VmId, RegionId] = {}
        self._counted_since: dict[VmId, timedelta] = {}
        self._present_at: dict[VmId, timedelta] = {}

    def update(
        self,
        present: Mapping[VmId, RegionId],
        now: timedelta,
        *,
        may_shrink: bool,
    ) -> None:
        """Record the VMs whose reports are known at ``now``.

        Only a control VM that is in contact with the leader may drop others:
        without it, VMs may report to control VMs behind a cut.
        """
        self._regions.update(present)
        for new in present.keys() - self._counted_since.keys():
            self._counted_since[new] = now
        kept = present if may_shrink else self._regions
        self._present_at.update(dict.fromkeys(kept, now))
        for vm, present_at in tuple(self._present_at.items()):
            if now - present_at > RETENTION:
                self._drop(vm)

    def regions(self) -> tuple[SharingRegion, ...]:
        """Return the counted VMs by region."""
        by_region: dict[RegionId, list[VmId]] = {}
        for vm, place in self._regions.items():
            by_region.setdefault(place, []).append(vm)
        return tuple(
            SharingRegion(region, tuple(sorted(map(vm_seed, vms))))
            for region, vms in sorted(by_region.items())
        )

    def is_settled(self, vm: VmId, now: timedelta) -> bool:
        """Tell whether all VMs with a lease count ``vm`` by now."""
        since = self._counted_since.get(vm)
        return since is not None and now - since >= SETTLING_TIME

    def _drop(self, vm: VmId) -> None:
        for known in (self._regions, self._counted_since, self._present_at):
            known.pop(vm, None)
