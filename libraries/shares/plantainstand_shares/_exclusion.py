"""Which peers can no longer give a VM zone support, and since when."""

from collections.abc import Collection, Iterable
from datetime import timedelta

from plantainstand_core import LogIndex, VmId

from plantainstand_shares._timing import DRIFT, SupportTiming
from plantainstand_shares._view import (
    RegistryView,
    VmIncarnation,
    VmRecord,
    VmState,
)


class Exclusions:
    """What one leader has learned, in readings of its own clock.

    The latest that a peer can have given support is when it became excluded;
    that support then lasts one more lease.
    """

    def __init__(self, timing: SupportTiming):
        """Start without knowledge."""
        self._lease = timing.lease * DRIFT
        self._terminated: dict[VmId, timedelta] = {}
        self._ended: dict[VmIncarnation, timedelta] = {}
        self._promises: dict[
            VmIncarnation,
            dict[VmIncarnation, timedelta],
        ] = {}

    def apply(self, register: RegistryView, now: timedelta) -> None:
        """Note when departures and later processes are first seen."""
        for record in register.records.values():
            if record.superseded_at or record.state is VmState.DEPARTED:
                self._ended.setdefault(record.key, now)
        self._ended = {
            key: since
            for key, since in self._ended.items()
            if key in register.records
        }
        self._promises = {
            key: promises
            for key, promises in self._promises.items()
            if key in register.records
        }

    def note_terminated(self, vms: Iterable[VmId], now: timedelta) -> None:
        """Note VMs that never come back."""
        for vm in vms:
            self._terminated.setdefault(vm, now)

    def note_promises(
        self,
        peer: VmIncarnation,
        revoked: Collection[VmIncarnation],
        now: timedelta,
    ) -> None:
        """Note that ``peer`` supports these incarnations no more."""
        for lost in revoked:
            self._promises.setdefault(lost, {}).setdefault(peer, now)

    def authority_end(
        self,
        register: RegistryView,
        record: VmRecord,
        applied: LogIndex,
        grace_end: timedelta,
    ) -> timedelta | None:
        """Return when authority without leader support has ended.

        None as long as that is not known.
        """
        certain = self._gone_since(record)
        if certain is not None:
            return certain
        memberships = register.memberships_since(
            record.availability_zone,
            applied,
        )
        ends = [
            self._majority_end(register, record, members, grace_end)
            for members in memberships
            if record.vm in members
        ]
        known = [end for end in ends if end is not None]
        return max(known) if known and len(known) == len(ends) else None

    def _majority_end(
        self,
        register: RegistryView,
        record: VmRecord,
        members: frozenset[VmId],
        grace_end: timedelta,
    ) -> timedelta | None:
        if len(members) == 1:
            return grace_end
        moments = (
            self._excluded_since(register, vm, record.key)
            for vm in members
            if vm != record.vm
        )
        excluded = sorted(
            since + self._lease for since in moments if since is not None
        )
        # So many must be excluded that the rest, the VM itself included, is
        # no majority.
        needed = len(members) - len(members) // 2
        return excluded[needed - 1] if len(excluded) >= needed else None

    def _excluded_since(
        self,
        register: RegistryView,
        peer: VmId,
        lost: VmIncarnation,
    ) -> timedelta | None:
        # Only the latest process of a VM can still give support.
        newest = register.newest[peer]
        reasons = (
            self._promises.get(lost, {}).get(newest.key),
            self._gone_since(newest),
        )
        return min(
            (since for since in reasons if since is not None),
            default=None,
        )

    def _gone_since(self, record: VmRecord) -> timedelta | None:
        reasons = (
            self._terminated.get(record.vm),
            self._ended.get(record.key),
        )
        return min(
            (since for since in reasons if since is not None),
            default=None,
        )
