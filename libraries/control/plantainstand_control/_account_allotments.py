"""Allotments of the limits of accounts, on the leader of the log."""

from collections.abc import Collection, Mapping
from datetime import timedelta

from plantainstand_allotments import (
    CLOCK_MARGIN,
    LEASE,
    AccountLimit,
    AllotmentAuthority,
    AllotmentTerms,
)
from plantainstand_core import Clock, LogIndex, VmId
from plantainstand_desired import AccountName, ClientAccount, DesiredState
from plantainstand_fleet import AccountQuestion, Allotment

from plantainstand_control._sharing import RETENTION

RECORD_SLACK = timedelta(seconds=1)
"""Time for which a VM is remembered between two records, which are made twice a
second."""

_UNKNOWN_VM = VmId('')
"""Stands for entry VMs that this process may not know yet. No VM has the name,
so the authority waits until all leases of earlier leaders have ended."""


class AccountAllotments:
    """Answers questions on allotments with one authority for each term."""

    def __init__(
        self, terms: AllotmentTerms | None, clock: Clock, *, knows_all: bool
    ):
        """``terms`` of None stands for no limits.

        ``knows_all`` tells that the whole system starts for the first time, so
        that no VM can have a lease that this process does not know.
        """
        self._terms = terms
        self._clock = clock
        self._known_at: dict[VmId, timedelta] = {}
        self._authority: AllotmentAuthority | None = None
        self._authority_term = -1
        self._limits: Mapping[AccountName, AccountLimit] = {}
        self._limits_source: tuple[DesiredState, LogIndex] | None = None
        lease_end = timedelta()
        if terms is not None:
            # Until the runs under a lease have left the window, by any clock.
            lease_end = (LEASE + terms.holder_window) * CLOCK_MARGIN
        self._memory = RECORD_SLACK + max(lease_end - RETENTION, timedelta())
        self._knows_all_from = clock.monotonic()
        if not knows_all:
            self._knows_all_from += lease_end

    def record_vms(self, vms: Collection[VmId]) -> None:
        """Record the entry VMs that the ``SharingRegistry`` counts now."""
        if self._terms is None:
            return
        now = self._clock.monotonic()
        # Those that are counted are renewed before others are dropped, so that
        # nobody is forgotten because this process stood still.
        self._known_at.update(dict.fromkeys(vms, now))
        self._known_at = {
            vm: at
            for vm, at in self._known_at.items()
            if now - at < self._memory
        }

    def lacks(self, term: int) -> bool:
        """Tell whether :meth:`lead` is to be called for a term."""
        return self._terms is not None and term > self._authority_term

    def lead(self, term: int, state: DesiredState) -> None:
        """Begin a term that this VM leads, after a read barrier.

        Called soon after the election, so that the time until allotments may
        be raised does not begin with the first question. To begin later than
        at the election is safe. There is no way back to an earlier term: a
        second authority would not know what the first one gave.
        """
        if self._terms is not None and self.lacks(term):
            self._authority = AllotmentAuthority(
                self._terms,
                self._clock.monotonic(),
                has_predecessor=state.accounts_index > 0,
            )
            self._authority_term = term

    def answer(
        self, question: AccountQuestion, state: DesiredState, term: int
    ) -> tuple[Allotment, ...]:
        """Return the allotments for the entry VM that asks.

        Call it on the leader of ``term`` after a read barrier.
        """
        self.lead(term, state)
        authority = self._authority
        if authority is None or term != self._authority_term:
            return ()
        now = self._clock.monotonic()
        return authority.answer(
            question.vm,
            question,
            self._current_limits(state),
            self._counted_vms(now),
            now,
        )

    def _counted_vms(self, now: timedelta) -> Collection[VmId]:
        if now < self._knows_all_from:
            return (_UNKNOWN_VM,)
        return self._known_at.keys()

    def _current_limits(
        self, state: DesiredState
    ) -> Mapping[AccountName, AccountLimit]:
        if self._limits_source != (state, state.accounts_index):
            self._limits_source = (state, state.accounts_index)
            self._limits = {
                AccountName(item.name): AccountLimit(
                    item.body.requests_per_second, item.body.burst
                )
                for item in state.current_items
                if isinstance(item.body, ClientAccount) and item.body.has_limit
            }
        return self._limits
