"""Snapshots, each in a file of its own."""

from dataclasses import dataclass
from pathlib import Path

from plantainstand_core import LogIndex
from result import Result

from plantainstand_storage._checked_file import (
    TEMPORARY_SUFFIX,
    read_checked,
    write_checked,
)
from plantainstand_storage._file_system import FileSystem, LocalFileSystem
from plantainstand_storage._problems import StorageProblem, catching

_SUFFIX = '.snapshot'
_NAME_DIGITS = 20


@dataclass(frozen=True)
class StoredSnapshot:
    """State that replaces all records through an index."""

    index: LogIndex
    """Last index whose effect the payload holds."""

    payload: bytes
    """State as given to :meth:`SnapshotStore.save`."""


class SnapshotStore:
    """Keeps the newest snapshot of a folder."""

    def __init__(self, folder: Path, file_system: FileSystem | None = None):
        """Use ``folder``; it is created by the first save."""
        self._folder = folder
        self._file_system = file_system or LocalFileSystem()

    def save(
        self,
        index: LogIndex,
        payload: bytes,
    ) -> Result[None, StorageProblem]:
        """Store a snapshot durably, then remove the older ones."""
        return catching(self._folder, lambda: self._save(index, payload))

    def newest(self) -> Result[StoredSnapshot | None, StorageProblem]:
        """Return the newest snapshot, or None if there is none.

        A damaged one is a ``CORRUPT`` problem. An older one is never used in
        its place: the journal no longer holds the records between them.
        """
        return catching(self._folder, self._newest)

    def _save(self, index: LogIndex, payload: bytes) -> None:
        self._file_system.make_folder(self._folder)
        write_checked(self._file_system, self._path(index), payload)
        self._remove_others(self._path(index).name)

    def _newest(self) -> StoredSnapshot | None:
        self._file_system.make_folder(self._folder)
        indexes = [
            int(name.removesuffix(_SUFFIX))
            for name in self._file_system.names(self._folder)
            if name.endswith(_SUFFIX)
        ]
        if not indexes:
            return None
        index = LogIndex(max(indexes))
        payload = read_checked(self._file_system, self._path(index))
        return StoredSnapshot(index, payload)

    def _path(self, index: LogIndex) -> Path:
        return self._folder / f'{index:0{_NAME_DIGITS}}{_SUFFIX}'

    def _remove_others(self, kept: str) -> None:
        removable = (_SUFFIX, f'{_SUFFIX}{TEMPORARY_SUFFIX}')
        for name in self._file_system.names(self._folder):
            if name.endswith(removable) and name < kept:
                self._file_system.remove(self._folder / name)
