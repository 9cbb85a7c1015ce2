"""Why a proposal or a read was not carried out."""

from dataclasses import dataclass

from plantainstand_core import VmId
from plantainstand_storage import StorageProblem


@dataclass(frozen=True)
class NotLeader:
    """The proposal is not in the log and never will be."""

    leader: VmId | None
    """Where to try next, if known."""


@dataclass(frozen=True)
class Overloaded:
    """Too many entries wait for a majority; the proposal is not in the log."""


@dataclass(frozen=True)
class ChangePending:
    """A voter change is not committed yet; nothing was proposed."""


@dataclass(frozen=True)
class TimedOut:
    """No outcome in time; the proposal may still commit."""


@dataclass(frozen=True)
class Stopped:
    """The replica stopped; the proposal may still commit."""


@dataclass(frozen=True)
class StorageFailed:
    """The disk failed; the proposal may still commit."""

    problem: StorageProblem
    """What failed."""


ProposeProblem = (
    NotLeader | Overloaded | ChangePending | TimedOut | Stopped | StorageFailed
)
