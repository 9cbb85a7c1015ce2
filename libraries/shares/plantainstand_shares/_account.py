"""Use of one resource by one VM."""

from datetime import timedelta

from plantainstand_core import LogIndex

from plantainstand_shares._commands import Amount, ShareUnit
from plantainstand_shares._ledger_types import Claim
from plantainstand_shares._rate_window import RateWindow
from plantainstand_shares._view import Share

_NO_VERSION = LogIndex(0)


class Account:
    """Counts the use in flight and, for a rate, that of the last second."""

    __slots__ = (
        '_held',
        '_open_use_count',
        '_window',
        'in_flight',
        'share',
        'version',
    )

    def __init__(self, unit: ShareUnit):
        """Create an account with an empty share and no use."""
        self.share: Amount = 0
        self.version = _NO_VERSION
        self.in_flight: Amount = 0
        self._held: Amount = 0
        self._open_use_count = 0
        self._window = RateWindow() if unit is ShareUnit.RATE else None

    def update_share(self, share: Share | None) -> None:
        """Set the share; None if the table no longer contains it."""
        self.share = share.share if share else 0
        self._held = share.held if share else 0
        self.version = share.version if share else _NO_VERSION

    def in_use(self, now: timedelta) -> Amount:
        """Return the amount that counts against the share at ``now``."""
        if self._window is None:
            return self.in_flight
        return self.in_flight + self._window.used(now)

    def start_use(self, claim: Claim, now: timedelta) -> None:
        """Start a use; the caller has checked that it fits the share."""
        self._open_use_count += 1
        if self._window is None or claim.charged_on_release:
            self.in_flight += claim.amount
        else:
            self._window.add(claim.amount, now)

    def cancel_use(self, claim: Claim, now: timedelta) -> None:
        """Cancel a use whose work has not started."""
        if self._window is None or claim.charged_on_release:
            self._close_use(claim.amount)
        else:
            self._close_use(0)
            self._window.add(-claim.amount, now)

    def end_use(
        self,
        claim: Claim,
        now: timedelta,
        used: Amount | None,
    ) -> None:
        """End a use.

        ``used`` is the actual amount of a claim that is charged on release;
        None means the whole amount.
        """
        if self._window is None:
            self._close_use(claim.amount)
        elif claim.charged_on_release:
            self._close_use(claim.amount)
            self._window.add(claim.amount if used is None else used, now)
        else:
            self._close_use(0)

    def is_released(self, now: timedelta) -> bool:
        """Return whether use has fallen to a lowered, unconfirmed share."""
        return self._held > self.share and self.in_use(now) <= self.share

    def is_idle(self, now: timedelta) -> bool:
        """Return whether nothing is in use."""
        return not self._open_use_count and not self.in_use(now)

    def _close_use(self, amount: Amount) -> None:
        self._open_use_count -= 1
        # Without open uses nothing is in flight; setting zero discards the
        # accumulated rounding errors of float sums.
        self.in_flight = self.in_flight - amount if self._open_use_count else 0
