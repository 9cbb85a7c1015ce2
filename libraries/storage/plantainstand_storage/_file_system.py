"""Interface of the file operations that the package needs.

Tests implement the interface to crash at any sync, to lose bytes that were
not synced, to flip bits and to fill the disk.
"""

import os
from collections.abc import Sequence
from contextlib import closing
from pathlib import Path
from typing import Protocol

_FILE_MODE = 0o640


class AppendFile(Protocol):
    """File opened for appending. Every method may raise OSError."""

    def write(self, payload: bytes) -> None:
        """Append ``payload``; an error may leave any part of it in the file."""

    def sync(self) -> None:
        """Make the content and the length of the file durable."""

    def truncate(self, length: int) -> None:
        """Shorten the file to ``length`` bytes; durable after :meth:`sync`."""

    def close(self) -> None:
        """Close the file without a sync."""


class FileSystem(Protocol):
    """File operations on a data folder. Every method may raise OSError."""

    def make_folder(self, folder: Path) -> None:
        """Create ``folder`` and its missing parents, durably."""

    def list_names(self, folder: Path) -> Sequence[str]:
        """Return the names of the files in ``folder``, sorted."""

    def read(self, path: Path) -> bytes:
        """Return the content of a file."""

    def read_range(self, path: Path, offset: int, length: int) -> bytes:
        """Return up to ``length`` bytes of a file from ``offset`` on."""

    def open_append(self, path: Path) -> AppendFile:
        """Open a file for appending; create the file if it is missing."""

    def rename(self, source: Path, destination: Path) -> None:
        """Rename a file, replacing ``destination`` if it exists.

        Durable after :meth:`sync_folder`.
        """

    def remove(self, path: Path) -> None:
        """Remove a file; durable after :meth:`sync_folder`."""

    def sync_folder(self, folder: Path) -> None:
        """Make the creation, renaming and removal of files durable."""


class LocalFileSystem:
    """File operations of the operating system."""

    def make_folder(self, folder: Path) -> None:
        """See :meth:`FileSystem.make_folder`."""
        if folder.is_dir():
            return
        self.make_folder(folder.parent)
        folder.mkdir(exist_ok=True)
        self.sync_folder(folder.parent)

    def list_names(self, folder: Path) -> Sequence[str]:
        """See :meth:`FileSystem.names`."""
        return sorted(os.listdir(folder))

    def read(self, path: Path) -> bytes:
        """See :meth:`FileSystem.read`."""
        return path.read_bytes()

    def read_range(self, path: Path, offset: int, length: int) -> bytes:
        """See :meth:`FileSystem.read_range`."""
        with path.open('rb') as source:
            source.seek(offset)
            return source.read(length)

    def open_append(self, path: Path) -> AppendFile:
        """See :meth:`FileSystem.open_append`."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
        return _LocalAppendFile(os.open(path, flags, _FILE_MODE))

    def rename(self, source: Path, destination: Path) -> None:
        """See :meth:`FileSystem.rename`."""
        source.replace(destination)

    def remove(self, path: Path) -> None:
        """See :meth:`FileSystem.remove`."""
        path.unlink()

    def sync_folder(self, folder: Path) -> None:
        """See :meth:`FileSystem.sync_folder`."""
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        with closing(_LocalAppendFile(descriptor)):
            os.fsync(descriptor)


class _LocalAppendFile:
    def __init__(self, descriptor: int):
        self._descriptor = descriptor

    def write(self, payload: bytes) -> None:
        rest = memoryview(payload)
        while rest:
            rest = rest[os.write(self._descriptor, rest) :]

    def sync(self) -> None:
        # fdatasync also syncs the length, because reads depend on the length.
        os.fdatasync(self._descriptor)

    def truncate(self, length: int) -> None:
        os.ftruncate(self._descriptor, length)

    def close(self) -> None:
        os.close(self._descriptor)
