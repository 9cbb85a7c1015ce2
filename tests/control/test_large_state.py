"""Tests of a desired state that is too long for one message."""

import unittest
from typing import Any, cast

import msgspec
from plantainstand_control._publishing import UPDATE_BYTES, DesiredTransfer
from plantainstand_core import LogIndex
from plantainstand_desired import (
    ChangeItems,
    DesiredState,
    DesiredView,
    Item,
    ItemKey,
    encode_command,
)
from plantainstand_desired._items import MAX_TOMBSTONES
from plantainstand_fleet import DesiredUpdate, decode_fleet_message

from tests.desired.builders import (
    account_item,
    removal,
    route_item,
    service_item,
)

_ROUTES = 2_000
_ACCOUNTS = 100
_KEYS = 200
_MOST_FRAME_BYTES = 2 * UPDATE_BYTES
_MOST_SNAPSHOT_BYTES = 150 * MAX_TOMBSTONES


def _route(number: int, version: int) -> Item:
    return route_item(f'r{number}', version, prefix=f'/{number}/')


def _removals(end: int, first: int = 0) -> ChangeItems:
    return ChangeItems(
        tuple(removal(f'r{each}', 9) for each in range(first, end))
    )


def _kept(item: Item, index: int) -> Item:
    return msgspec.structs.replace(item, index=index)


class _SlowLink:
    """Link that takes one frame at a time."""

    def __init__(self) -> None:
        self.frames: list[bytes] = []
        self.is_congested = False

    def send(self, frame: bytes) -> None:
        """See ``Link.send``."""
        self.frames.append(frame)
        self.is_congested = True


class LargeStateTests(unittest.TestCase):
    """Guards against memory for the whole state on the link of each VM."""

    def setUp(self) -> None:
        """Fill a desired state, and connect a VM that has nothing."""
        self.state = DesiredState()
        routes = (_route(number, 5) for number in range(_ROUTES))
        change = ChangeItems((service_item(), *routes))
        outcome = self.state.apply(LogIndex(7), encode_command(change))
        self.assertIn(b'accepted', outcome)
        self.link = _SlowLink()
        self.transfer = DesiredTransfer(LogIndex(0))
        self.view = DesiredView()

    def test_updates_are_short(self) -> None:
        """The next update waits until the VM has read the one before."""
        self._send()
        self._send()
        self.assertEqual(len(self.link.frames), 1)
        while self.transfer.lacks(LogIndex(7)):
            self._receive()
            self._send()
        self.assertGreater(len(self.link.frames), 1)
        longest = max(map(len, self.link.frames))
        self.assertLess(longest, _MOST_FRAME_BYTES)

    def test_accounts_with_many_keys(self) -> None:
        """Guards against long updates, and against keys on the links."""
        keys = [f'key-{number:018}' for number in range(_KEYS)]
        accounts = (
            account_item(f'a{each}', 1, *(f'{key}-{each}' for key in keys))
            for each in range(_ACCOUNTS)
        )
        change = ChangeItems(tuple(accounts))
        self.state.apply(LogIndex(8), encode_command(change))
        while self.transfer.lacks(LogIndex(8)):
            self._send(8)
            self._receive()
        self.assertEqual(len(self.view.accounts.current), _ACCOUNTS)
        longest = max(map(len, self.link.frames))
        self.assertLess(longest, _MOST_FRAME_BYTES)
        self.assertFalse(any(b'key-0' in frame for frame in self.link.frames))

    def test_part_of_the_state_is_not_in_force(self) -> None:
        """Guards against 404 for a route that has not arrived yet."""
        self._send()
        self._receive()
        self.assertFalse(self.view.has_routes)
        self.assertIsNone(self.view.match('shop.example', '/0/'))
        while self.transfer.lacks(LogIndex(7)):
            self._send()
            self._receive()
        self.assertTrue(self.view.has_routes)
        self.assertEqual(self.view.index, 7)
        held = [item.name for item in self.view._items.values()]
        self.assertEqual(len(held), _ROUTES + 1)

    def test_change_during_the_transfer(self) -> None:
        """Guards against a change that is lost between two updates."""
        self._send()
        self._receive()
        change = ChangeItems((_route(0, 6), _route(_ROUTES, 1)))
        self.state.apply(LogIndex(8), encode_command(change))
        while self.transfer.lacks(LogIndex(8)):
            self._send(8)
            self._receive()
        versions = {
            item.name: item.version for item in self.view._items.values()
        }
        self.assertEqual((versions['r0'], versions[f'r{_ROUTES}']), (6, 1))
        self.assertEqual(self.view.index, 8)

    def test_removals_that_are_forgotten(self) -> None:
        """Guards against removed routes that a VM which was away keeps.

        The control VM remembers a bounded number of removals only, so it lists
        all items to a VM that may have missed one.
        """
        self.transfer = DesiredTransfer(LogIndex(6))
        self.state.apply(LogIndex(8), encode_command(_removals(_ROUTES)))
        for index in range(9, 30):
            names = range(index * 1_000, (index + 1) * 1_000)
            added = ChangeItems(tuple(_route(each, 1) for each in names))
            self.state.apply(LogIndex(index), encode_command(added))
            removed = _removals((index + 1) * 1_000, index * 1_000)
            self.state.apply(LogIndex(index), encode_command(removed))
        self.assertEqual(self.state.tombstone_count, MAX_TOMBSTONES)
        self.assertLess(len(self.state.snapshot()), _MOST_SNAPSHOT_BYTES)
        restored = DesiredState()
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.forgotten_index, self.state.forgotten_index)
        listed: set[ItemKey] = set()
        while self.transfer.lacks(LogIndex(30)):
            self._send(30)
            update = decode_fleet_message(self.link.frames[-1]).unwrap()
            assert isinstance(update, DesiredUpdate)
            self.assertTrue(update.lists_all)
            listed.update(item.key for item in update.items)
            self._receive()
        self.view.merge((_kept(_route(0, 5), 7),), (), LogIndex(7))
        self.assertTrue(self.view.remove_unlisted(listed, LogIndex(30)))
        self.assertIsNone(self.view.match('shop.example', '/0/'))

    def _send(self, index: int = 7) -> None:
        self.transfer.send(cast(Any, self.link), self.state, LogIndex(index))

    def _receive(self) -> None:
        """Let the VM read the newest frame."""
        update = decode_fleet_message(self.link.frames[-1]).unwrap()
        assert isinstance(update, DesiredUpdate)
        self.view.merge(
            update.items,
            update.evacuations,
            LogIndex(update.complete_through),
        )
        self.link.is_congested = False
