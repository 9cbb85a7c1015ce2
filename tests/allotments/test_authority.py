"""Tests of the leader's side."""

import copy
import unittest

from plantainstand_allotments import (
    AccountLimit,
    AllotmentAuthority,
    window_total,
)
from plantainstand_fleet import AccountQuestion, AllotmentUse

from tests.allotments.builders import (
    ACCOUNT,
    LIMITS,
    TERMS,
    TOTAL,
    VMS,
    Exchange,
    allotted,
    at,
    settled_authority,
)
from tests.allotments.world import TERMS as TOLERANT_TERMS


class ReservationTests(unittest.TestCase):
    """What stays reserved for a VM."""

    def setUp(self) -> None:
        """Give one VM the whole limit."""
        self.authority = settled_authority()
        self.first = Exchange(VMS[0])
        self.second = Exchange(VMS[1])
        self.first.request(TOTAL, 0)
        self.assertEqual(self.first.renew(self.authority, 0), TOTAL)
        self.assertEqual(self.first.request(TOTAL, 0.1), TOTAL)

    def test_total(self) -> None:
        """The total would leave no tolerance for delays."""
        limit = AccountLimit(requests_per_second=1.6, burst=1.6)
        self.assertEqual(window_total(limit, TOLERANT_TERMS), 20)
        self.assertEqual(window_total(LIMITS[ACCOUNT], TERMS), TOTAL)

    def test_runs_in_the_window(self) -> None:
        """Runs that are still in the window would be given to another VM."""
        for when, run_count in ((1, TOTAL), (5.3, TOTAL), (5.4, 0)):
            self.setUp()
            kept = self.first.renew(self.authority, when)
            self.second.request(TOTAL, when)
            with self.subTest(when=when):
                amount = self.second.renew(self.authority, when + 0.01)
                self.assertEqual(amount, TOTAL - max(kept, run_count))

    def test_answers_under_way(self) -> None:
        """An answer that arrives after the VM's next question left would be
        applied although its amount was given to another VM."""
        authority = settled_authority()
        wanted = AllotmentUse(ACCOUNT, 0, 0, demand=12, waiting=12)
        given = AllotmentUse(ACCOUNT, 12, 12, demand=12)
        greedy = AllotmentUse(ACCOUNT, 0, 0, demand=TOTAL, waiting=TOTAL)
        unused = AllotmentUse(ACCOUNT, 0, 0, demand=0)
        cases = (
            (AccountQuestion(1, 1, 0, (wanted,)), 8),
            (AccountQuestion(2, 1, 0, (unused,)), 8),
            (AccountQuestion(3, 1, 0), 8),
            (AccountQuestion(4, 1, 1, (given,)), 8),
            (AccountQuestion(5, 1, 4), TOTAL),
        )
        for question, free in cases:
            authority.answer(VMS[0], question, LIMITS, VMS, at(0))
            probe = AccountQuestion(question.number, 1, 0, (greedy,))
            probed = copy.deepcopy(authority)
            amounts = probed.answer(VMS[1], probe, LIMITS, VMS, at(0))
            with self.subTest(question=question):
                self.assertEqual(amounts[0].amount, free)

    def test_late_question(self) -> None:
        """A question that was overtaken would replace a newer report."""
        late = self.first.ask(1)
        self.first.renew(self.authority, 5.4)
        self.first.renew(self.authority, 5.5)
        before = self.first.renew(self.authority, 5.6)
        answer = self.first.answer(self.authority, late, 5.7)
        self.assertEqual(allotted(answer), before)
        self.second.request(TOTAL, 5.8)
        amount = self.second.renew(self.authority, 5.8)
        self.assertEqual(amount, TOTAL - before)

    def test_lost_and_restarted_vms(self) -> None:
        """What a VM had would be given to others while it, or its runs, can
        still count; or never again."""
        restarted = Exchange(VMS[0], incarnation=2)
        for is_restarted, kept_until in ((False, 10.2), (True, 6.2)):
            self.setUp()
            if is_restarted:
                restarted.renew(self.authority, 1)
            with self.subTest(is_restarted=is_restarted):
                self.second.request(TOTAL, kept_until)
                amount = self.second.renew(self.authority, kept_until)
                self.assertEqual(amount, 0)
                freed = kept_until + 0.8
                self.second.request(TOTAL, freed)
                amount = self.second.renew(self.authority, freed)
                self.assertEqual(amount, TOTAL)

    def test_memory(self) -> None:
        """Records of VMs and accounts that are gone would pile up."""
        for number in range(50):
            Exchange(VMS[0], incarnation=number + 2).renew(self.authority, 1)
        self.second.request(1, 29)
        self.second.renew(self.authority, 29)
        for when in range(30, 64, 2):
            self.second.renew(self.authority, when)
        # Private members: memory is no part of the interface.
        self.assertFalse(self.authority._ledger._books)
        self.assertEqual(len(self.authority._processes._live), 1)
        self.assertFalse(self.authority._processes._superseded)


