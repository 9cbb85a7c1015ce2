"""Tests of client accounts in the replicated state and in the view."""

import math
import unittest
from collections.abc import Callable, Sequence
from itertools import permutations

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from plantainstand_core import LogIndex
from plantainstand_desired import (
    ChangeItems,
    ClientAccount,
    DesiredState,
    DesiredView,
    Item,
    ItemKind,
    Verdict,
    Version,
    digest_key,
)
from plantainstand_desired._items import MAX_TOMBSTONES

from tests.desired.builders import (
    AppliedCommands,
    account_item,
    account_removal,
    removal,
    route_item,
    service_item,
)

_KEY = 'k-3f81c2'
_NAMES = ('one', 'two', 'three')
_KEYS = ('k1', 'k2', 'k3')

Call = Sequence[tuple[str, int, Sequence[str] | None]]
"""Names, versions and keys of the accounts of a change; None to drop one."""

_CALLS = st.lists(
    st.lists(
        st.tuples(
            st.sampled_from(_NAMES),
            st.integers(1, 9),
            st.none() | st.lists(st.sampled_from(_KEYS), max_size=2),
        ),
        min_size=1,
        max_size=3,
        unique_by=lambda change: change[0],
    ),
    max_size=12,
)


def _item(name: str, version: int, keys: Sequence[str] | None) -> Item:
    if keys is None:
        return account_removal(name, version)
    return account_item(name, version, *keys)


def _holder(view: DesiredView, key: str) -> str | None:
    match = view.accounts.find_by_key(digest_key(key.encode()))
    return None if match is None else match.name


def _kept(item: Item, index: int) -> Item:
    return msgspec.structs.replace(item, index=index)


def _names(state: DesiredState) -> set[str]:
    return {item.name for item in state.current_items}


def _shares_keys(items: Sequence[Item]) -> bool:
    """Check all items: the definition of accounts that share a key."""
    digests = [
        digest
        for item in items
        if isinstance(item.body, ClientAccount)
        for digest in set(item.body.key_digests)
    ]
    return len(digests) != len(set(digests))


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


class SharedKeyTests(unittest.TestCase):
    """Guards against requests that two accounts could claim."""

    def test_keys_of_a_change(self) -> None:
        """A key may move or be reused within a change, never be shared."""
        cases: tuple[tuple[str, Call, Verdict], ...] = (
            (
                'within the change',
                (('a', 5, 'x'), ('b', 5, 'x')),
                Verdict.INVALID,
            ),
            ('with what stands', (('a', 5, '1'),), Verdict.INVALID),
            ('twice in one', (('a', 5, 'xx'),), Verdict.ACCEPTED),
            ('moved', (('one', 5, '2'), ('a', 5, '1')), Verdict.ACCEPTED),
            (
                'moved, new first',
                (('a', 5, '1'), ('one', 5, '2')),
                Verdict.ACCEPTED,
            ),
            ('swapped', (('one', 5, '3'), ('two', 5, '12')), Verdict.ACCEPTED),
            (
                'holder dropped',
                (('one', 5, None), ('a', 5, '12')),
                Verdict.ACCEPTED,
            ),
            (
                'holder keeps it',
                (('one', 5, '12'), ('a', 5, '1')),
                Verdict.INVALID,
            ),
            (
                'dropped too late',
                (('one', 1, None), ('a', 5, '1')),
                Verdict.INVALID,
            ),
            (
                'moved too late',
                (('one', 1, '2'), ('a', 5, '1')),
                Verdict.INVALID,
            ),
            ('late holder', (('one', 1, '3'),), Verdict.ACCEPTED),
            ('own keys', (('one', 5, '21'),), Verdict.ACCEPTED),
            ('other content', (('one', 2, '1'),), Verdict.CONFLICT),
        )
        for name, call, verdict in cases:
            with self.subTest(name):
                applied = AppliedCommands()
                applied.change(account_item('one', 2, '1', '2'))
                applied.change(account_item('two', 2, '3'))
                outcome = applied.change(*(_item(*each) for each in call))
                self.assertIs(outcome.verdict, verdict)

    def test_key_of_a_refused_change(self) -> None:
        """Guards against keys that a refused change occupies or frees."""
        applied = AppliedCommands()
        applied.change(account_item('one', 1, 'k1'))
        applied.change(account_item('one', 2), account_item('', 1, 'k2'))
        outcome = applied.change(account_item('two', 1, 'k2'))
        self.assertIs(outcome.verdict, Verdict.ACCEPTED)
        outcome = applied.change(account_item('three', 1, 'k1'))
        self.assertIs(outcome.verdict, Verdict.INVALID)

    @given(calls=_CALLS, restored=st.booleans())
    def test_agrees_with_a_full_check(
        self,
        calls: Sequence[Call],
        restored: bool,  # noqa: FBT001
    ) -> None:
        """Both checks agree for changes in any order of versions."""
        applied = AppliedCommands()
        accepted: dict[str, Item] = {}
        for call in calls:
            items = [_item(*each) for each in call]
            newer = {
                item.name: item
                for item in items
                if item.name not in accepted
                or item.version > accepted[item.name].version
            }
            merged = {**accepted, **newer}
            expected = not _shares_keys(list(merged.values()))
            verdict = applied.change(*items).verdict
            if verdict is Verdict.CONFLICT:
                continue
            self.assertEqual(verdict is Verdict.ACCEPTED, expected)
            if expected:
                accepted = merged
            if restored:
                applied.state.restore(applied.state.snapshot())


