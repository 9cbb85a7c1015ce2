"""What is reserved of each account."""

from plantainstand_desired import AccountName
from plantainstand_fleet import AccountQuestion, Allotment, AllotmentUse

from plantainstand_allotments._books import AccountBook, Holding
from plantainstand_allotments._record import ProcessRecord
from plantainstand_allotments._terms import AccountLimit, AllotmentTerms


class Ledger:
    """Keeps the sums of all accounts in step with the records of processes."""

    def __init__(self, terms: AllotmentTerms) -> None:
        """Start without accounts."""
        self._terms = terms
        self._books: dict[AccountName, AccountBook] = {}
        self._book_count = 0

    def record_use(
        self,
        record: ProcessRecord,
        question: AccountQuestion,
        use: AllotmentUse,
    ) -> None:
        """Take over what a process reports of one account."""
        holding = record.holdings.get(use.account)
        if holding is None:
            holding = Holding()
            record.holdings[use.account] = holding
            self._add_holding(use.account)
        reserved = max(
            use.allotment,
            use.committed,
            holding.outstanding(question.applied),
        )
        # A process keeps what was reserved for it before, as far as it still
        # has it, even if the limit was lowered.
        holding.renewable = min(holding.reserved, reserved)
        holding.waiting = use.waiting
        self._books[use.account].change(holding, reserved, use.demand)

    def record_unused(
        self, record: ProcessRecord, question: AccountQuestion
    ) -> None:
        """Take note of the accounts that a process no longer reports."""
        used = {use.account for use in question.uses}
        unused = [name for name in record.holdings if name not in used]
        for account in unused:
            holding = record.holdings[account]
            reserved = holding.outstanding(question.applied)
            self._books[account].change(holding, reserved, 0)
            holding.given = None
            if not reserved:
                record.holdings.pop(account)
                self._remove_holding(account)

    def split(
        self,
        record: ProcessRecord,
        question: AccountQuestion,
        use: AllotmentUse,
        limit: AccountLimit,
    ) -> Allotment:
        """Allot by demand; raise only by what is certainly free."""
        book = self._books[use.account]
        book.use_limit(limit, self._terms)
        holding = record.holdings[use.account]
        ceiling = max(holding.renewable, holding.reserved + book.free)
        amount = min(book.wanted(holding, record.position), ceiling)
        before = holding.reserved
        allotment = Allotment(
            account=use.account,
            amount=max(0, amount),
            is_exhausted=book.is_overloaded and book.free + before <= amount,
            is_scarce=book.is_scarce,
        )
        return self._give(record, question.number, allotment)

    def renew(
        self,
        record: ProcessRecord,
        question: AccountQuestion,
        use: AllotmentUse,
        limit: AccountLimit,
    ) -> Allotment:
        """Allot what the process has, while the sums are incomplete."""
        book = self._books[use.account]
        book.use_limit(limit, self._terms)
        given = record.holdings[use.account].given
        amount = book.renewed(use.allotment)
        if given is not None:
            # A question may have been sent before a smaller amount was
            # applied.
            amount = min(amount, given.amount)
        return self._give(
            record, question.number, Allotment(use.account, amount)
        )

    def withhold(self, record: ProcessRecord, use: AllotmentUse) -> None:
        """Allot nothing of an account that has no limit."""
        record.holdings[use.account].given = None

    def set_lost(self, record: ProcessRecord) -> None:
        """Take a process that does not report out of the split."""
        if record.is_lost:
            return
        record.is_lost = True
        for account, holding in record.holdings.items():
            book = self._books[account]
            book.lost_sum += holding.reserved
            book.change(holding, holding.reserved, 0)
            book.reserved_sum -= holding.reserved

    def set_reporting(self, record: ProcessRecord) -> None:
        """Take a process that reports into the split."""
        if not record.is_lost:
            return
        record.is_lost = False
        for account, holding in record.holdings.items():
            book = self._books[account]
            book.lost_sum -= holding.reserved
            book.reserved_sum += holding.reserved

    def release(self, record: ProcessRecord) -> None:
        """Free what is reserved for a lost process."""
        for account, holding in record.holdings.items():
            self._books[account].lost_sum -= holding.reserved
            self._remove_holding(account)

    def _give(
        self, record: ProcessRecord, number: int, allotment: Allotment
    ) -> Allotment:
        holding = record.holdings[allotment.account]
        holding.give(number, allotment)
        if allotment.amount > holding.reserved:
            book = self._books[allotment.account]
            book.change(holding, allotment.amount, holding.demand)
        return allotment

    def _add_holding(self, account: AccountName) -> None:
        book = self._books.get(account)
        if book is None:
            self._book_count += 1
            book = AccountBook(self._book_count)
            self._books[account] = book
        book.holding_count += 1

    def _remove_holding(self, account: AccountName) -> None:
        book = self._books[account]
        book.holding_count -= 1
        if not book.holding_count:
            self._books.pop(account)
