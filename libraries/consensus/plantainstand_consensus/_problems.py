"""Reasons why a proposal or a read failed."""

from dataclasses import dataclass

from plantainstand_core import VmId
from plantainstand_storage import StorageProblem


@dataclass(frozen=True)
class NotLeader:
    """This replica does not lead; the proposal will never be in the log."""

    leader: VmId | None
    """VM to try next, if known."""


@dataclass(frozen=True)
class Overloaded:
    """Too many entries are uncommitted; the proposal is not in the log."""


@dataclass(frozen=True)
class TooLong:
    """The command exceeds the longest entry; it is not in the log."""

    length: int
    limit: int
    """Both in bytes."""


@dataclass(frozen=True)
class ChangePending:
    """A voter change is still uncommitted; the proposal is not in the log."""


@dataclass(frozen=True)
class TimedOut:
    """The time limit passed; the proposal may still be committed."""


@dataclass(frozen=True)
class Stopped:
    """The replica stopped; the proposal may still be committed."""


@dataclass(frozen=True)
class StorageFailed:
    """The disk failed; the proposal may still be committed."""

    problem: StorageProblem
    """Error of the disk."""


ProposeProblem = (
    NotLeader
    | Overloaded
    | TooLong
    | ChangePending
    | TimedOut
    | Stopped
    | StorageFailed
)