class ElectionTests(unittest.TestCase):
    """What a leader gives that does not know what was given before."""

    def setUp(self) -> None:
        """Have the old leader give one VM half of the limit."""
        self.old = settled_authority()
        self.new = AllotmentAuthority(TERMS, at(60))
        self.first = Exchange(VMS[0])
        self.second = Exchange(VMS[1])
        self.first.request(TOTAL // 2, 49)
        for when in (49, 59, 59.9):
            self.first.renew(self.old, when)
            self.first.request(TOTAL // 2, when)
            self.second.renew(self.old, when)

    def test_renewal(self) -> None:
        """Requests below the limit would be rejected after an election."""
        question = self.first.ask(60)
        before = question.uses[0].allotment
        self.assertGreater(before, 1)
        answer = self.first.answer(self.new, question, 60, term=2)
        self.assertEqual(allotted(answer), before)

    def test_renewal_is_never_raised(self) -> None:
        """A question that left before a smaller amount was applied would bring
        the larger one back."""
        lowered = {ACCOUNT: AccountLimit(1, burst=0)}
        use = AllotmentUse(ACCOUNT, 10, 10, demand=10)
        for number, limits in enumerate((lowered, LIMITS)):
            question = AccountQuestion(number + 1, 1, 0, (use,))
            allotments = self.new.answer(VMS[0], question, limits, VMS, at(60))
            with self.subTest(number=number):
                self.assertEqual(allotments[0].amount, 5)

    def test_raises_wait_two_seconds(self) -> None:
        """An answer of the old leader may raise an allotment until then."""
        for when, is_raised in ((60, 0), (60.5, 0), (61.9, 0), (62.2, 1)):
            self.first.renew(self.new, when, term=2)
            self.second.request(2, when)
            amount = self.second.renew(self.new, when, term=2)
            with self.subTest(when=when):
                self.assertEqual(bool(amount), bool(is_raised))

    def test_report_before_a_raise_of_the_old_leader(self) -> None:
        """The report was sent before the VM applied that raise."""
        self.first.request(TOTAL, 59.95)
        raised = self.first.answer(self.old, self.first.ask(60), 60)
        stale = self.first.ask(60.1)
        self.assertTrue(self.first.holder.apply(raised, at(60.2)))
        for when in (60.3, 60.8, 61.3, 61.8):
            self.second.renew(self.new, when, term=2)
        self.first.answer(self.new, stale, 62, term=2)
        self.second.request(TOTAL, 62.2)
        amount = self.second.renew(self.new, 62.2, term=2)
        self.assertEqual(amount, 0)

    def test_counted_vm_that_does_not_report(self) -> None:
        """Its lease and its runs would be given to others; or never."""
        for when, is_raised in ((60, 0), (62.5, 0), (70.2, 0), (70.8, 1)):
            self.second.request(TOTAL, when)
            amount = self.second.renew(self.new, when, term=2)
            with self.subTest(when=when):
                self.assertEqual(bool(amount), bool(is_raised))

    def test_vm_that_is_not_counted(self) -> None:
        """A VM that asks may apply a raise of the old leader, counted or
        not."""
        self.first.answer(self.new, self.first.ask(60), 60, term=2)
        for when in (60.1, 60.6, 62.2):
            question = self.second.ask(when)
            answer = self.second.answer(
                self.new, question, when, term=2, counted=VMS[1:]
            )
            self.second.holder.apply(answer, at(when))
            self.second.request(1, when)
        self.assertEqual(allotted(answer), 0)

    def test_vm_that_restarted_before_its_first_report(self) -> None:
        """Nobody reports the runs of its process before."""
        restarted = Exchange(VMS[0], incarnation=2)
        for when, is_raised in ((60.1, 0), (62.5, 0), (65.5, 0), (65.7, 1)):
            restarted.renew(self.new, when, term=2)
            self.second.request(TOTAL, when)
            amount = self.second.renew(self.new, when, term=2)
            with self.subTest(when=when):
                self.assertEqual(bool(amount), bool(is_raised))
