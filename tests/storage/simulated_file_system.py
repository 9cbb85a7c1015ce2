"""In-memory file system with injected crashes, damage and errors."""

import errno
import random
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path


class CrashError(Exception):
    """The simulated VM lost power."""


@dataclass
class _File:
    content: bytes = b''
    synced: bytes = b''


class SimulatedFileSystem:
    """Implements ``FileSystem``; only synced data survives :meth:`crash`."""

    def __init__(self) -> None:
        """Start with an empty disk."""
        self._files: dict[Path, _File] = {}
        self._synced_names: dict[Path, _File] = {}
        self.syncs_until_crash: int | None = None
        self.capacity_bytes: int | None = None
        self.fail_syncs = False

    def paths(self) -> Sequence[Path]:
        """Return every file."""
        return sorted(self._files)

    def remove_below(self, removed: Path) -> None:
        """Remove a file, or all files of a folder."""
        self._files = {
            path: file
            for path, file in self._files.items()
            if removed not in {path, *path.parents}
        }

    def flip_bit(self, path: Path, position: int) -> None:
        """Flip a bit of the written and of the synced content."""
        content = bytearray(self._files[path].content)
        content[position // 8] ^= 1 << (position % 8)
        self._files[path].content = bytes(content)
        self._files[path].synced = bytes(content)

    def crash(self, random_source: random.Random) -> None:
        """Keep synced data, and a random selection of unsynced data."""
        self.syncs_until_crash = None
        names = set(self._files) | set(self._synced_names)
        survivors = {}
        for path in sorted(names):
            # A name whose change was not synced refers to the old or the new
            # file.
            choices = [self._synced_names.get(path), self._files.get(path)]
            chosen = random_source.choice(choices)
            if chosen is not None:
                chosen.content = _surviving_content(chosen, random_source)
                chosen.synced = chosen.content
                survivors[path] = chosen
        self._files = dict(survivors)
        self._synced_names = dict(survivors)

    def make_folder(self, folder: Path) -> None:
        """Do nothing, as any folder exists."""

    def list_names(self, folder: Path) -> Sequence[str]:
        """See ``FileSystem``."""
        return sorted(
            path.name for path in self._files if path.parent == folder
        )

    def read(self, path: Path) -> bytes:
        """See ``FileSystem``."""
        if path not in self._files:
            raise FileNotFoundError(errno.ENOENT, 'no such file', str(path))
        return self._files[path].content

    def read_range(self, path: Path, offset: int, length: int) -> bytes:
        """See ``FileSystem``."""
        return self.read(path)[offset : offset + length]

    def open_append(self, path: Path) -> '_OpenFile':
        """See ``FileSystem``."""
        return _OpenFile(self, self._files.setdefault(path, _File()))

    def rename(self, source: Path, destination: Path) -> None:
        """See ``FileSystem``."""
        self._files[destination] = self._files.pop(source)

    def remove(self, path: Path) -> None:
        """See ``FileSystem``."""
        self._files.pop(path)

    def sync_folder(self, folder: Path) -> None:
        """See ``FileSystem``."""
        self.simulate_sync()
        known = {*self._files, *self._synced_names}
        for path in known:
            if path.parent != folder:
                continue
            self._synced_names.pop(path, None)
            present = self._files.get(path)
            if present is not None:
                self._synced_names[path] = present

    def simulate_sync(self) -> None:
        """Count a sync; crash or fail instead if the test asks for this."""
        if self.fail_syncs:
            raise OSError(errno.EIO, 'the disk failed')
        if self.syncs_until_crash is not None:
            if self.syncs_until_crash == 0:
                raise CrashError
            self.syncs_until_crash -= 1

    def free_bytes(self) -> int | None:
        """Return how many bytes can still be written; None for any number."""
        if self.capacity_bytes is None:
            return None
        used = sum(len(file.content) for file in self._files.values())
        return max(self.capacity_bytes - used, 0)


class _OpenFile:
    def __init__(self, disk: SimulatedFileSystem, file: _File):
        self._disk = disk
        self._file = file

    def write(self, payload: bytes) -> None:
        free_bytes = self._disk.free_bytes()
        self._file.content += payload[:free_bytes]
        if free_bytes is not None and free_bytes < len(payload):
            raise OSError(errno.ENOSPC, 'no space left')

    def sync(self) -> None:
        self._disk.simulate_sync()
        self._file.synced = self._file.content

    def truncate(self, length: int) -> None:
        self._file.content = self._file.content[:length]

    def close(self) -> None:
        """Nothing to do."""


def _surviving_content(file: _File, random_source: random.Random) -> bytes:
    synced = file.synced
    written = file.content
    if not written.startswith(synced):
        return random_source.choice((synced, written))
    end = random_source.randint(len(synced), len(written))
    # The length may be durable before the bytes, which are then zeros.
    zeros = random_source.randint(0, len(written) - end)
    return written[:end] + bytes(zeros)
