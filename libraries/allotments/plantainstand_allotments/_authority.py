"""Allotments on the leader of the log."""

from collections.abc import Collection, Mapping
from datetime import timedelta

from plantainstand_core import VmId
from plantainstand_desired import AccountName
from plantainstand_fleet import AccountQuestion, Allotment, AllotmentUse

from plantainstand_allotments._ledger import Ledger
from plantainstand_allotments._processes import ProcessTable
from plantainstand_allotments._record import Periods, ProcessRecord
from plantainstand_allotments._terms import AccountLimit, AllotmentTerms


class AllotmentAuthority:
    """Splits the limits of accounts among VMs during one term of a leader.

    The sum of what is reserved for all processes never rises above the total
    of an account. What is reserved for a process is the larger of what it
    reported and of all amounts in answers that it may still apply.
    """

    def __init__(
        self,
        terms: AllotmentTerms,
        elected_at: timedelta,
        *,
        has_predecessor: bool = True,
    ) -> None:
        """Start a term without knowledge of the terms before.

        ``has_predecessor`` is False only if no account with a limit can have
        existed before the term, so that no allotments of earlier terms exist.
        """
        self._periods = Periods(terms.holder_window)
        self._elected_at = elected_at
        self._is_settled = not has_predecessor
        self._ledger = Ledger(terms)
        self._processes = ProcessTable(self._periods)

    def answer(
        self,
        vm: VmId,
        question: AccountQuestion,
        limits: Mapping[AccountName, AccountLimit],
        counted_vms: Collection[VmId],
        now: timedelta,
    ) -> tuple[Allotment, ...]:
        """Return the allotments for the answer to a question.

        The answer may be sent only once a read barrier begun after the question
        arrived is confirmed. ``counted_vms`` has to contain every VM that may
        hold a lease of an earlier leader, or whose runs under such a lease are
        still in the window.
        """
        self._release(now)
        record = self._processes.find(vm, question.incarnation, now)
        if question.number <= record.last_number:
            # A late question changes nothing. The amounts of the newest answer
            # stay reserved until the VM has applied that one or a later one.
            return record.newest_answer()
        self._hear(record, question, now)
        self._settle(counted_vms, now)
        self._ledger.record_unused(record, question)
        allotments: list[Allotment] = []
        for use in question.uses:
            self._ledger.record_use(record, question, use)
            limit = limits.get(use.account)
            if limit is None:
                self._ledger.withhold(record, use)
            else:
                allotments.append(self._allot(record, question, use, limit))
        return tuple(allotments)

    def _allot(
        self,
        record: ProcessRecord,
        question: AccountQuestion,
        use: AllotmentUse,
        limit: AccountLimit,
    ) -> Allotment:
        if self._is_settled:
            allotment = self._ledger.split(record, question, use, limit)
        else:
            allotment = self._ledger.renew(record, question, use, limit)
        return allotment

    def _hear(
        self, record: ProcessRecord, question: AccountQuestion, now: timedelta
    ) -> None:
        superseded = self._processes.supersede(record, now)
        if superseded is not None:
            self._ledger.set_lost(superseded)
        self._ledger.set_reporting(record)
        record.hear(question, self._periods, now)
        self._processes.keep_live(record)

    def _release(self, now: timedelta) -> None:
        for silent in self._processes.fall_silent(now):
            self._ledger.set_lost(silent)
        for released in self._processes.release(now):
            self._ledger.release(released)

    def _settle(self, counted_vms: Collection[VmId], now: timedelta) -> None:
        """Allow raises once all that leaders before have given is known."""
        if self._is_settled:
            return
        age = now - self._elected_at
        # A VM that has applied an answer of this term ignores those of earlier
        # ones, so nothing else that they gave can still take effect.
        self._is_settled = (
            age >= self._periods.lease
            or self._processes.are_confirmed(counted_vms)
        )
