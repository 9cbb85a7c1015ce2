"""Guards what a leader takes over from the leaders before it."""

import unittest
from datetime import timedelta
from types import SimpleNamespace
from typing import Any, cast

from plantainstand_allotments import AllotmentTerms
from plantainstand_control._account_allotments import (
    ABSENCE_LIMIT,
    AccountAllotments,
)
from plantainstand_core import LogIndex, ManualClock, VmId
from plantainstand_desired import (
    AccountName,
    ClientAccount,
    Item,
    ItemKind,
    Version,
)
from plantainstand_fleet import AccountQuestion, AllotmentUse

_TERMS = AllotmentTerms(timedelta(seconds=5), 0, 0)
_TICK = timedelta(milliseconds=500)
_LEASES_END = timedelta(seconds=(5 + 5.25) * 1.05)
_OWN = VmId('e1')
_OTHER = VmId('e2')


class AccountAllotmentTests(unittest.TestCase):
    """An allotment that another VM may still use breaks a limit."""

    def setUp(self) -> None:
        """Start a leader that knows one entry VM."""
        self.clock = ManualClock()
        self.state = _state(limit=10)
        self.number = 0
        self.allotments = AccountAllotments(_TERMS, self.clock)

    def test_all_vms_have_reported(self) -> None:
        """Allotments rise once each VM ignores the leader before: it has
        reported after it had applied an answer."""
        self.assertEqual(self._ask(term=1), 0)
        self.number = 1 << 20
        self.assertEqual(self._ask(term=1), 0)
        self.assertGreater(self._ask(term=1), 0)

    def test_vm_that_does_not_report(self) -> None:
        """Nothing rises until its lease has ended."""
        raised_after = self._time_until_raised({_OWN, _OTHER})
        self.assertGreaterEqual(raised_after, _LEASES_END)

    def test_control_vm_that_has_just_started(self) -> None:
        """It knows from the log which VMs may have leases, and no others."""
        self.clock.advance(timedelta(hours=1))
        self.allotments = AccountAllotments(_TERMS, self.clock)
        self.assertLess(self._time_until_raised({_OWN}), _LEASES_END - _TICK)

    def test_vm_that_is_not_recorded(self) -> None:
        """It gets nothing, since a later leader would not wait for it."""
        self._time_until_raised({_OWN})
        self.state.allotment_vms = frozenset((_OTHER,))
        self.assertEqual(self._ask(term=1), 0)
        vms = self.allotments.vms_to_record(self.state)
        self.assertEqual(vms, {_OWN, _OTHER})

    def test_vm_that_is_gone(self) -> None:
        """It is dropped from the record once its lease has ended for long."""
        self._time_until_raised({_OWN, _OTHER})
        self.clock.advance(ABSENCE_LIMIT)
        self._ask(term=1)
        self.state.allotment_vms = frozenset((_OTHER,))
        vms = self.allotments.vms_to_record(self.state)
        self.assertEqual(vms, {_OWN})

    def test_next_term(self) -> None:
        """A leader that leads again does not go on with its old sums.

        It does not answer for a term that has ended: a second authority of a
        term would not know what the first one gave.
        """
        self._time_until_raised({_OWN})
        self.assertGreater(self._ask(term=1), 0)
        self.assertEqual(self._ask(term=3), 0)
        authority = self.allotments._authority
        self.assertEqual(self._ask(term=1), 0)
        self.assertIs(self.allotments._authority, authority)

    def test_first_account(self) -> None:
        """It waits for no leases, since there can be none."""
        self.allotments.lead(1, _state(limit=0, index=0))
        self.assertGreater(self._ask(term=1), 0)

    def test_changed_limits(self) -> None:
        """A limit that was changed or removed counts from then on."""
        self._time_until_raised({_OWN})
        self.state = _state(limit=1, index=9)
        self.assertLessEqual(self._ask(term=1), 10)
        self.state = _state(limit=0, index=10)
        self.assertEqual(self._ask(term=1), 0)

    def test_without_terms(self) -> None:
        """Nothing is allotted where no limits are enforced."""
        self.allotments = AccountAllotments(None, self.clock)
        self.assertEqual(self._ask(term=1), 0)

    def _time_until_raised(self, recorded: set[VmId]) -> timedelta:
        """Ask twice a second; return when an allotment came."""
        # The process of the entry VM has run for more than a window.
        self.number = 1 << 20
        began_at = self.clock.monotonic()
        self.state.allotment_vms = frozenset(recorded)
        while not self._ask(term=1):
            self.assertLess(self.clock.monotonic() - began_at, 2 * _LEASES_END)
            self.clock.advance(_TICK)
        return self.clock.monotonic() - began_at

    def _ask(self, term: int) -> int:
        self.number += 1
        use = AllotmentUse(AccountName('acme'), 0, 0, 5)
        question = AccountQuestion(
            self.number, 1, self.number - 1, (use,), _OWN
        )
        allotments = self.allotments.answer(question, self.state, term)
        return sum(each.amount for each in allotments)


def _state(limit: float, index: int = 1) -> Any:
    account = ClientAccount((), requests_per_second=limit)
    item = Item(ItemKind.ACCOUNT, 'acme', Version(1), account)
    return cast(
        Any,
        SimpleNamespace(
            accounts_index=LogIndex(index),
            current_items=(item,),
            allotment_vms=frozenset((_OWN,)),
        ),
    )
