"""Peers that can no longer give zone support to a VM."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from plantainstand_core import LogIndex, VmId

from plantainstand_shares._timing import CLOCK_DRIFT_FACTOR, SupportTiming
from plantainstand_shares._view import (
    RegistryView,
    VmIncarnation,
    VmRecord,
    VmState,
)


class Exclusions:
    """Exclusions of peers, with their times by the leader's clock.

    An excluded peer gave its last support before it became excluded; that
    support lasts for one lease.
    """

    def __init__(self, timing: SupportTiming):
        """Create a record without exclusions."""
        self._lease = timing.lease * CLOCK_DRIFT_FACTOR
        self._terminated_at: dict[VmId, timedelta] = {}
        self._ended_at: dict[VmIncarnation, timedelta] = {}
        self._promised_at: dict[
            VmIncarnation,
            dict[VmIncarnation, timedelta],
        ] = {}

    def apply(self, registry: RegistryView, now: timedelta) -> None:
        """Record the time at which departures and restarts are first seen."""
        for record in registry.records.values():
            if record.superseded_at or record.state is VmState.DEPARTED:
                self._ended_at.setdefault(record.key, now)
        self._ended_at = {
            key: since
            for key, since in self._ended_at.items()
            if key in registry.records
        }
        self._promised_at = {
            key: promises
            for key, promises in self._promised_at.items()
            if key in registry.records
        }

    def record_terminated(self, vms: Iterable[VmId], now: timedelta) -> None:
        """Record terminated VMs, which never return."""
        for vm in vms:
            self._terminated_at.setdefault(vm, now)

    def record_promises(
        self,
        peer: VmIncarnation,
        revoked: Collection[VmIncarnation],
        now: timedelta,
    ) -> None:
        """Record that ``peer`` no longer supports these incarnations."""
        for lost in revoked:
            self._promised_at.setdefault(lost, {}).setdefault(peer, now)

    def authority_end(
        self,
        registry: RegistryView,
        record: VmRecord,
        applied_index: LogIndex,
        grace_end: timedelta,
    ) -> timedelta | None:
        """Return when the authority from sources other than the leader ends.

        None as long as that cannot be determined.
        """
        ended_since = self._ended_since(record)
        if ended_since is not None:
            return ended_since
        memberships = registry.memberships_since(
            record.availability_zone,
            applied_index,
        )
        ends = [
            self._zone_support_end(registry, record, members, grace_end)
            for members in memberships
            if record.vm in members
        ]
        known = [end for end in ends if end is not None]
        return max(known) if known and len(known) == len(ends) else None

    def _zone_support_end(
        self,
        registry: RegistryView,
        record: VmRecord,
        members: frozenset[VmId],
        grace_end: timedelta,
    ) -> timedelta | None:
        if len(members) == 1:
            return grace_end
        excluded_since = (
            self._excluded_since(registry, vm, record.key)
            for vm in members
            if vm != record.vm
        )
        excluded = sorted(
            since + self._lease for since in excluded_since if since is not None
        )
        # Enough peers must be excluded that the other members, including the VM
        # itself, are no majority.
        needed_count = len(members) - len(members) // 2
        return (
            excluded[needed_count - 1]
            if len(excluded) >= needed_count
            else None
        )

    def _excluded_since(
        self,
        registry: RegistryView,
        peer: VmId,
        lost: VmIncarnation,
    ) -> timedelta | None:
        # Only the latest process of a VM can still give support.
        newest = registry.newest[peer]
        moments = (
            self._promised_at.get(lost, {}).get(newest.key),
            self._ended_since(newest),
        )
        return min(
            (since for since in moments if since is not None),
            default=None,
        )

    def _ended_since(self, record: VmRecord) -> timedelta | None:
        moments = (
            self._terminated_at.get(record.vm),
            self._ended_at.get(record.key),
        )
        return min(
            (since for since in moments if since is not None),
            default=None,
        )
