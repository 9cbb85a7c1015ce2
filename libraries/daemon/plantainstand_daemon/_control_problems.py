"""Why a command has no outcome."""

from dataclasses import dataclass
from enum import Enum


class ControlFailure(Enum):
    """Why a command has no outcome."""

    NOT_PROPOSED = 'not-proposed'
    """No voter accepted the command; it has no effect now or later."""

    OUTCOME_UNKNOWN = 'outcome-unknown'
    """A voter may have accepted the command; sending it again is safe."""


@dataclass(frozen=True)
class ControlProblem:
    """Why a command has no outcome."""

    failure: ControlFailure
    message: str