class RepeatedNameTests(unittest.TestCase):
    """Guards against an older version that wins within one change."""

    def test_account_named_twice(self) -> None:
        """The highest version holds in either order; equal ones conflict."""
        cases: tuple[tuple[str, Call, Verdict, set[str]], ...] = (
            (
                'set last',
                (('a', 1, None), ('a', 2, '1')),
                Verdict.ACCEPTED,
                {'a'},
            ),
            (
                'set first',
                (('a', 2, '1'), ('a', 1, None)),
                Verdict.ACCEPTED,
                {'a'},
            ),
            (
                'dropped',
                (('a', 1, '1'), ('a', 2, None)),
                Verdict.ACCEPTED,
                set(),
            ),
            (
                'same version',
                (('a', 1, '1'), ('a', 1, None)),
                Verdict.CONFLICT,
                set(),
            ),
            (
                'twice the same',
                (('a', 1, '1'), ('a', 1, '1')),
                Verdict.ACCEPTED,
                {'a'},
            ),
        )
        for name, call, verdict, expected in cases:
            with self.subTest(name):
                applied = AppliedCommands()
                outcome = applied.change(*(_item(*each) for each in call))
                self.assertIs(outcome.verdict, verdict)
                self.assertEqual(_names(applied.state), expected)


class StateTests(unittest.TestCase):
    """Guards against accounts that are lost or return in the state."""

    def test_dropped_account_stays_dropped(self) -> None:
        """An older version that arrives late does not restore its keys."""
        applied = AppliedCommands()
        applied.change(account_item('one', 1, 'k1'))
        applied.change(account_removal('one', 5))
        applied.change(account_item('one', 4, 'k1'))
        self.assertEqual(_names(applied.state), set())
        outcome = applied.change(account_item('two', 1, 'k1'))
        self.assertIs(outcome.verdict, Verdict.ACCEPTED)

    def test_index_of_the_newest_change(self) -> None:
        """Guards against proofs for keys that a change has withdrawn."""
        applied = AppliedCommands()
        steps: tuple[tuple[Item, int], ...] = (
            (service_item(), 0),
            (account_item('one', 1, 'k1'), 2),
            (route_item('shop', 1), 2),
            (account_item('one', 1, 'k1'), 2),
            (account_item('two', 1, 'k1'), 2),
            (account_removal('one', 2), 6),
            (removal('shop', 2), 6),
        )
        for item, index in steps:
            applied.change(item)
            with self.subTest(item):
                self.assertEqual(applied.state.accounts_index, index)
                restored = DesiredState()
                restored.restore(applied.state.snapshot())
                self.assertEqual(restored.accounts_index, index)

    def test_index_after_tombstones_are_forgotten(self) -> None:
        """Guards against an older index once removals are forgotten."""
        applied = AppliedCommands()
        applied.change(account_item('one', 1, 'k1'))
        applied.change(account_removal('one', 2))
        for first in range(0, MAX_TOMBSTONES, 1000):
            names = range(first, first + 1000)
            applied.change(*(removal(f'r{each}', 1) for each in names))
        restored = DesiredState()
        restored.restore(applied.state.snapshot())
        for state in (applied.state, restored):
            remembered = {item.name for item in state.items_after(LogIndex(0))}
            self.assertNotIn('one', remembered)
            self.assertEqual(state.accounts_index, 2)

    def test_restored_accounts(self) -> None:
        """Guards against a shared key after a restart of a control VM."""
        applied = AppliedCommands()
        item = account_item('one', 1, 'k1', rank=1, rate=2, burst=3)
        applied.change(item)
        applied.state.restore(applied.state.snapshot())
        self.assertEqual(applied.state.current_items, [_kept(item, 1)])
        outcome = applied.change(account_item('two', 1, 'k1'))
        self.assertIs(outcome.verdict, Verdict.INVALID)

    def test_snapshot_of_the_version_before(self) -> None:
        """Guards against control VMs that cannot start after an upgrade."""
        applied = AppliedCommands()
        applied.change(service_item(), route_item('shop', 1))
        stored = msgspec.msgpack.decode(applied.state.snapshot())
        stored.pop('accounts_index')
        for item in stored['items']:
            for name in ('large_bodies', 'public'):
                item['body'].pop(name, None)
        restored = DesiredState()
        restored.restore(msgspec.msgpack.encode(stored))
        self.assertEqual(restored.current_items, applied.state.current_items)
        self.assertEqual(restored.accounts_index, 0)


