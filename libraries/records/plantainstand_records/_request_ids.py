"""Validation of request ids, which callers generate."""

import re
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from enum import Enum

import uuid_utils
from plantainstand_core import RequestId
from result import Err, Ok, Result

RETENTION = timedelta(hours=24)
"""How long a record is kept, counted from the time in its request id."""

FUTURE_TOLERANCE = timedelta(minutes=5)
"""How far a caller's clock may be ahead of the leader's."""

_EPOCH = datetime.fromtimestamp(0, UTC)
_UUID_VERSION = 7
# UUID libraries also accept braces, URNs and digits without hyphens. A single
# form, apart from letter case, ensures that a request has only one id.
_HYPHENATED_FORM = re.compile(
    r'\A[0-9a-fA-F]{8}(-[0-9a-fA-F]{4}){3}-[0-9a-fA-F]{12}\Z'
)


class RequestIdFault(Enum):
    """What is wrong with a request id."""

    NOT_UUID7 = 'not-uuid7'
    EXPIRED = 'expired'
    """The id is older than the retention: its record may be dropped."""

    IN_FUTURE = 'in-future'


@dataclass(frozen=True)
class RequestIdProblem:
    """Why a request id is refused."""

    fault: RequestIdFault
    message: str
    """The problem and how the caller can fix it."""

    def __str__(self) -> str:
        """Return the message for the caller."""
        return self.message


def check_request_id(
    text: str,
    now: datetime,
) -> Result[RequestId, RequestIdProblem]:
    """Check the form and age of an id; return the id in lower case.

    This refuses ids early that cannot be admitted. The authoritative check is
    that of :class:`RecordState` with the leader's time.
    """
    return parse_request_id(text).and_then(
        lambda request_id: _check_age(request_id, since_epoch(now)),
    )


def parse_request_id(text: str) -> Result[RequestId, RequestIdProblem]:
    """Check only the form of an id; return the id in lower case."""
    if _HYPHENATED_FORM.match(text) and _is_uuid7(text):
        return Ok(RequestId(text.lower()))
    return Err(
        RequestIdProblem(
            RequestIdFault.NOT_UUID7,
            'the request id is not a UUID of version 7; create one for each '
            + 'new request and reuse it only for resends',
        ),
    )


def request_time(request_id: RequestId) -> timedelta:
    """Return the Unix time in a valid id.

    The result is a timedelta, because a UUID can contain times up to the year
    10889, which is out of range for a datetime.
    """
    return timedelta(milliseconds=uuid_utils.UUID(request_id).timestamp)


def since_epoch(moment: datetime) -> timedelta:
    """Return the Unix time of ``moment`` as a timedelta."""
    return moment - _EPOCH


def age_fault(
    id_time: timedelta,
    now: timedelta,
) -> RequestIdFault | None:
    """Check the Unix time in an id against the current Unix time."""
    if id_time < now - RETENTION:
        return RequestIdFault.EXPIRED
    if id_time > now + FUTURE_TOLERANCE:
        return RequestIdFault.IN_FUTURE
    return None


def _check_age(
    request_id: RequestId,
    now: timedelta,
) -> Result[RequestId, RequestIdProblem]:
    fault = age_fault(request_time(request_id), now)
    if fault is None:
        return Ok(request_id)
    return Err(RequestIdProblem(fault, _AGE_MESSAGES[fault]))


def _is_uuid7(text: str) -> bool:
    parsed = uuid_utils.UUID(text)
    return (
        parsed.version == _UUID_VERSION
        and parsed.variant == uuid_utils.RFC_4122
    )


_AGE_MESSAGES = {  # noqa: WPS407
    RequestIdFault.EXPIRED: (
        'the request id is older than 24 hours and its record may be '
        + 'forgotten; find out what became of the request before sending it '
        + 'under a new id'
    ),
    RequestIdFault.IN_FUTURE: (
        'the time in the request id is more than 5 minutes ahead; set the '
        + "caller's clock"
    ),
}
