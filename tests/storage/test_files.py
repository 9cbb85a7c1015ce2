"""Value files, snapshots and identities are old, new or refused."""

import random
import unittest
from pathlib import Path

from plantainstand_core import DiskId, LogIndex, VmId
from plantainstand_storage import (
    FolderIdentity,
    IdentityFile,
    SnapshotStore,
    StorageProblemKind,
    ValueFile,
)

from tests.storage.simulated_file_system import (
    CrashError,
    SimulatedFileSystem,
)

_PATH = Path('/data/value')
_FOLDER = Path('/snapshots')


class ValueFileTest(unittest.TestCase):
    """Guards against half-written values."""

    def test_crash_at_any_sync(self) -> None:
        """A crash leaves the old or the new value."""
        for syncs in range(4):
            for seed in range(20):
                with self.subTest(syncs=syncs, seed=seed):
                    self._check_crash(syncs, seed)

    def test_every_flipped_bit(self) -> None:
        """No damaged value is returned."""
        disk = SimulatedFileSystem()
        ValueFile(_PATH, disk).store(b'value').unwrap()
        for position in range(len(disk.read(_PATH)) * 8):
            disk.flip_bit(_PATH, position)
            kind = ValueFile(_PATH, disk).load().unwrap_err().kind
            self.assertEqual(kind, StorageProblemKind.CORRUPT)
            disk.flip_bit(_PATH, position)

    def test_full_disk(self) -> None:
        """Without space the old value stays."""
        disk = SimulatedFileSystem()
        ValueFile(_PATH, disk).store(b'old').unwrap()
        disk.capacity = len(disk.read(_PATH)) + 5
        kind = ValueFile(_PATH, disk).store(b'new').unwrap_err().kind
        self.assertEqual(kind, StorageProblemKind.DISK_FULL)
        self.assertEqual(ValueFile(_PATH, disk).load().unwrap(), b'old')

    def test_identity(self) -> None:
        """An identity is read back whole; a new folder has none."""
        disk = SimulatedFileSystem()
        identity = FolderIdentity(
            VmId('a'), DiskId('1'), (VmId('a'), VmId('b'))
        )
        self.assertIsNone(IdentityFile(_PATH, disk).load().unwrap())
        IdentityFile(_PATH, disk).store(identity).unwrap()
        self.assertEqual(IdentityFile(_PATH, disk).load().unwrap(), identity)

    def _check_crash(self, syncs: int, seed: int) -> None:
        disk = SimulatedFileSystem()
        ValueFile(_PATH, disk).store(b'old').unwrap()
        disk.syncs_until_crash = syncs
        stored = True
        try:
            ValueFile(_PATH, disk).store(b'new').unwrap()
        except CrashError:
            stored = False
        disk.crash(random.Random(seed))
        value = ValueFile(_PATH, disk).load().unwrap()
        self.assertIn(value, [b'new'] if stored else [b'old', b'new'])
        ValueFile(_PATH, disk).store(b'newer').unwrap()
        value = ValueFile(_PATH, disk).load().unwrap()
        self.assertEqual(value, b'newer')


class SnapshotStoreTest(unittest.TestCase):
    """Guards against lost snapshots and against an older one in use."""

    def test_crash_at_any_sync(self) -> None:
        """A crash leaves the old or the new snapshot."""
        for syncs in range(4):
            for seed in range(20):
                disk = SimulatedFileSystem()
                store = SnapshotStore(_FOLDER, disk)
                store.save(LogIndex(9), b'old').unwrap()
                disk.syncs_until_crash = syncs
                allowed = [b'new']
                try:
                    store.save(LogIndex(10), b'new').unwrap()
                except CrashError:
                    allowed.append(b'old')
                disk.crash(random.Random(seed))
                newest = SnapshotStore(_FOLDER, disk).newest().unwrap()
                assert newest is not None
                self.assertIn(newest.payload, allowed)

    def test_damaged(self) -> None:
        """A damaged snapshot is refused, not replaced by an older one."""
        disk = SimulatedFileSystem()
        store = SnapshotStore(_FOLDER, disk)
        store.save(LogIndex(1), b'state').unwrap()
        disk.flip_bit(disk.paths()[0], 200)
        kind = store.newest().unwrap_err().kind
        self.assertEqual(kind, StorageProblemKind.CORRUPT)
