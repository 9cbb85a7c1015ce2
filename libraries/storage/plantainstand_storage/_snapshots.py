"""Store of snapshots, each in its own file."""

from dataclasses import dataclass
from pathlib import Path

from plantainstand_core import LogIndex
from result import Result

from plantainstand_storage._checked_file import (
    TEMPORARY_SUFFIX,
    read_checksummed,
    write_checksummed,
)
from plantainstand_storage._file_system import FileSystem, LocalFileSystem
from plantainstand_storage._problems import StorageProblem, capture_errors

_SUFFIX = '.snapshot'
_NAME_DIGITS = 20


@dataclass(frozen=True)
class StoredSnapshot:
    """A snapshot, which replaces all records through an index."""

    index: LogIndex
    """Index of the last record that the payload includes."""

    payload: bytes
    """State as given to :meth:`SnapshotStore.save`."""


class SnapshotStore:
    """Stores the newest snapshot in a folder."""

    def __init__(self, folder: Path, file_system: FileSystem | None = None):
        """Use ``folder``, which is created when it is first used."""
        self._folder = folder
        self._file_system = file_system or LocalFileSystem()

    def save(
        self,
        index: LogIndex,
        payload: bytes,
    ) -> Result[None, StorageProblem]:
        """Store a snapshot durably, then remove older snapshots."""
        return capture_errors(self._folder, lambda: self._save(index, payload))

    def newest(self) -> Result[StoredSnapshot | None, StorageProblem]:
        """Return the newest snapshot; None if there is none.

        A damaged newest snapshot is a ``CORRUPT`` problem. An older snapshot is
        never returned instead, because the journal no longer has the records
        between the two.
        """
        return capture_errors(self._folder, self._newest)

    def _save(self, index: LogIndex, payload: bytes) -> None:
        self._file_system.make_folder(self._folder)
        write_checksummed(self._file_system, self._path(index), payload)
        self._remove_older(self._path(index).name)

    def _newest(self) -> StoredSnapshot | None:
        self._file_system.make_folder(self._folder)
        indexes = [
            int(name.removesuffix(_SUFFIX))
            for name in self._file_system.list_names(self._folder)
            if name.endswith(_SUFFIX)
        ]
        if not indexes:
            return None
        index = LogIndex(max(indexes))
        payload = read_checksummed(self._file_system, self._path(index))
        return StoredSnapshot(index, payload)

    def _path(self, index: LogIndex) -> Path:
        return self._folder / f'{index:0{_NAME_DIGITS}}{_SUFFIX}'

    def _remove_older(self, newest_name: str) -> None:
        removable = (_SUFFIX, f'{_SUFFIX}{TEMPORARY_SUFFIX}')
        for name in self._file_system.list_names(self._folder):
            if name.endswith(removable) and name < newest_name:
                self._file_system.remove(self._folder / name)
