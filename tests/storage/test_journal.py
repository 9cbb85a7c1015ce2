"""Journal: durability of synced records, and detection of damage."""

import contextlib
import itertools
import random
import unittest
from collections.abc import Callable, Sequence
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import LogIndex
from plantainstand_storage import (
    Journal,
    StorageProblem,
    StorageProblemKind,
)
from result import Err, Ok, Result

from tests.storage.simulated_file_system import (
    CrashError,
    SimulatedFileSystem,
)

_FOLDER = Path('/journal')
_SEGMENT_BYTES = 130
_MAX_FREE_BYTES = 150

_numbers = st.integers(min_value=1, max_value=12)
_steps = st.one_of(
    st.tuples(st.just('append'), st.integers(min_value=1, max_value=4)),
    st.tuples(st.just('sync'), st.just(0)),
    st.tuples(st.just('truncate'), _numbers),
    st.tuples(st.just('discard'), _numbers),
)


def _open(
    disk: SimulatedFileSystem,
    *,
    create: bool = True,
) -> Result[Journal, StorageProblem]:
    return Journal.open(_FOLDER, disk, _SEGMENT_BYTES, create=create)


def _read_all(journal: Journal) -> Result[Sequence[bytes], StorageProblem]:
    records: list[bytes] = []
    read = journal.read_each(journal.first_index, records.append)
    return read.map(lambda _none: records)


def _contents(journal: Journal) -> dict[int, bytes]:
    records = _read_all(journal).unwrap()
    contents = dict(enumerate(records, journal.first_index))
    for index, record in contents.items():
        if journal.read(LogIndex(index)).unwrap() != record:
            raise AssertionError(f'two values of record {index}')
    return contents


def _filled(disk: SimulatedFileSystem) -> Journal:
    """Return a journal of several segments with nine synced records."""
    journal = _open(disk).unwrap()
    for number in range(3):
        records = [b'record %d' % (number * 3 + part) for part in range(3)]
        journal.append(records).unwrap()
        journal.sync().unwrap()
    return journal


class _Model:
    """Runs steps on a journal and tracks what must survive a crash."""

    def __init__(self, journal: Journal):
        self._journal = journal
        self._numbers = itertools.count()
        self.current: dict[int, bytes] = {}
        self.allowed: dict[int, set[bytes]] = {}
        self.durable: dict[int, bytes] = {}

    def run(self, steps: Sequence[tuple[str, int]]) -> None:
        for name, number in steps:
            getattr(self, f'_{name}')(number)

    def _append(self, count: int) -> None:
        first = self._journal.last_index + 1
        records = [b'%d' % next(self._numbers) for _record in range(count)]
        for index, record in enumerate(records, first):
            self.allowed.setdefault(index, set()).add(record)
            self.current[index] = record
        self._journal.append(records).unwrap()

    def _sync(self, _number: int) -> None:
        self._journal.sync().unwrap()
        self.durable.update(self.current)
        for index, record in self.current.items():
            self.allowed[index] = {record}

    def _truncate(self, number: int) -> None:
        index = max(number, self._journal.first_index)
        self._remove(lambda known: known >= index)
        self._journal.truncate_from(LogIndex(index)).unwrap()
        self.allowed = {
            known: records
            for known, records in self.allowed.items()
            if known < index
        }

    def _discard(self, number: int) -> None:
        self._remove(lambda known: known <= number)
        self._journal.discard_through(LogIndex(number)).unwrap()

    def _remove(self, removed: Callable[[int], bool]) -> None:
        removed_indexes = [known for known in self.current if removed(known)]
        for index in removed_indexes:
            self.current.pop(index)
            self.durable.pop(index, None)


class CrashTest(unittest.TestCase):
    """Guards against lost synced records and against invalid records."""

    @settings(derandomize=True, database=None, deadline=None, max_examples=600)
    @given(
        steps=st.lists(_steps, min_size=3, max_size=14),
        syncs=st.integers(min_value=0, max_value=25),
        seed=st.integers(min_value=0, max_value=1000),
    )
    def test_crash_at_any_sync(
        self,
        steps: list[tuple[str, int]],
        syncs: int,
        seed: int,
    ) -> None:
        """After a crash, synced records remain and others were appended."""
        disk = SimulatedFileSystem()
        model = _Model(_open(disk).unwrap())
        disk.syncs_until_crash = syncs
        with contextlib.suppress(CrashError):
            model.run(steps)
        disk.crash(random.Random(seed))
        found = _contents(_open(disk).unwrap())
        for index, record in model.durable.items():
            self.assertEqual(found.get(index), record)
        for index, record in found.items():
            self.assertIn(record, model.allowed[index])


