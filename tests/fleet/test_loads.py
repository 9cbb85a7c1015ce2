"""Guards which loads of targets are passed on."""

import unittest
from datetime import timedelta

import msgspec
from plantainstand_core import TargetId
from plantainstand_fleet import (
    LoadUpdate,
    NewestLoads,
    TargetLoad,
    encode_fleet_message,
)
from plantainstand_fleet._loads import LOAD_LIFETIME, MAX_LOADS

_NOW = timedelta(hours=1)
_TARGET = TargetId('t1')
_LIFETIME_MS = LOAD_LIFETIME // timedelta(milliseconds=1)
_UPDATE_BYTES = 6250
"""A twentieth of a link of 2 Mbit/s, with two updates a second."""


def _load(age_ms: int, running: int = 4, started_ms: int = 1) -> TargetLoad:
    return TargetLoad(_TARGET, started_ms, running, 0, 100, age_ms)


class NewestLoadsTests(unittest.TestCase):
    """The newest load by the time of the response counts, not of arrival."""

    def test_merge_by_age(self) -> None:
        """A report on a slow link must not replace what is newer."""
        cases = (
            ('newer', _load(300), _load(100, 5), (_load(100, 5),)),
            ('older', _load(100), _load(300, 5), (_load(100),)),
            ('same age', _load(100), _load(100, 5), (_load(100),)),
            (
                'another start of the process',
                _load(100),
                _load(300, 5, started_ms=2),
                (_load(100), _load(300, 5, started_ms=2)),
            ),
            ('too old', _load(_LIFETIME_MS + 1), _load(100), (_load(100),)),
            ('at the limit', _load(100), _load(_LIFETIME_MS), (_load(100),)),
            # It would be the newest for longer than any other.
            ('negative age', _load(-5000), _load(0, 5), (_load(0),)),
        )
        for name, first, second, expected in cases:
            with self.subTest(name):
                newest = NewestLoads()
                newest.merge((first,), _NOW)
                newest.merge((second,), _NOW)
                self.assertEqual(newest.take_changed(_NOW), expected)

    def test_old_load_after_a_newer_one_was_taken(self) -> None:
        """It must not be sent as a change."""
        newest = NewestLoads()
        newest.merge((_load(0),), _NOW)
        newest.take_changed(_NOW)
        newest.merge((_load(300, 5),), _NOW)
        self.assertEqual(newest.take_changed(_NOW), ())

    def test_forgets(self) -> None:
        """A load of two seconds ago says nothing about a queue of now."""
        newest = NewestLoads()
        newest.merge((_load(0),), _NOW)
        later = _NOW + LOAD_LIFETIME + timedelta(milliseconds=1)
        self.assertEqual(newest.take_changed(later), ())

    def test_bound(self) -> None:
        """Reports with made-up targets must not fill the memory.

        The newest loads stay, also between two updates.
        """
        newest = NewestLoads()
        for age_ms in (2, 1):
            newest.merge(
                (
                    TargetLoad(
                        TargetId(f't{age_ms}-{number}'), 1, 4, 0, 100, age_ms
                    )
                    for number in range(MAX_LOADS)
                ),
                _NOW,
            )
        taken = newest.take_changed(_NOW)
        self.assertEqual(len(taken), MAX_LOADS)
        self.assertEqual({load.age_ms for load in taken}, {1})

    def test_bytes_of_an_update(self) -> None:
        """Updates for 141 targets must leave an entry VM's link to requests."""
        loads = tuple(
            TargetLoad(
                TargetId(f'catalogue-{number:04}'),
                1_780_000_000_000 + number,
                6,
                18,
                250,
                1999,
            )
            for number in range(141)
        )
        frame = encode_fleet_message(LoadUpdate(loads))
        self.assertLess(len(frame), _UPDATE_BYTES)
        self.assertEqual(msgspec.msgpack.decode(frame)[0], LoadUpdate.__name__)
