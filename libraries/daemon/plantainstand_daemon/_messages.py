"""Requests and replies as the daemon's components exchange them."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import RequestId, RequestOutcome, ServiceId, VmId

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True)
class SteeredRequest:
    """A caller's request that is to be run at a target."""

    request_id: RequestId
    service: ServiceId
    method: str
    path: str
    """Path and query after the service's prefix, with a leading slash."""

    headers: Headers
    body: bytes
    deadline: timedelta
    """End of the time limit, in this process's monotonic time."""

    traceparent: str = ''
    source_vm: VmId | None = None
    """VM that forwarded the request, which is not forwarded again."""


@dataclass(frozen=True)
class Answer:
    """A target's complete answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Reply:
    """Outcome of a request, with its answer or the reason for none."""

    outcome: RequestOutcome
    answer: Answer | None = None
    """Set with :attr:`RequestOutcome.ANSWERED`."""

    reason: str = ''
    """Human-readable reason for a missing answer."""

    served_by: str = ''
    """VM and target that served the request, or ``record``."""

    headers: Headers = field(default=())
    """Additional headers for the caller."""


def not_run(reason: str) -> Reply:
    """Build the reply for a request that did not run and never will."""
    return Reply(RequestOutcome.NOT_RUN, reason=reason)


def unknown(reason: str) -> Reply:
    """Build the reply for a request that may have run."""
    return Reply(RequestOutcome.UNKNOWN, reason=reason)
