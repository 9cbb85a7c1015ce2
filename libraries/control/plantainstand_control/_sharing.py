"""Entry VMs that share limits, as one control VM knows them.

An entry VM that nobody hears goes on sending until its own lease ends. It is
therefore counted for longer than that, and a new one waits until all others
count it: they say so, or their leases from before have ended.
"""

from collections.abc import Mapping
from datetime import timedelta

from plantainstand_core import RegionId, VmId
from plantainstand_fleet import SharingRegion, sharing_digest, vm_seed

RETENTION = timedelta(seconds=10)
"""Time for which a VM is counted after its last report was dropped. Longer than
its lease, the time until a control VM without the leader stops renewing it, the
silence timeout of a link and the one-second window of limits together."""

SETTLING_TIME = timedelta(seconds=10)
"""Time for which a VM has to be counted before it may use its part. By then the
lease of each VM that has not heard of it has ended."""

AGREEMENT_TIME = timedelta(milliseconds=1500)
"""Time for which all VMs have to report that they count the same VMs, so that
requests sent before with larger parts have left the window of limits."""


class SharingRegistry:
    """Entry VMs that report, and those that did a short while ago."""

    def __init__(self, now: timedelta, *, is_first_start: bool) -> None:
        """Start without VMs.

        ``is_first_start`` tells that the whole system starts for the first
        time, so that no VM can hold a lease from before.
        """
        self._knows_all_from = now
        if not is_first_start:
            self._knows_all_from += SETTLING_TIME
        self._agreed_since: timedelta | None = None
        self._regions: dict[VmId, RegionId] = {}
        self._counted_since: dict[VmId, timedelta] = {}
        self._present_at: dict[VmId, timedelta] = {}

    def update(
        self,
        present: Mapping[VmId, RegionId],
        digests: Mapping[VmId, int],
        now: timedelta,
        *,
        may_shrink: bool,
    ) -> None:
        """Record the VMs whose reports are known at ``now``.

        ``digests`` are those of the VMs that each of them counts.

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
        if now < self._knows_all_from or not self._is_agreed(present, digests):
            self._agreed_since = None
        elif self._agreed_since is None:
            self._agreed_since = now

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
        if since is None:
            return False
        agreed = self._agreed_since
        if agreed is not None and now - agreed >= AGREEMENT_TIME:
            return True
        return now - since >= SETTLING_TIME

    def _is_agreed(
        self, present: Mapping[VmId, RegionId], digests: Mapping[VmId, int]
    ) -> bool:
        """Tell whether all counted VMs report that they count the same."""
        if present.keys() != self._regions.keys():
            return False
        own = sharing_digest(map(vm_seed, self._regions))
        return all(digests.get(vm) == own for vm in present)

    def _drop(self, vm: VmId) -> None:
        for known in (self._regions, self._counted_since, self._present_at):
            known.pop(vm, None)
