"""Reservations of a VM against its shares."""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from types import MappingProxyType

from plantainstand_core import ResourceId
from result import Err, Ok, Result

from plantainstand_shares._account import Account
from plantainstand_shares._commands import Amount
from plantainstand_shares._ledger_types import (
    Claim,
    HasAuthority,
    ReleasedShare,
    Reservation,
    Shortage,
    ShortageReason,
)
from plantainstand_shares._pacing import TargetPacer
from plantainstand_shares._view import ShareView, VmIncarnation

_FULL_AMOUNTS: Mapping[ResourceId, Amount] = MappingProxyType({})


class ShareLedger:
    """Reserves parts of the shares of one process.

    A new ledger has no use. Use by an earlier process of the VM counts against
    the shares of that incarnation, which the share table still holds.
    """

    def __init__(self, owner: VmIncarnation, has_authority: HasAuthority):
        """Create a ledger without shares."""
        self._owner = owner
        self._has_authority = has_authority
        self._view: ShareView | None = None
        self._accounts: dict[ResourceId, Account] = {}
        self._pacers: Mapping[ResourceId, TargetPacer] = {}
        self._closed = False

    def apply(self, view: ShareView, now: timedelta) -> None:
        """Apply the shares of a view; an older view is ignored.

        A lowered share limits new reservations at once.
        """
        if self._view and view.index < self._view.index:
            return
        self._view = view
        shares = view.by_vm.get(self._owner, {})
        for resource in self._accounts.keys() - shares.keys():
            account = self._accounts[resource]
            account.update_share(None)
            if account.is_idle(now):
                self._accounts.pop(resource)
        for resource, share in shares.items():
            known = self._accounts.get(resource)
            if known is None:
                known = Account(share.unit)
                self._accounts[resource] = known
            known.update_share(share)
        self._update_pacers()

    def replace_pacers(self, pacers: Mapping[ResourceId, TargetPacer]) -> None:
        """Replace the pacers; other resources are limited only by shares."""
        self._pacers = pacers
        self._update_pacers()

    def reserve(
        self,
        claims: Iterable[Claim],
        now: timedelta,
    ) -> Result[Reservation, Shortage]:
        """Reserve all claims or none.

        The use must start at once, because authority is checked only here.
        """
        requested = tuple(claims)
        if self._closed or not self._has_authority(now):
            return Err(Shortage(ShortageReason.NO_AUTHORITY, None))
        for position, claim in enumerate(requested):
            reason = self._start_use(claim, now)
            if reason is not None:
                for started in requested[:position]:
                    self._accounts[started.resource].cancel_use(started, now)
                return Err(Shortage(reason, claim.resource))
        return Ok(Reservation(requested))

    def release(
        self,
        reservation: Reservation,
        now: timedelta,
        used: Mapping[ResourceId, Amount] = _FULL_AMOUNTS,
    ) -> None:
        """Release a reservation.

        ``used`` contains the actual use of claims that are charged on release;
        without an entry, the whole amount of the claim counts as used.

        :raises ValueError: if the reservation was already released
        """
        if not reservation.open:
            raise ValueError('the reservation was already released')
        reservation.open = False
        for claim in reservation.claims:
            account = self._accounts[claim.resource]
            account.end_use(claim, now, used.get(claim.resource))

    def in_use(self, resource: ResourceId, now: timedelta) -> Amount:
        """Return the amount in use, for rates that of the last second too."""
        account = self._accounts.get(resource)
        return account.in_use(now) if account else 0

    def free(self, resource: ResourceId, now: timedelta) -> Amount:
        """Return the amount that can be reserved at ``now``.

        Does not check authority.
        """
        account = self._accounts.get(resource)
        if account is None:
            return 0
        limit = self._limit(resource, account, now)
        return max(0, limit - account.in_use(now))

    def released_shares(self, now: timedelta) -> tuple[ReleasedShare, ...]:
        """Return lowered shares whose use has fallen to the new value."""
        return tuple(
            ReleasedShare(resource, account.version)
            for resource, account in self._accounts.items()
            if account.is_released(now)
        )

    def close(self) -> None:
        """Refuse all further reservations; for a leaving VM that stops."""
        self._closed = True

    def is_drained(self, now: timedelta) -> bool:
        """Return whether the ledger is closed and nothing is in use."""
        return self._closed and all(
            account.is_idle(now) for account in self._accounts.values()
        )

    def _update_pacers(self) -> None:
        resources = self._view.resources if self._view else {}
        for resource, pacer in self._pacers.items():
            account = self._accounts.get(resource)
            if account and resource in resources:
                pacer.update_share(account.share, resources[resource].capacity)

    def _start_use(self, claim: Claim, now: timedelta) -> ShortageReason | None:
        account = self._accounts.get(claim.resource)
        if account is None or claim.amount > account.share:
            return ShortageReason.SHARE_TOO_SMALL
        total_use = account.in_use(now) + claim.amount
        if total_use > account.share:
            return ShortageReason.IN_USE
        if total_use > self._limit(claim.resource, account, now):
            return ShortageReason.PACED
        account.start_use(claim, now)
        return None

    def _limit(
        self,
        resource: ResourceId,
        account: Account,
        now: timedelta,
    ) -> Amount:
        pacer = self._pacers.get(resource)
        if pacer is None:
            return account.share
        return pacer.usable(int(account.share), int(account.in_flight), now)
