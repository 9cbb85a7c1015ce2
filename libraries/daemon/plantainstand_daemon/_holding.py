"""What one incarnation of this VM holds: authority, shares, promises."""

from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import Clock, Incarnation, VmId
from plantainstand_shares import (
    ShareLedger,
    ShareView,
    SupportHolder,
    SupportTiming,
    VmIncarnation,
    ZoneSupport,
)

_MILLISECOND = timedelta(milliseconds=1)
_NONE_KNOWN = Incarnation(0)


@dataclass
class IncarnationState:
    """Shares and authority of one incarnation of this VM.

    Work that started under an earlier incarnation gives its reservation back
    to that incarnation's ledger.
    """

    key: VmIncarnation
    ledger: ShareLedger
    support: SupportHolder
    zone_support: ZoneSupport
    longest_deadline: timedelta = timedelta(0)
    """Bound of the work this VM may start, from its register entry."""

    def apply(self, view: ShareView, now: timedelta) -> None:
        """Take a newer share view."""
        self.support.apply(view)
        self.zone_support.apply(view)
        self.ledger.apply(view, now)
        record = view.member(self.key)
        if record is not None:
            self.longest_deadline = record.longest_deadline_ms * _MILLISECOND


def new_incarnation(
    clock: Clock,
    newest_known: Incarnation = _NONE_KNOWN,
) -> Incarnation:
    """Return an incarnation above every earlier one of this VM.

    It is the time in milliseconds, unless the wall clock was set back.
    """
    since_epoch = timedelta(seconds=clock.wall().timestamp())
    return Incarnation(max(since_epoch // _MILLISECOND, newest_known + 1))


def create_incarnation_state(
    vm: VmId,
    incarnation: Incarnation,
    clock: Clock,
    timing: SupportTiming,
) -> IncarnationState:
    """Start an incarnation without shares or authority."""
    key = VmIncarnation(vm, incarnation)
    support = SupportHolder(key, clock, timing)
    return IncarnationState(
        key,
        ShareLedger(key, support.has_authority),
        support,
        ZoneSupport(key),
    )
