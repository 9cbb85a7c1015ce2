"""What can go wrong with a data folder, as values."""

import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import TypeVar

from result import Err, Ok, Result

ValueT = TypeVar('ValueT')

_FULL_DISK_CODES = frozenset((errno.ENOSPC, errno.EDQUOT))


class StorageProblemKind(Enum):
    """Which reaction a problem calls for."""

    DISK_FULL = 'disk-full'
    """Nothing was stored; works again once there is space."""

    INPUT_OUTPUT = 'input-output'
    """The operating system refused a file operation."""

    CORRUPT = 'corrupt'
    """Synced data is damaged or missing; the voter needs repair."""

    NOT_EMPTY = 'not-empty'
    """The folder already holds data."""

    FAILED_BEFORE = 'failed-before'
    """An earlier failure left the file in an unknown state; open it again."""


@dataclass(frozen=True)
class StorageProblem:
    """Why a storage operation was not carried out."""

    kind: StorageProblemKind
    """Which reaction the problem calls for."""

    path: Path
    """File or folder concerned."""

    message: str
    """What is wrong, in one sentence."""

    def __str__(self) -> str:
        """Return the text shown to an operator."""
        return f'{self.path}: {self.kind.value}: {self.message}'


class CorruptionError(Exception):
    """Damaged data; converted to a problem before it leaves the package."""

    def __init__(self, path: Path, message: str):
        """State the damaged file and what was found in it."""
        super().__init__(message)
        self.path = path


def catching(
    path: Path,
    action: Callable[[], ValueT],
) -> Result[ValueT, StorageProblem]:
    """Run ``action`` and return its result or its failure as a value."""
    try:
        return Ok(action())
    except CorruptionError as damage:
        return Err(
            StorageProblem(
                StorageProblemKind.CORRUPT,
                damage.path,
                str(damage),
            ),
        )
    except OSError as refusal:
        return Err(_describe(path, refusal))


def _describe(path: Path, refusal: OSError) -> StorageProblem:
    kind = StorageProblemKind.INPUT_OUTPUT
    if refusal.errno in _FULL_DISK_CODES:
        kind = StorageProblemKind.DISK_FULL
    return StorageProblem(kind, path, str(refusal))
