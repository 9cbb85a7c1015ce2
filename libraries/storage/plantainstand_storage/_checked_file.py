"""Files with a checksum that are replaced atomically as a whole."""

import struct
from contextlib import closing
from pathlib import Path

import xxhash

from plantainstand_storage._file_system import AppendFile, FileSystem
from plantainstand_storage._problems import CorruptionError

TEMPORARY_SUFFIX = '.tmp'

_HEADER = struct.Struct('>8sQQ')
_MAGIC = b'PLVF\x00\x01\r\n'


def write_checksummed(
    file_system: FileSystem, path: Path, payload: bytes
) -> None:
    """Replace the file atomically.

    The new content is durable on return; after a crash before, the file has
    the old or the new content.
    """
    temporary_path = path.with_name(f'{path.name}{TEMPORARY_SUFFIX}')
    header = _HEADER.pack(
        _MAGIC,
        len(payload),
        xxhash.xxh3_64_intdigest(payload),
    )
    with closing(file_system.open_append(temporary_path)) as temporary_file:
        _replace_content(temporary_file, header, payload)
    file_system.rename(temporary_path, path)
    file_system.sync_folder(path.parent)


def read_checksummed(file_system: FileSystem, path: Path) -> bytes:
    """Return the payload.

    Raises CorruptionError if the header or the payload is damaged.
    """
    content = file_system.read(path)
    if len(content) >= _HEADER.size:
        magic, length, checksum = _HEADER.unpack_from(content)
        payload = content[_HEADER.size :]
        expected = (_MAGIC, len(payload), xxhash.xxh3_64_intdigest(payload))
        if (magic, length, checksum) == expected:
            return payload
    raise CorruptionError(
        path, 'the header or checksum does not match the content'
    )


def _replace_content(temporary_file: AppendFile, *parts: bytes) -> None:
    # The temporary file of an interrupted write may still exist.
    temporary_file.truncate(0)
    for part in parts:
        temporary_file.write(part)
    temporary_file.sync()
