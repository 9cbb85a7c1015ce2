"""Use of one resource at one VM."""

from datetime import timedelta

from plantainstand_core import LogIndex

from plantainstand_shares._commands import Amount, ShareUnit
from plantainstand_shares._ledger_types import Claim
from plantainstand_shares._rate_window import RateWindow
from plantainstand_shares._view import Share

_NO_VERSION = LogIndex(0)


class Account:
    """Counts what is in flight and, for a rate, what was used lately."""

    __slots__ = ('_held', '_open', '_window', 'in_flight', 'share', 'version')

    def __init__(self, unit: ShareUnit):
        """Start with an empty share and no use."""
        self.share: Amount = 0
        self.version = _NO_VERSION
        self.in_flight: Amount = 0
        self._held: Amount = 0
        self._open = 0
        self._window = RateWindow() if unit is ShareUnit.RATE else None

    def take_share(self, share: Share | None) -> None:
        """Take the present share; None once the table has none."""
        self.share = share.share if share else 0
        self._held = share.held if share else 0
        self.version = share.version if share else _NO_VERSION

    def in_use(self, now: timedelta) -> Amount:
        """Return what counts against the share at ``now``."""
        if self._window is None:
            return self.in_flight
        return self.in_flight + self._window.used(now)

    def take(self, claim: Claim, now: timedelta) -> None:
        """Start a use that is known to fit."""
        self._open += 1
        if self._window is None or claim.charged_on_release:
            self.in_flight += claim.amount
        else:
            self._window.add(claim.amount, now)

    def undo(self, claim: Claim, now: timedelta) -> None:
        """Take back a use that never started."""
        if self._window is None or claim.charged_on_release:
            self._end(claim.amount)
        else:
            self._end(0)
            self._window.add(-claim.amount, now)

    def give_back(
        self,
        claim: Claim,
        now: timedelta,
        used: Amount | None,
    ) -> None:
        """End a use."""
        if self._window is None:
            self._end(claim.amount)
        elif claim.charged_on_release:
            self._end(claim.amount)
            self._window.add(claim.amount if used is None else used, now)
        else:
            self._end(0)

    def is_released(self, now: timedelta) -> bool:
        """Tell whether a lowered share is kept to but still held higher."""
        return self._held > self.share and self.in_use(now) <= self.share

    def is_idle(self, now: timedelta) -> bool:
        """Tell whether nothing is in use."""
        return not self._open and not self.in_use(now)

    def _end(self, amount: Amount) -> None:
        self._open -= 1
        # Without open uses nothing is in flight; this drops the rounding
        # error of sums of floats.
        self.in_flight = self.in_flight - amount if self._open else 0
