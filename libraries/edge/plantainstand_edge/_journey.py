"""State of one request while it is being served."""

from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import ServiceId, TargetId
from plantainstand_desired import RouteMatch
from plantainstand_http import FailureKind, Request, TargetResponse

from plantainstand_edge._dialect import RequestMetadata


@dataclass(slots=True)
class Journey:
    """One request, with what has been tried."""

    request: Request
    facts: RequestMetadata
    match: RouteMatch
    service: ServiceId
    deadline: timedelta
    """Monotonic time at which an answer is no longer of use."""

    objective: timedelta
    """Monotonic time until which an answer has its full worth."""

    tried: set[TargetId] = field(default_factory=set)
    """Targets that have failed it."""

    sends: int = 0
    """Requests that reached a target, rejected ones too."""

    connect_failures: int = 0
    """Attempts that ended before anything was sent."""

    maybe_ran: bool = False
    """Whether some target may have begun to work on it."""

    last_answer: TargetResponse | None = None
    """A target's failure, to be passed on if nothing better comes."""

    last_failure: FailureKind | None = None
    last_target: TargetId | None = None
    last_rank: int | None = None
    """Position of the last target in the object's order."""

    last_expected_wait: timedelta = timedelta()
    """Wait that was expected at the last target."""

    @property
    def may_run_again(self) -> bool:
        """Whether another send cannot break at-most-once execution."""
        return self.match.route.idempotent or not self.maybe_ran
