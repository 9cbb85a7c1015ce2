"""Guards keys of client accounts in real processes, while they change."""

import asyncio
import unittest

from tests.soak._programs import installed_packages
from tests.soak.accounts import (
    KEPT,
    KEYS,
    MOVED,
    OTHER,
    WITHDRAWN,
    Findings,
    play,
)


class AccountsTests(unittest.TestCase):
    """Two entry VMs, two accounts, and one change of their keys."""

    found: Findings

    @classmethod
    def setUpClass(cls) -> None:
        """Play one run for all tests."""
        cls.enterClassContext(installed_packages())
        cls.found = asyncio.run(play())

    def test_withdrawn_key(self) -> None:
        """Guards against runs for a key once its withdrawal is applied."""
        self.assertEqual(self.found.statuses(WITHDRAWN, applied=True), {401})
        self.assertIn(200, self.found.statuses(WITHDRAWN, applied=False))
        ran = {
            each.request
            for each in self.found.of(WITHDRAWN)
            if each.status == 401
        } & set(self.found.accounts)
        self.assertEqual(ran, set())

    def test_other_keys(self) -> None:
        """Guards against rejections of keys that a change keeps or moves."""
        for key in (KEPT, MOVED, OTHER):
            with self.subTest(key):
                self.assertEqual(self.found.statuses(key), {200})

    def test_accounts_at_the_targets(self) -> None:
        """Guards against runs for an account that does not hold the key."""
        names = {
            KEPT: {'acme'},
            WITHDRAWN: {'acme'},
            MOVED: {'acme', 'zeta'},
            OTHER: {'zeta'},
        }
        for key, expected in names.items():
            with self.subTest(key):
                stated = {
                    self.found.accounts[each.request]
                    for each in self.found.of(key)
                    if each.status == 200
                }
                self.assertEqual(stated, expected)

    def test_keys_stay_on_the_control_vms(self) -> None:
        """Guards against keys at targets and in log files."""
        self.assertEqual(self.found.stated_keys, [])
        self.assertIn('"event":"request"', self.found.logs)
        for key in KEYS:
            self.assertNotIn(key, self.found.logs)

    def test_requests_without_a_key(self) -> None:
        """A public route serves them; another answers with 401."""
        self.assertEqual(self.found.public_status, 200)
        self.assertEqual(self.found.keyless_status, 401)
        self.assertIsNone(self.found.accounts['public'])

    def test_read_back(self) -> None:
        """The operator reads the keys that are in force."""
        keys = {
            name: tenant['apiKeys']
            for name, tenant in self.found.tenants.items()
        }
        self.assertEqual(keys, {'acme': [KEPT], 'zeta': [OTHER, MOVED]})
