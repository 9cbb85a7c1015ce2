"""Whole files that are replaced atomically and carry a checksum."""

import struct
from contextlib import closing
from pathlib import Path

import xxhash

from plantainstand_storage._file_system import AppendFile, FileSystem
from plantainstand_storage._problems import CorruptionError

TEMPORARY_SUFFIX = '.tmp'

_HEADER = struct.Struct('>8sQQ')
_MAGIC = b'PLVF\x00\x01\r\n'


def write_checked(file_system: FileSystem, path: Path, payload: bytes) -> None:
    """Replace the file; durable on return, old or new after a crash."""
    temporary = path.with_name(f'{path.name}{TEMPORARY_SUFFIX}')
    header = _HEADER.pack(
        _MAGIC,
        len(payload),
        xxhash.xxh3_64_intdigest(payload),
    )
    with closing(file_system.open_append(temporary)) as target:
        _replace_content(target, header + payload)
    file_system.rename(temporary, path)
    file_system.sync_folder(path.parent)


def read_checked(file_system: FileSystem, path: Path) -> bytes:
    """Return the payload; raises CorruptionError if it is damaged."""
    content = file_system.read(path)
    if len(content) >= _HEADER.size:
        magic, length, checksum = _HEADER.unpack_from(content)
        payload = content[_HEADER.size :]
        stated = (_MAGIC, len(payload), xxhash.xxh3_64_intdigest(payload))
        if (magic, length, checksum) == stated:
            return payload
    raise CorruptionError(path, 'the checksum does not match')


def _replace_content(target: AppendFile, content: bytes) -> None:
    # An interrupted attempt may have left a temporary file.
    target.truncate(0)
    target.write(content)
    target.sync()
