"""Entry VMs that share limits, and whether this VM may use its part.

This VM may use its part while it holds a lease. A control VM that is in contact
with the leader renews the lease as long as it is heard and counts this VM. The
others count this VM until the lease has ended for certain, see
``plantainstand_control._sharing``.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

import structlog
from plantainstand_core import Clock, RegionId, VmId
from plantainstand_fleet import (
    Roster,
    SharingRegion,
    VmSeed,
    sharing_digest,
    vm_seed,
)
from plantainstand_placement import FleetShare

_log = structlog.get_logger()

ASSUMED_ENTRY_COUNT = 400
"""Number of entry VMs that a VM without a lease assumes: above that of today's
deployments, so that what it spends without a part of its own stays small."""

LEASE = timedelta(seconds=4)
"""Time for which a VM uses its part after it last heard a control VM. Covers
the election of a leader and the restart of all control VMs."""

MEMORY = timedelta(seconds=10)
"""Time for which a VM is counted after the last control VM named it. Control
VMs that have all restarted know only the VMs that report to them."""

FIRST_USE_DELAY = timedelta(seconds=1)
"""Time after the start of the process until it uses its part: the requests of
the process before it leave the window of the limits."""

LONGEST_PAUSE = timedelta(milliseconds=1600)
"""Time without a check after which this process has stood still for too long:
control VMs have closed its links, and others may have changed their parts."""


@dataclass(frozen=True, slots=True)
class _Source:
    """What a connected control VM stated last."""

    sharing: Sequence[SharingRegion]
    renews: bool
    """Whether the control VM is in contact with the leader."""

    is_settled: bool
    """Whether it has counted this VM for long enough."""


class FleetView:
    """Entry VMs that any control VM named recently."""

    def __init__(
        self,
        own: VmId,
        clock: Clock,
        heard_at: Callable[[VmId], timedelta | None],
        on_pause: Callable[[], None],
    ):
        """Start without a lease.

        ``heard_at`` returns when a control VM was last heard, None if its link
        is closed. ``on_pause`` is called after this process has stood still:
        what was heard before does not count, so the links have to be opened
        again.
        """
        self._own = vm_seed(own)
        self._clock = clock
        self._heard_at = heard_at
        self._on_pause = on_pause
        self._sources: dict[VmId, _Source] = {}
        self._named_at: dict[tuple[RegionId, VmSeed], timedelta] = {}
        self._started_at = clock.monotonic()
        self._checked_at = clock.monotonic()
        self._leased_until = timedelta.min
        self._usable = FleetShare(None, {})
        self._unusable = FleetShare(None, {})

    @property
    def entry_count(self) -> int:
        """Number of entry VMs by which this VM divides common budgets."""
        share = self.share
        if share.is_usable:
            return share.entry_count
        return max(ASSUMED_ENTRY_COUNT, share.entry_count)

    @property
    def share(self) -> FleetShare:
        """This VM's part of limits that hold for all entry VMs together."""
        return self._usable if self.is_leased else self._unusable

    @property
    def counted_digest(self) -> int:
        """Digest of the VMs that this VM counts."""
        return sharing_digest(
            frozenset[VmSeed]().union(*self._usable.regions.values())
        )

    @property
    def is_leased(self) -> bool:
        """Whether this VM may use its part."""
        now = self._clock.monotonic()
        return now < self._leased_until and not self._has_paused(now)

    def record(self, control: VmId, roster: Roster) -> None:
        """Record what a control VM states."""
        self.check()
        known = self._sources.get(control)
        sharing = roster.sharing
        if sharing is None:
            sharing = () if known is None else tuple(known.sharing)
        self._sources[control] = _Source(
            sharing, roster.is_authoritative, roster.receiver_is_settled
        )
        self.check()

    def remove_source(self, control: VmId) -> None:
        """Forget what a control VM stated; the VMs that it named stay."""
        self.check()
        self._sources.pop(control, None)

    def check(self) -> None:
        """Renew the lease if possible; call it at least twice a second."""
        now = self._clock.monotonic()
        paused = self._has_paused(now)
        self._checked_at = now
        before = (self.share, self.is_leased)
        if paused:
            self._sources.clear()
            self._leased_until = timedelta.min
            self._on_pause()
        self._remember(now)
        if now - self._started_at >= FIRST_USE_DELAY:
            self._renew_lease()
        self._log_change(before)

    def _has_paused(self, now: timedelta) -> bool:
        return now - self._checked_at > LONGEST_PAUSE

    def _remember(self, now: timedelta) -> None:
        for source in self._sources.values():
            self._named_at.update(
                ((each.region, seed), now)
                for each in source.sharing
                for seed in each.seeds
            )
        expired = [
            key for key, at in self._named_at.items() if now - at > MEMORY
        ]
        for key in expired:
            self._named_at.pop(key)
        regions = _by_region(self._named_at)
        if regions != self._usable.regions:
            self._usable = FleetShare(self._own, regions)
            self._unusable = FleetShare(None, regions)

    def _renew_lease(self) -> None:
        for control, source in self._sources.items():
            heard_at = self._heard_at(control)
            named = any(self._own in each.seeds for each in source.sharing)
            if heard_at is None or not named or not source.renews:
                continue
            # A VM that holds a lease is counted by all, whatever a control VM
            # that has just started knows.
            if source.is_settled or self.is_leased:
                self._leased_until = max(self._leased_until, heard_at + LEASE)

    def _log_change(self, before: tuple[FleetShare, bool]) -> None:
        share = self.share
        if before != (share, self.is_leased):
            _log.info(
                'part of common limits changed',
                entry_count=share.entry_count,
                leased=self.is_leased,
                controls=len(self._sources),
            )


def _by_region(
    named: Mapping[tuple[RegionId, VmSeed], timedelta],
) -> dict[RegionId, frozenset[VmSeed]]:
    seeds: dict[RegionId, set[VmSeed]] = {}
    for place, seed in named:
        seeds.setdefault(place, set()).add(seed)
    return {region: frozenset(each) for region, each in seeds.items()}
