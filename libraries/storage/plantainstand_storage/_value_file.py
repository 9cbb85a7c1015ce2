"""Small files that are replaced atomically as a whole."""

from pathlib import Path

from result import Result

from plantainstand_storage._checked_file import (
    read_checksummed,
    write_checksummed,
)
from plantainstand_storage._file_system import FileSystem, LocalFileSystem
from plantainstand_storage._problems import StorageProblem, capture_errors


class ValueFile:
    """A small value in a file, for example the term and vote of a voter."""

    def __init__(self, path: Path, file_system: FileSystem | None = None):
        """Use ``path``, whose folder is created by the first :meth:`store`."""
        self._path = path
        self._file_system = file_system or LocalFileSystem()

    def load(self) -> Result[bytes | None, StorageProblem]:
        """Return the value; None if no value was stored."""
        return capture_errors(self._path, self._load)

    def store(self, payload: bytes) -> Result[None, StorageProblem]:
        """Replace the value; durable on return."""
        return capture_errors(self._path, lambda: self._store(payload))

    def _load(self) -> bytes | None:
        try:
            return read_checksummed(self._file_system, self._path)
        except FileNotFoundError:
            return None

    def _store(self, payload: bytes) -> None:
        self._file_system.make_folder(self._path.parent)
        write_checksummed(self._file_system, self._path, payload)
