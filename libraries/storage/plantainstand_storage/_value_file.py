"""Small values that are replaced as a whole."""

from pathlib import Path

from result import Result

from plantainstand_storage._checked_file import read_checked, write_checked
from plantainstand_storage._file_system import FileSystem, LocalFileSystem
from plantainstand_storage._problems import StorageProblem, catching


class ValueFile:
    """One small value, for example the term and vote of a voter."""

    def __init__(self, path: Path, file_system: FileSystem | None = None):
        """Use ``path``; its folder is created by the first write."""
        self._path = path
        self._file_system = file_system or LocalFileSystem()

    def load(self) -> Result[bytes | None, StorageProblem]:
        """Return the value, or None if none was ever stored."""
        return catching(self._path, self._load)

    def store(self, payload: bytes) -> Result[None, StorageProblem]:
        """Replace the value; durable on return."""
        return catching(self._path, lambda: self._store(payload))

    def _load(self) -> bytes | None:
        try:
            return read_checked(self._file_system, self._path)
        except FileNotFoundError:
            return None

    def _store(self, payload: bytes) -> None:
        self._file_system.make_folder(self._path.parent)
        write_checked(self._file_system, self._path, payload)
