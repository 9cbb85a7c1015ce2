"""Tests of client accounts in the replicated state and in the view."""

import math
import unittest

from plantainstand_core import LogIndex
from plantainstand_desired import (
    ChangeItems,
    DesiredView,
    Verdict,
    digest_key,
)

from tests.desired.builders import (
    AppliedCommands,
    account_item,
)

_KEY = 'k-3f81c2'


class SecrecyTests(unittest.TestCase):
    """Guards against keys in log lines, which print what they are given."""

    def test_repr_shows_neither_keys_nor_digests(self) -> None:
        """Commands, items, accounts and matches are printed without keys."""
        item = account_item('acme', 1, _KEY)
        view = DesiredView()
        view.merge((item,), (), LogIndex(1))
        digest = digest_key(_KEY.encode())
        printed = (item, item.body, ChangeItems((item,)), [item])
        for each in (*printed, view.accounts.find_by_key(digest)):
            with self.subTest(type(each)):
                self.assertNotIn(_KEY, repr(each))
                self.assertNotIn(repr(digest), repr(each))

    def test_problems_do_not_state_keys(self) -> None:
        """The refusal of a shared key names the accounts alone."""
        outcome = AppliedCommands().change(
            account_item('one', 1, _KEY), account_item('two', 1, _KEY)
        )
        self.assertEqual(outcome.problem, 'accounts one and two share a key')


class ValidityTests(unittest.TestCase):
    """Guards against accounts that a later step cannot handle."""

    def test_names(self) -> None:
        """Guards against names that add header lines to a request."""
        cases = (
            ('acme', Verdict.ACCEPTED),
            ('Acme & Söhne 30%', Verdict.ACCEPTED),
            ('a' * 256, Verdict.ACCEPTED),
            ('', Verdict.INVALID),
            (' acme', Verdict.INVALID),
            ('acme ', Verdict.INVALID),
            ('ac\r\nx-admin: 1', Verdict.INVALID),
            ('ac\nme', Verdict.INVALID),
            ('ac\0me', Verdict.INVALID),
            ('ac\tme', Verdict.INVALID),
            ('ac\x7fme', Verdict.INVALID),
            ('a' * 257, Verdict.INVALID),
        )
        for name, verdict in cases:
            with self.subTest(name):
                outcome = AppliedCommands().change(account_item(name, 1, _KEY))
                self.assertEqual(outcome.verdict, verdict)

    def test_figures(self) -> None:
        """Guards against limits that cannot be computed with."""
        refused = (-1, -0.001, math.nan, math.inf, 1e308)
        cases = [account_item('acme', 1, rate=figure) for figure in refused]
        cases.extend(account_item('acme', 1, burst=each) for each in refused)
        cases.extend(account_item('acme', 1, rank=rank) for rank in (-1, -7))
        for item in cases:
            with self.subTest(item.body):
                self.assertEqual(
                    AppliedCommands().change(item).verdict, Verdict.INVALID
                )
        accepted = account_item('acme', 1, rate=0.001, burst=1e9, rank=0)
        self.assertEqual(
            AppliedCommands().change(accepted).verdict, Verdict.ACCEPTED
        )