class DamageTest(unittest.TestCase):
    """Guards against damage that is read as valid or silently removed."""

    def test_every_flipped_bit(self) -> None:
        """Any flipped bit is detected; only an unsynced mark may be removed."""
        disk = SimulatedFileSystem()
        expected = _contents(_filled(disk))
        sizes = {path: len(disk.read(path)) for path in disk.paths()}
        for path, size in sizes.items():
            for position in range(size * 8):
                self._check_flip(path, position, expected)

    def test_damage_while_open(self) -> None:
        """A record that is damaged while the journal is open is refused."""
        disk = SimulatedFileSystem()
        journal = _filled(disk)
        disk.flip_bit(disk.paths()[0], 52 * 8)
        single = journal.read(journal.first_index).unwrap_err()
        everything = _read_all(journal).unwrap_err()
        self.assertEqual(single.kind, StorageProblemKind.CORRUPT)
        self.assertEqual(everything, single)

    def test_missing_files(self) -> None:
        """A missing segment or journal is reported as corrupt."""
        for position in (1, None):
            with self.subTest(position=position):
                disk = SimulatedFileSystem()
                _filled(disk)
                paths = disk.paths()
                removed = paths if position is None else [paths[position]]
                for path in removed:
                    disk.remove(path)
                kind = _open(disk, create=False).unwrap_err().kind
                self.assertEqual(kind, StorageProblemKind.CORRUPT)

    def test_torn_tails(self) -> None:
        """An interrupted write of any length is removed and reported."""
        reference = SimulatedFileSystem()
        journal = _filled(reference)
        newest = reference.paths()[-1]
        before = len(reference.read(newest))
        journal.append([b'torn', b'tail']).unwrap()
        tail = reference.read(newest)[before:]
        partial = tail[:-1]
        while partial:
            disk = SimulatedFileSystem()
            expected = _contents(_filled(disk))
            disk.open_append(newest).write(partial)
            reopened = _open(disk).unwrap()
            found = _contents(reopened)
            found.pop(10, None)
            self.assertEqual(found, expected)
            torn_tail = reopened.torn_tail
            # Half of two records of equal size is one complete record.
            is_complete = len(partial) * 2 == len(tail)
            self.assertEqual(torn_tail is None, is_complete)
            partial = partial[:-1]

    def _check_flip(
        self,
        path: Path,
        position: int,
        expected: dict[int, bytes],
    ) -> None:
        disk = SimulatedFileSystem()
        _filled(disk)
        disk.flip_bit(path, position)
        opened = _open(disk)
        if isinstance(opened, Err):
            kind = opened.err_value.kind
            self.assertEqual(kind, StorageProblemKind.CORRUPT)
            return
        journal = opened.unwrap()
        self.assertIsNotNone(journal.torn_tail)
        self.assertEqual(_contents(journal), expected)


class RefusalTest(unittest.TestCase):
    """Guards against failed writes that raise or damage the journal."""

    def test_full_disk(self) -> None:
        """A full disk keeps earlier records; later appends succeed."""
        for free_bytes in range(_MAX_FREE_BYTES):
            with self.subTest(free_bytes=free_bytes):
                disk = SimulatedFileSystem()
                journal = _filled(disk)
                expected = _contents(journal)
                used = sum(len(disk.read(path)) for path in disk.paths())
                disk.capacity_bytes = used + free_bytes
                self._append_until_full(journal)
                disk.capacity_bytes = None
                journal.append([b'after']).unwrap()
                journal.sync().unwrap()
                found = _contents(_open(disk).unwrap())
                self.assertEqual(found, found | expected)
                self.assertEqual(found[max(found)], b'after')

    def test_failed_sync(self) -> None:
        """After a failed sync, which may lose data, all writes are refused."""
        disk = SimulatedFileSystem()
        journal = _filled(disk)
        journal.append([b'lost']).unwrap()
        disk.fail_syncs = True
        first = journal.sync().unwrap_err().kind
        self.assertEqual(first, StorageProblemKind.INPUT_OUTPUT)
        disk.fail_syncs = False
        outcomes = (
            journal.sync(),
            journal.append([b'next']),
            journal.truncate_from(LogIndex(1)),
        )
        for outcome in outcomes:
            kind = outcome.unwrap_err().kind
            self.assertEqual(kind, StorageProblemKind.FAILED_BEFORE)

    def _append_until_full(self, journal: Journal) -> None:
        outcome: Result[LogIndex, StorageProblem] = Ok(journal.last_index)
        while outcome.is_ok():
            outcome = journal.append([b'first', b'second'])
        kind = outcome.unwrap_err().kind
        self.assertEqual(kind, StorageProblemKind.DISK_FULL)
