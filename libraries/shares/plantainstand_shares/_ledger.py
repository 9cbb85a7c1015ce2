"""VM side of the share table: what is in use of the VM's own shares."""

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

_ALL_USED: Mapping[ResourceId, Amount] = MappingProxyType({})


class ShareLedger:
    """Reserves parts of the shares of one process.

    It starts with empty use. What an earlier process of the VM still uses is
    covered by the shares of that incarnation, which the register keeps.
    """

    def __init__(self, owner: VmIncarnation, has_authority: HasAuthority):
        """Start without shares."""
        self._owner = owner
        self._has_authority = has_authority
        self._view: ShareView | None = None
        self._accounts: dict[ResourceId, Account] = {}
        self._pacers: Mapping[ResourceId, TargetPacer] = {}
        self._closed = False

    def apply(self, view: ShareView, now: timedelta) -> None:
        """Take the shares of a newer view; a lowered one counts at once."""
        if self._view and view.index < self._view.index:
            return
        self._view = view
        shares = view.by_vm.get(self._owner, {})
        for resource in self._accounts.keys() - shares.keys():
            account = self._accounts[resource]
            account.take_share(None)
            if account.is_idle(now):
                self._accounts.pop(resource)
        for resource, share in shares.items():
            known = self._accounts.get(resource)
            if known is None:
                known = Account(share.unit)
                self._accounts[resource] = known
            known.take_share(share)
        self._split_growth()

    def replace_pacers(self, pacers: Mapping[ResourceId, TargetPacer]) -> None:
        """Set the limits below the shares; a resource not named has none."""
        self._pacers = pacers
        self._split_growth()

    def reserve(
        self,
        claims: Iterable[Claim],
        now: timedelta,
    ) -> Result[Reservation, Shortage]:
        """Take all claims or none.

        The use must start at once: authority is checked here only.
        """
        wanted = tuple(claims)
        if self._closed or not self._has_authority(now):
            return Err(Shortage(ShortageReason.NO_AUTHORITY, None))
        for position, claim in enumerate(wanted):
            reason = self._take(claim, now)
            if reason is not None:
                for taken in wanted[:position]:
                    self._accounts[taken.resource].undo(taken, now)
                return Err(Shortage(reason, claim.resource))
        return Ok(Reservation(wanted))

    def release(
        self,
        reservation: Reservation,
        now: timedelta,
        used: Mapping[ResourceId, Amount] = _ALL_USED,
    ) -> None:
        """Give everything back, once.

        ``used`` states the real use of claims that settle late; of one that
        is not named, the whole amount counts as used.

        :raises ValueError: if the reservation was released before
        """
        if not reservation.open:
            raise ValueError('the reservation was released before')
        reservation.open = False
        for claim in reservation.claims:
            account = self._accounts[claim.resource]
            account.give_back(claim, now, used.get(claim.resource))

    def in_use(self, resource: ResourceId, now: timedelta) -> Amount:
        """Return what is in use or was used in the last second."""
        account = self._accounts.get(resource)
        return account.in_use(now) if account else 0

    def free(self, resource: ResourceId, now: timedelta) -> Amount:
        """Return what could be reserved at ``now`` with authority."""
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
        """Reserve nothing any more; called when a leaving VM stops."""
        self._closed = True

    def is_drained(self, now: timedelta) -> bool:
        """Tell whether it is closed and nothing is in use."""
        return self._closed and all(
            account.is_idle(now) for account in self._accounts.values()
        )

    def _split_growth(self) -> None:
        resources = self._view.resources if self._view else {}
        for resource, pacer in self._pacers.items():
            account = self._accounts.get(resource)
            if account and resource in resources:
                pacer.split(account.share, resources[resource].capacity)

    def _take(self, claim: Claim, now: timedelta) -> ShortageReason | None:
        account = self._accounts.get(claim.resource)
        if account is None or claim.amount > account.share:
            return ShortageReason.SHARE_TOO_SMALL
        wanted = account.in_use(now) + claim.amount
        if wanted > account.share:
            return ShortageReason.IN_USE
        if wanted > self._limit(claim.resource, account, now):
            return ShortageReason.PACED
        account.take(claim, now)
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
