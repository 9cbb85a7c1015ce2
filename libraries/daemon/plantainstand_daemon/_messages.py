"""Requests and replies as they pass between the daemon's parts."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import RequestId, RequestOutcome, ServiceId, VmId

Headers = Sequence[tuple[str, str]]


@dataclass(frozen=True)
class SteeredRequest:
    """One request of a caller on its way to a target."""

    request_id: RequestId
    service: ServiceId
    method: str
    path: str
    """Path and query below the service, with a leading slash."""

    headers: Headers
    body: bytes
    deadline: timedelta
    """Monotonic time of this process at which the caller gives up."""

    traceparent: str = ''
    source_vm: VmId | None = None
    """VM that forwarded the request; a forwarded one stays here."""


@dataclass(frozen=True)
class Answer:
    """A target's whole answer."""

    status: int
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class Reply:
    """What is said about a request."""

    outcome: RequestOutcome
    answer: Answer | None = None
    """Set with :attr:`RequestOutcome.ANSWERED`."""

    reason: str = ''
    """Why there is no answer, for people."""

    served_by: str = ''
    """VM and target that served the request."""

    headers: Headers = field(default=())
    """Further headers for the caller."""


def not_run(reason: str) -> Reply:
    """Build the reply for a request that did not run and never will."""
    return Reply(RequestOutcome.NOT_RUN, reason=reason)


def unknown(reason: str) -> Reply:
    """Build the reply for a request that may have run."""
    return Reply(RequestOutcome.UNKNOWN, reason=reason)
