"""Tests of client accounts in the replicated state and in the view."""

import unittest

from plantainstand_core import LogIndex
from plantainstand_desired import (
    ChangeItems,
    DesiredView,
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
