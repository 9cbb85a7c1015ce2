"""Cost of client accounts: per request, per change and in memory."""

import time
import tracemalloc
from collections.abc import Callable, Mapping, Sequence
from itertools import count

import msgspec
from plantainstand_core import LogIndex
from plantainstand_desired import (
    ChangeItems,
    ClientAccount,
    DesiredState,
    DesiredView,
    Item,
    ItemKind,
    Version,
    digest_key,
    encode_command,
)

_KEYS_PER_ACCOUNT = 10
_SIZES = (100, 10_000)
_LOOK_UPS = 100_000
_CHANGES = 200
_MICROSECONDS = 1_000_000
_MILLISECONDS = 1000
_MEGABYTE = 1_000_000


def measure_accounts() -> Mapping[str, float]:
    """Return times and memory for states of 100 and of 10,000 keys.

    A look-up is all that a request costs for its key: the digest and the
    search for its account. The first look-up after a change of an account
    builds the index of the keys anew.
    """
    figures: dict[str, float] = {}
    for keys in _SIZES:
        items = _items(keys)
        figures.update(_look_up_figures(keys, items))
        figures.update(_change_figures(keys, items))
    return figures


def _look_up_figures(keys: int, items: Sequence[Item]) -> Mapping[str, float]:
    received = msgspec.msgpack.encode(items)
    tracemalloc.start()
    view = DesiredView()
    view.merge(
        msgspec.msgpack.decode(received, type=list[Item]), (), LogIndex(1)
    )
    view.accounts.find_by_key(digest_key(b''))
    held_bytes, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    known = [_key(number % keys) for number in range(_LOOK_UPS)]
    unknown = [b'unknown %s' % key for key in known]
    versions = count(2)

    def find(stated: Sequence[bytes]) -> None:
        for key in stated:
            view.accounts.find_by_key(digest_key(key))

    def change() -> None:
        for _ in range(_CHANGES):
            view.merge((_item(0, next(versions)),), (), LogIndex(1))
            view.accounts.find_by_key(digest_key(known[0]))

    return {
        f'look-up of a key, us at {keys} keys': (
            _MICROSECONDS * _seconds(lambda: find(known)) / _LOOK_UPS
        ),
        f'look-up of an unknown key, us at {keys} keys': (
            _MICROSECONDS * _seconds(lambda: find(unknown)) / _LOOK_UPS
        ),
        f'change and first look-up, ms at {keys} keys': (
            _MILLISECONDS * _seconds(change) / _CHANGES
        ),
        f'accounts of an entry VM, MB at {keys} keys': held_bytes / _MEGABYTE,
    }


def _change_figures(keys: int, items: Sequence[Item]) -> Mapping[str, float]:
    state = DesiredState()
    state.apply(LogIndex(1), encode_command(ChangeItems(tuple(items))))
    commands = [
        encode_command(ChangeItems((_item(0, version),)))
        for version in range(2, _CHANGES + 2)
    ]

    def apply() -> None:
        for index, command in enumerate(commands, start=2):
            state.apply(LogIndex(index), command)

    return {
        f'change of one account on a control VM, us at {keys} keys': (
            _MICROSECONDS * _seconds(apply) / _CHANGES
        ),
    }


def _items(keys: int) -> Sequence[Item]:
    return [_item(number, 1) for number in range(keys // _KEYS_PER_ACCOUNT)]


def _item(number: int, version: int) -> Item:
    first = number * _KEYS_PER_ACCOUNT
    held = range(first, first + _KEYS_PER_ACCOUNT)
    body = ClientAccount(tuple(digest_key(_key(each)) for each in held), 1)
    name = f'account-{number}'
    return Item(ItemKind.ACCOUNT, name, Version(version), body, index=version)


def _key(number: int) -> bytes:
    return b'key-%028d' % number


def _seconds(action: Callable[[], object]) -> float:
    started = time.process_time()
    action()
    return time.process_time() - started
