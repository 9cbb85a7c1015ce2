"""Allotments of the limits of accounts, on the leader of the log."""

from collections.abc import Collection, Mapping
from datetime import timedelta

from plantainstand_allotments import (
    AccountLimit,
    AllotmentAuthority,
    AllotmentTerms,
)
from plantainstand_core import Clock, LogIndex, VmId
from plantainstand_desired import AccountName, ClientAccount, DesiredState
from plantainstand_fleet import AccountQuestion, Allotment

ABSENCE_LIMIT = timedelta(minutes=1)
"""Time without a question after which a VM is no longer recorded as one that
may have allotments: far beyond its lease."""


class AccountAllotments:
    """Answers questions on allotments with one authority for each term."""

    def __init__(self, terms: AllotmentTerms | None, clock: Clock):
        """``terms`` of None stands for no limits."""
        self._terms = terms
        self._clock = clock
        self._asked_at: dict[VmId, timedelta] = {}
        self._led_since = clock.monotonic()
        self._authority: AllotmentAuthority | None = None
        self._authority_term = -1
        self._limits: Mapping[AccountName, AccountLimit] = {}
        self._limits_source: tuple[DesiredState, LogIndex] | None = None

    def vms_to_record(self, state: DesiredState) -> Collection[VmId] | None:
        """Return the VMs to record in the log; None if they are recorded.

        VMs that have asked get no allotment before they are recorded. Those
        that have not asked for long are dropped with the next change.
        """
        recorded = state.allotment_vms
        if not self._limits or self._asked_at.keys() <= recorded:
            return None
        now = self._clock.monotonic()
        kept = {
            vm
            for vm in recorded
            if now - self._asked_at.get(vm, self._led_since) < ABSENCE_LIMIT
        }
        return kept | self._asked_at.keys()

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
            now = self._clock.monotonic()
            self._asked_at.clear()
            self._led_since = now
            self._authority = AllotmentAuthority(
                self._terms,
                now,
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
        limits = self._current_limits(state)
        self._asked_at[question.vm] = now
        if question.vm not in state.allotment_vms:
            return ()
        return authority.answer(
            question.vm, question, limits, state.allotment_vms, now
        )

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