class ViewTests(unittest.TestCase):
    """Guards against keys that belong to a wrong account on an entry VM."""

    def test_moved_key_in_any_order(self) -> None:
        """A key belongs to the account that changed last."""
        updates = (
            _kept(account_item('one', 1, 'k1', 'k2'), 1),
            _kept(account_item('one', 2, 'k2'), 2),
            _kept(account_item('two', 1, 'k1'), 2),
            _kept(account_item('one', 3), 3),
        )
        for order in permutations(updates):
            view = DesiredView()
            for item in order:
                view.merge((item,), (), LogIndex(0))
                view.accounts.find_by_key(digest_key(b'k1'))
            with self.subTest([item.index for item in order]):
                self.assertEqual(_holder(view, 'k1'), 'two')
                self.assertIsNone(_holder(view, 'k2'))

    def test_move_that_arrived_in_part(self) -> None:
        """Either half of a move is enough, if the new holder is known."""
        old = _kept(account_item('one', 1, 'k1'), 1)
        new = _kept(account_item('two', 1, 'k1'), 2)
        for order in ((old, new), (new, old)):
            view = DesiredView()
            view.merge(order, (), LogIndex(1))
            self.assertEqual(_holder(view, 'k1'), 'two')

    def test_state_without_accounts(self) -> None:
        """Keys are required once an account was known, also if it is gone."""
        changes: tuple[Callable[[DesiredView], object], ...] = (
            lambda view: view.merge(
                (_kept(account_removal('one', 2), 2),), (), LogIndex(2)
            ),
            lambda view: view.remove_unlisted((), LogIndex(2)),
        )
        for change in changes:
            view = DesiredView()
            view.merge((_kept(route_item('shop', 1), 1),), (), LogIndex(1))
            self.assertFalse(view.accounts.requires_keys)
            view.merge(
                (_kept(account_item('one', 1, 'k1'), 1),), (), LogIndex(1)
            )
            self.assertEqual(_holder(view, 'k1'), 'one')
            change(view)
            self.assertTrue(view.accounts.requires_keys)
            self.assertIsNone(_holder(view, 'k1'))
            self.assertEqual(view.accounts.current, {})

    def test_forgotten_tombstones(self) -> None:
        """Guards against a dropped account that returns with its keys."""
        view = DesiredView()
        view.merge((_kept(account_removal('one', 2), 1),), (), LogIndex(1))
        gone = (
            _kept(Item(ItemKind.ROUTE, f'r{each}', Version(1), None), 2)
            for each in range(MAX_TOMBSTONES)
        )
        view.merge(gone, (), LogIndex(2))
        self.assertTrue(view.accounts.requires_keys)
        late = _kept(account_item('one', 1, 'k1'), 1)
        view.merge((late,), (), LogIndex(1))
        self.assertIsNone(_holder(view, 'k1'))
