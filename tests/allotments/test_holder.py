"""Tests of the entry VM's side."""

import unittest
from datetime import timedelta

from plantainstand_allotments import UseOutcome, UsePreview
from plantainstand_desired import AccountName
from plantainstand_fleet import AccountAnswer, Allotment

from tests.allotments.builders import ACCOUNT, VMS, Exchange, at


def _answer(number: int, amount: int, term: int = 1) -> AccountAnswer:
    allotments = (Allotment(ACCOUNT, amount, is_exhausted=True),)
    return AccountAnswer(
        number=number,
        term=term,
        accounts_index=0,
        allotments=allotments,
        incarnation=1,
    )


class HolderTests(unittest.TestCase):
    """What a holder counts and which answers it takes."""

    def setUp(self) -> None:
        """Create a holder that knows the account."""
        self.vm = Exchange(VMS[0])
        self.holder = self.vm.holder
        self.vm.request(1, 0)

    def test_lease(self) -> None:
        """A cut-off VM would go on using what others were given."""
        question = self.vm.ask(0)
        self.assertTrue(self.holder.apply(_answer(question.number, 9), at(1)))
        self.assertEqual(self.vm.request(1, 4.99), 1)
        self.assertEqual(self.vm.request(1, 5), 0)
        use = self.vm.ask(5).uses[0]
        self.assertEqual((use.allotment, use.committed), (0, 1))

    def test_preview(self) -> None:
        """Guards against previews that count, or differ from the next use."""
        holder = self.holder
        unleased = holder.preview(ACCOUNT, at(0))
        self.assertIs(unleased.outcome, UseOutcome.NOT_LEASED)
        holder.apply(_answer(self.vm.ask(0).number, 2), at(0))
        for left in (2, 1):
            previews = {holder.preview(ACCOUNT, at(1)) for _ in range(3)}
            self.assertEqual(previews, {UsePreview(UseOutcome.GRANTED, left)})
            self.assertIs(holder.try_use(ACCOUNT, at(1)), UseOutcome.GRANTED)
        demand = self.vm.ask(1).uses[0].demand
        for _ in range(3):
            exhausted = holder.preview(ACCOUNT, at(1))
        self.assertEqual(self.vm.ask(1).uses[0].demand, demand)
        self.assertIs(exhausted.outcome, UseOutcome.EXHAUSTED)
        promised = holder.retry_after(ACCOUNT, at(1))
        self.assertEqual(exhausted.retry_after, promised)
        unknown = holder.preview(AccountName('unknown'), at(1))
        self.assertIs(unknown.outcome, UseOutcome.WANTED)

    def test_answers_that_are_ignored(self) -> None:
        """Old answers would bring back what was given to other VMs."""
        numbers = [self.vm.ask(when).number for when in (0, 0.1, 0.2, 0.3)]
        cases = (
            (_answer(numbers[1], 5, term=3), 0.5, True),
            (_answer(numbers[0], 9, term=3), 0.5, False),
            (_answer(numbers[1], 9, term=3), 0.5, False),
            (_answer(numbers[2], 9, term=2), 0.5, False),
            (_answer(numbers[2], 9, term=3), 2.3, False),
            (_answer(numbers[3], 6, term=3), 2.2, True),
            (_answer(numbers[3] + 1, 9, term=3), 2.2, False),
        )
        for answer, when, is_applied in cases:
            with self.subTest(answer=answer, when=when):
                applied = self.holder.apply(answer, at(when))
                self.assertIs(applied, is_applied)
        self.assertEqual(self.vm.request(9, 2.2), 6)

    def test_new_term_raises_nothing_it_does_not_know(self) -> None:
        """The old leader lowers an allotment and gives it to another VM; the
        new one renews what was reported before."""
        self.holder.apply(_answer(self.vm.ask(0).number, 9), at(0))
        lowering = self.vm.ask(1)
        reported = [self.vm.ask(when) for when in (1.1, 1.2)]
        self.holder.apply(_answer(lowering.number, 2), at(1.3))
        for question in reported:
            answer = _answer(question.number, 9, term=2)
            self.assertTrue(self.holder.apply(answer, at(1.4)))
            self.assertEqual(self.vm.ask(1.4).uses[0].allotment, 2)
        later = _answer(self.vm.ask(1.5).number, 9, term=2)
        self.assertTrue(self.holder.apply(later, at(1.6)))
        self.assertEqual(self.vm.request(10, 1.6), 9)

    def test_give_back_and_postpone(self) -> None:
        """A run that failed would take room; one that left late would leave
        the window too early."""
        self.holder.apply(_answer(self.vm.ask(0).number, 2), at(0))
        self.assertEqual(self.vm.request(3, 0.1), 2)
        self.holder.give_back(ACCOUNT, at(0.1))
        self.assertEqual(self.vm.request(3, 0.2), 1)
        self.holder.postpone(ACCOUNT, at(0.1), at(0.4))
        self.holder.apply(_answer(self.vm.ask(4).number, 2), at(4))
        self.assertEqual(self.vm.request(3, 5.4), 0)
        self.assertEqual(self.vm.request(3, 5.5), 1)
        self.assertEqual(self.vm.request(3, 5.65), 1)

    def test_retry_after(self) -> None:
        """All rejected requests would return at once and be rejected."""
        self.holder.apply(_answer(self.vm.ask(0).number, 2), at(0))
        self.assertEqual(self.vm.request(1, 1), 1)
        self.assertEqual(self.vm.request(1, 2), 1)
        outcome = self.holder.try_use(ACCOUNT, at(3))
        self.assertIs(outcome, UseOutcome.EXHAUSTED)
        waits = [self.holder.retry_after(ACCOUNT, at(3)) for _ in range(4)]
        expected = (3.25, 4.25, 8.5, 9.5)
        self.assertEqual(waits, [timedelta(seconds=wait) for wait in expected])

    def test_demand(self) -> None:
        """Requests that wait would be counted again after each answer."""
        self.vm.request(4, 0)
        self.holder.apply(_answer(self.vm.ask(0).number, 3), at(0))
        self.assertEqual(self.vm.request(5, 0.1), 3)
        use = self.vm.ask(0.2).uses[0]
        self.assertEqual((use.demand, use.waiting), (5, 0))
        self.assertEqual(self.vm.ask(6).uses[0].demand, 0)

    def test_unused_accounts_are_forgotten(self) -> None:
        """Memory and questions would grow with each account ever seen."""
        self.assertEqual(len(self.vm.ask(1).uses), 1)
        self.assertEqual(self.vm.ask(60).uses, ())
