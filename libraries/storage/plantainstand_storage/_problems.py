"""Problems with a data folder, as values."""

import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

ValueT = TypeVar('ValueT')

_DISK_FULL_ERRNOS = frozenset((errno.ENOSPC, errno.EDQUOT))


class StorageProblemKind(Enum):
    """Kinds of storage problems, by the reaction that they require."""

    DISK_FULL = 'disk-full'
    """Nothing was stored; a retry succeeds once there is free space."""

    INPUT_OUTPUT = 'input-output'
    """A file operation of the operating system failed."""

    CORRUPT = 'corrupt'
    """Synced data is damaged or missing; the voter must be repaired."""

    NOT_EMPTY = 'not-empty'
    """The folder already holds data."""

    FAILED_BEFORE = 'failed-before'
    """An earlier failure left the files in an unknown state; reopen them."""


@dataclass(frozen=True)
class StorageProblem:
    """Why a storage operation failed."""

    kind: StorageProblemKind

    path: Path
    """File or folder concerned."""

    message: str
    """What is wrong, in one sentence."""

    def __str__(self) -> str:
        """Return the text shown to an operator."""
        return f'{self.path}: {self.kind.value}: {self.message}'


class CorruptionError(Exception):
    """Synced data is damaged or missing.

    Converted to a :class:`StorageProblem` within the package.
    """

    def __init__(self, path: Path, message: str):
        """Describe the damage of the file or folder ``path``."""
        super().__init__(message)
        self.path = path


def capture_errors(
    path: Path,
    action: Callable[[], ValueT],
) -> Result[ValueT, StorageProblem]:
    """Run ``action``; return its result, or its error as a problem.

    ``path`` is the file or folder concerned by errors of the operating
    system.
    """
    try:
        return Ok(action())
    except CorruptionError as error:
        return Err(
            StorageProblem(
                StorageProblemKind.CORRUPT,
                error.path,
                str(error),
            ),
        )
    except OSError as error:
        return Err(_operating_system_problem(path, error))


def _operating_system_problem(path: Path, error: OSError) -> StorageProblem:
    kind = StorageProblemKind.INPUT_OUTPUT
    if error.errno in _DISK_FULL_ERRNOS:
        kind = StorageProblemKind.DISK_FULL
    return StorageProblem(kind, path, str(error))
