"""Exit codes of plantainstandctl and failures that cause them."""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes; scripts may rely on them."""

    DONE = 0
    USAGE = 2
    CONFLICT = 3
    INVALID = 4
    NOT_FOUND = 5
    NO_MAJORITY = 6
    UNKNOWN = 7
    UNREACHABLE = 8
    PENDING = 9
    NOT_CANCELLED = 10
    UNEXPECTED = 11


EXIT_CODE_MEANINGS = (
    (ExitCode.DONE, 'done'),
    (ExitCode.USAGE, 'the command line is wrong; nothing was sent'),
    (
        ExitCode.CONFLICT,
        'another change came first; nothing was changed: look and try again',
    ),
    (
        ExitCode.INVALID,
        'the file or the change is not valid; every problem is listed',
    ),
    (ExitCode.NOT_FOUND, 'there is no such entry, drain, change or request'),
    (
        ExitCode.NO_MAJORITY,
        'the voters have no majority; nothing was changed: try again later',
    ),
    (
        ExitCode.UNKNOWN,
        'the response to a change was lost: it may be in force or not; '
        + 'repeat the command with the options that are printed',
    ),
    (ExitCode.UNREACHABLE, 'no address could be reached; nothing was changed'),
    (
        ExitCode.PENDING,
        'not yet: a drain has not ended in time, or a change is not in force '
        + 'everywhere',
    ),
    (
        ExitCode.NOT_CANCELLED,
        'the request was not cancelled: it ran or may have run',
    ),
    (ExitCode.UNEXPECTED, 'a response of a daemon cannot be read'),
)


@dataclass(frozen=True)
class Failure:
    """Why a command failed."""

    code: ExitCode
    message: str
    """What is wrong, where, and what the operator can do."""

    details: Sequence[object] = ()
    """Problems or the current entry, each printed on its own line."""


def exit_code_help() -> str:
    """Return the list of exit codes for ``--help``."""
    lines = [f'  {code:>2}  {meaning}' for code, meaning in EXIT_CODE_MEANINGS]
    return '\n'.join(('exit codes:', *lines))
