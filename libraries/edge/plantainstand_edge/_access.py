"""Decides whether a request may run for the account that holds its key."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from plantainstand_allotments import UNLIMITED_USE, UsePreview
from plantainstand_core import Clock
from plantainstand_desired import (
    AccountMatch,
    AccountName,
    AccountView,
    KeyDigest,
    RouteMatch,
)
from result import Err, Ok, Result

from plantainstand_edge._active_request import (
    ActiveRequest,
    common_home_regions,
)


class AccessDenial(Enum):
    """Why a request may not run."""

    UNKNOWN_KEY = 'unknown key'
    """No account holds the key, or the request has none that can be read."""

    UNCONFIRMED_KEYS = 'keys not confirmed'
    """This VM does not know whether keys were withdrawn lately."""

    NO_HOME_REGION = 'no common home region'
    """The route and the account have no home region in common."""


@dataclass(frozen=True, slots=True)
class PermitDenial:
    """Why no run is allowed now."""

    is_over_limit: bool
    """Whether the account has reached its limit; otherwise this VM cannot
    tell, since it has no contact to the leader."""

    retry_after: timedelta
    """Time after which a run may be allowed."""


class RunPermits(Protocol):
    """Limits on the runs of accounts, over all entry VMs together."""

    async def acquire(
        self, account: AccountName
    ) -> Result[timedelta, PermitDenial]:
        """Count a run and return the time at which it was counted."""

    def preview(self, account: AccountName) -> UsePreview:
        """Tell what a run would get now, without counting it."""

    def postpone(
        self, account: AccountName, counted_at: timedelta, sent_at: timedelta
    ) -> None:
        """Count a run at the time at which its request leaves."""

    def give_back(self, account: AccountName, counted_at: timedelta) -> None:
        """Uncount a run that certainly did not take place."""


class UnlimitedPermits:
    """Allows every run; for a VM whose settings state no common limits."""

    def __init__(self, clock: Clock):
        """Count runs at the times of ``clock``."""
        self._clock = clock

    async def acquire(
        self, _account: AccountName
    ) -> Result[timedelta, PermitDenial]:
        """See :meth:`RunPermits.acquire`."""
        return Ok(self._clock.monotonic())

    def preview(self, _account: AccountName) -> UsePreview:
        """See :meth:`RunPermits.preview`."""
        return UNLIMITED_USE

    def postpone(
        self, account: AccountName, counted_at: timedelta, sent_at: timedelta
    ) -> None:
        """See :meth:`RunPermits.postpone`."""

    def give_back(self, account: AccountName, counted_at: timedelta) -> None:
        """See :meth:`RunPermits.give_back`."""


class AccessControl:
    """Checks keys, and the regions in which accounts may be served."""

    def __init__(
        self,
        accounts: AccountView,
        has_current_keys: Callable[[], bool],
    ):
        """``has_current_keys`` tells whether no key that this VM knows can
        have been withdrawn for longer than is allowed."""
        self._accounts = accounts
        self._has_current_keys = has_current_keys

    @property
    def requires_keys(self) -> bool:
        """Whether the desired state has, or had, accounts."""
        return self._accounts.requires_keys

    @property
    def has_current_keys(self) -> bool:
        """Whether it is confirmed that no known key has been withdrawn."""
        return self._has_current_keys()

    def still_allows(self, active: ActiveRequest) -> bool:
        """Tell whether a request may leave now, for the account it has.

        A key may be withdrawn, or move, while the request waits. If the first
        accounts arrive then, it still has the headers of the client.
        """
        if active.keys_required != self.requires_keys:
            return False
        if active.account is None:
            return active.match.route.public or not self.requires_keys
        checked = self.check(active.match, active.metadata.key_digest)
        known = checked.ok()
        return known is not None and known.name == active.account.name

    def renew(self, active: ActiveRequest) -> AccessDenial | None:
        """Look up the account of a request before an attempt.

        While a request waits, its key may be withdrawn or move, and the
        account may change. A request that may have run stays with the account
        for which it ran.
        """
        checked = self.check(active.match, active.metadata.key_digest)
        if isinstance(checked, Err):
            return checked.err_value
        renewed = checked.ok_value
        name = None if renewed is None else renewed.name
        if active.may_have_run and name != active.account_name:
            return AccessDenial.UNKNOWN_KEY
        active.account = renewed
        return None

    def check(
        self, match: RouteMatch, digest: KeyDigest | None
    ) -> Result[AccountMatch | None, AccessDenial]:
        """Return the account of a request; None if it needs no key."""
        account = None if digest is None else self._accounts.find_by_key(digest)
        return self.check_account(match, account)

    def check_name(
        self, match: RouteMatch, name: AccountName | None
    ) -> Result[AccountMatch | None, AccessDenial]:
        """Check a request with a key of a named account; None for no key."""
        account = None if name is None else self._accounts.find_by_name(name)
        return self.check_account(match, account)

    def check_account(
        self, match: RouteMatch, account: AccountMatch | None
    ) -> Result[AccountMatch | None, AccessDenial]:
        """Return the account that a request runs for; None for no account.

        ``account`` holds the key of the request; None if no account does.
        """
        if match.route.public or not self.requires_keys:
            return Ok(None)
        if not self._has_current_keys():
            return Err(AccessDenial.UNCONFIRMED_KEYS)
        if account is None:
            return Err(AccessDenial.UNKNOWN_KEY)
        of_route = match.route.home_regions
        has_homes = of_route and account.account.home_regions
        if has_homes and not common_home_regions(match, account):
            return Err(AccessDenial.NO_HOME_REGION)
        return Ok(account)


@dataclass(frozen=True, slots=True)
class AccountChecks:
    """What is checked before a request of an account leaves."""

    access: AccessControl
    permits: RunPermits

    async def acquire(self, active: ActiveRequest) -> PermitDenial | None:
        """Count a run against the limit of the account, if there is one."""
        if active.account is None:
            return None
        acquired = await self.permits.acquire(active.account.name)
        if isinstance(acquired, Err):
            return acquired.err_value
        active.permit_at = acquired.ok_value
        return None

    def settle(self, active: ActiveRequest) -> None:
        """Uncount the run if the attempt certainly did not lead to one."""
        permit_at = active.permit_at
        active.permit_at = None
        if active.account is None or permit_at is None or active.is_sending:
            return
        self.permits.give_back(active.account.name, permit_at)
