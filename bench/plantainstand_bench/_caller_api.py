"""One attempt at a server: what is sent and what the answer means."""

import time
from dataclasses import dataclass
from http import HTTPStatus

import msgspec
import uuid_utils
from plantainstand_core import RequestId
from result import Err

from plantainstand_bench._arrivals import Arrival
from plantainstand_bench._http_client import (
    Address,
    HttpAnswer,
    HttpClient,
    HttpRequest,
)
from plantainstand_bench._records import Attempt, Outcome

# The server's own deadline ends first, so that its answer arrives in time.
_ANSWER_MARGIN_SECONDS = 0.5
_STATED_OUTCOMES = frozenset(('answered', 'not-run', 'unknown'))


class _Body(msgspec.Struct, frozen=True):
    request_id: str = ''


@dataclass(frozen=True)
class Destination:
    """Where an attempt is sent."""

    name: str
    """Entry VM or target."""

    address: Address
    path: str


def new_request_id() -> RequestId:
    """Return a new UUID of version 7."""
    return RequestId(str(uuid_utils.uuid7()))


async def attempt(
    client: HttpClient,
    destination: Destination,
    arrival: Arrival,
    request_id: RequestId,
    deadline: float,
) -> Attempt:
    """Send the request once; ``deadline`` is in seconds since the epoch."""
    started = time.time()
    left = max(deadline - started, 0.001)
    request = HttpRequest(
        method=arrival.traffic.method,
        path=destination.path,
        headers={
            'Request-Id': request_id,
            'Request-Deadline-Ms': str(max(int(left * 1000), 1)),
        },
        body=b'x' * arrival.traffic.body_bytes,
    )
    answered = await client.send(
        destination.address,
        request,
        left + _ANSWER_MARGIN_SECONDS,
    )
    outcome, answered_id = (
        (Outcome(answered.err_value.value), '')
        if isinstance(answered, Err)
        else read_answer(answered.ok_value)
    )
    return Attempt(
        request_id=request_id,
        via=destination.name,
        started=started,
        ended=time.time(),
        outcome=outcome,
        answered_id=answered_id,
    )


def read_answer(answer: HttpAnswer) -> tuple[Outcome, str]:
    """Return the outcome and the request id that the body names."""
    stated = answer.headers.get('request-outcome', '')
    outcome = (
        Outcome(stated)
        if stated in _STATED_OUTCOMES
        else _outcome_of_status(answer.status)
    )
    if outcome is not Outcome.ANSWERED:
        return outcome, ''
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        outcome = Outcome.FAILED
    try:
        body = msgspec.json.decode(answer.body, type=_Body)
    except msgspec.DecodeError:
        return outcome, 'unreadable'
    return outcome, body.request_id


def _outcome_of_status(status: int) -> Outcome:
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Outcome.NOT_RUN
    if HTTPStatus.BAD_REQUEST <= status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return Outcome.REJECTED
    is_success = HTTPStatus.OK <= status < HTTPStatus.BAD_REQUEST
    return Outcome.ANSWERED if is_success else Outcome.UNKNOWN
