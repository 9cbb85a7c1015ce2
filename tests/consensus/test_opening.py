"""Tests of data folders: new, emptied, foreign, damaged and after crashes."""

import random
import tracemalloc
import unittest
from pathlib import Path

from plantainstand_consensus import (
    Command,
    Configuration,
    Entry,
    HardState,
    Snapshot,
    TruncateEntries,
    VoterStorage,
    Write,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
    format_voter,
    open_voter,
)
from plantainstand_core import VmId
from plantainstand_storage import (
    SEGMENT_BYTES,
    StorageProblem,
    StorageProblemKind,
)
from result import Result

from tests.storage.simulated_file_system import (
    CrashError,
    SimulatedFileSystem,
)

_FOLDER = Path('/voter')
_VM = VmId('a')
_LONG_COMMAND_BYTES = 100_000
_OTHERS = (VmId('b'), VmId('c'))
_NO_VOTERS = Configuration((), (), formed=False)
_SNAPSHOT = Snapshot(8, 3, _NO_VOTERS, b'state')


def _entries(first: int, last: int, term: int) -> tuple[Entry, ...]:
    return tuple(
        Entry(index, term, Command(b'%d' % index))
        for index in range(first, last + 1)
    )


# Writes of a voter that ends with a received snapshot in place of a log with
# entries of an older term.
_WRITES: tuple[Write, ...] = (
    WriteHardState(HardState(1)),
    WriteEntries(_entries(1, 6, 1)),
    TruncateEntries(5),
    WriteHardState(HardState(2)),
    WriteEntries(_entries(5, 10, 2)),
    WriteHardState(HardState(3)),
    WriteSnapshot(_SNAPSHOT, 8, replaces_log=True),
    WriteEntries((Entry(9, 3, Command(b'new')),)),
)


def _open(
    disk: SimulatedFileSystem,
    seed: int = 0,
) -> Result[VoterStorage, StorageProblem]:
    return open_voter(
        _FOLDER,
        _VM,
        file_system=disk,
        random_source=random.Random(seed),
    )


class OpeningTest(unittest.TestCase):
    """Guards against a voter that runs with lost or foreign data."""

    def test_memory(self) -> None:
        """Guards against a start that takes the memory of the whole history.

        A process that is killed for it would start again and again.
        """
        disk = SimulatedFileSystem()
        format_voter(_FOLDER, _VM, (_VM,), file_system=disk).unwrap()
        storage = _open(disk).unwrap()
        writes: list[Write] = [WriteHardState(HardState(1))]
        writes.extend(
            WriteEntries(
                (Entry(index, 1, Command(bytes(_LONG_COMMAND_BYTES))),)
            )
            for index in range(1, 311)
        )
        state = Snapshot(300, 1, _NO_VOTERS, b'state')
        writes.append(WriteSnapshot(state, 0, replaces_log=False))
        storage.perform(writes).unwrap()
        storage.close()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        reopened = _open(disk).unwrap()
        _current, peak = tracemalloc.get_traced_memory()
        self.assertEqual(reopened.state.log.last_index, 310)
        later_bytes = 10 * _LONG_COMMAND_BYTES
        self.assertLess(peak, SEGMENT_BYTES + later_bytes)

    def test_formatted_folder_is_not_formatted_again(self) -> None:
        """Only an unused folder can be formatted."""
        disk = SimulatedFileSystem()
        members = (_VM, *_OTHERS)
        first = format_voter(_FOLDER, _VM, members, file_system=disk)
        again = format_voter(_FOLDER, _VM, members, file_system=disk)
        kind = again.unwrap_err().kind
        self.assertEqual(kind, StorageProblemKind.NOT_EMPTY)
        self.assertEqual(_open(disk).unwrap().identity, first.unwrap())

    def test_emptied_folder_gets_a_new_disk_id(self) -> None:
        """An emptied folder has no founding members, so it founds nothing."""
        before = _open(SimulatedFileSystem(), 1).unwrap().identity
        after = _open(SimulatedFileSystem(), 2).unwrap().identity
        self.assertNotEqual(before.disk, after.disk)
        self.assertEqual(after.founding_members, ())

    def test_folder_of_another_vm(self) -> None:
        """A folder of another VM is not opened."""
        disk = SimulatedFileSystem()
        _open(disk).unwrap()
        foreign = open_voter(_FOLDER, _OTHERS[0], file_system=disk)
        kind = foreign.unwrap_err().kind
        self.assertEqual(kind, StorageProblemKind.NOT_EMPTY)

    def test_missing_files(self) -> None:
        """A folder that lacks one of its files is corrupt."""
        for missing in ('journal', 'term-and-vote', 'snapshots', 'identity'):
            with self.subTest(missing):
                disk = SimulatedFileSystem()
                _open(disk).unwrap().perform(_WRITES).unwrap()
                disk.remove_below(_FOLDER / missing)
                kind = _open(disk).unwrap_err().kind
                self.assertEqual(kind, StorageProblemKind.CORRUPT)

    def test_stored_term_older_than_entries(self) -> None:
        """A folder with entries of a term newer than the stored is corrupt."""
        disk = SimulatedFileSystem()
        storage = _open(disk).unwrap()
        entry = Entry(1, 2, Command(b'entry'))
        storage.perform((WriteEntries((entry,)),)).unwrap()
        kind = _open(disk).unwrap_err().kind
        self.assertEqual(kind, StorageProblemKind.CORRUPT)

    def test_crash_at_any_sync(self) -> None:
        """A crash at any sync leaves the state of a prefix of the writes."""
        syncs = 0
        finished = False
        while not finished:
            for seed in range(15):
                with self.subTest(syncs=syncs, seed=seed):
                    finished = self._check_crash(syncs, seed)
            syncs += 1
        self.assertGreater(syncs, 10)

    def _check_crash(self, syncs: int, seed: int) -> bool:
        disk = SimulatedFileSystem()
        storage = _open(disk).unwrap()
        disk.syncs_until_crash = syncs
        finished = True
        try:
            storage.perform(_WRITES).unwrap()
        except CrashError:
            finished = False
        disk.crash(random.Random(seed))
        state = _open(disk).unwrap().state
        log = state.log
        if finished or log.last_term == 3:
            self.assertEqual(log.snapshot, _SNAPSHOT)
            self.assertEqual(state.hard_state.term, 3)
        if state.hard_state.term == 3:
            # A stored term implies the entries that were written before it.
            self.assertGreaterEqual(log.last_index, 8)
        if log.snapshot is not None:
            # Entries that conflict with the snapshot must not reappear.
            self.assertEqual(log.last_term, 3)
        if finished:
            self.assertEqual(log.last_index, 9)
        # A mixture of the logs of two terms would have decreasing terms.
        terms = [log.term_at(index) or 0 for index in range(log.last_index + 1)]
        self.assertEqual(terms, sorted(terms))
        return finished
