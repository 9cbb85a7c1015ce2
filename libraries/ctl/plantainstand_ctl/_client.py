"""Client of the operators' HTTP API with failover between addresses."""

import uuid
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum, auto
from typing import TypeVar

import msgspec
import urllib3
from plantainstand_core import OperationId
from result import Err, Ok, Result

from plantainstand_ctl._api import (
    ChangeBody,
    ConflictBody,
    ErrorBody,
    InvalidBody,
)
from plantainstand_ctl._exit_codes import ExitCode, Failure

BodyT = TypeVar('BodyT')

Pause = Callable[[timedelta], None]

MAX_ROUNDS = 3
"""Number of times that each address is tried."""

ROUND_PAUSE = timedelta(seconds=1)
"""Time between rounds, in which a new leader is usually elected."""

OUTCOME_HEADER = 'Request-Outcome'

_CONNECT_TIMEOUT_SECONDS = 1
_READ_TIMEOUT_SECONDS = 5

_OK_STATUS = 200
_BAD_REQUEST_STATUS = 400
_NOT_FOUND_STATUS = 404
_CONFLICT_STATUS = 409
_INVALID_STATUS = 422
_NO_MAJORITY_STATUS = 503
_OUTCOME_UNKNOWN_STATUS = 504


class _AttemptFailure(Enum):
    """Why an attempt got no final response, from least to most severe.

    After ``NOT_REACHED`` and ``NO_MAJORITY`` nothing was changed; after
    ``RESPONSE_LOST`` a change may have been made.
    """

    NOT_REACHED = auto()
    NO_MAJORITY = auto()
    RESPONSE_LOST = auto()


@dataclass(frozen=True)
class DaemonResponse:
    """A final response of a daemon."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    address: str


class OperatorClient:
    """Tries addresses in order, several times, until one responds.

    Every request can be repeated: reads change nothing, and a change has an
    operation id whose recorded outcome is returned to resends.
    """

    def __init__(self, addresses: Sequence[str], pause: Pause):
        """Use ``addresses``, each of the form ``http://host:port``."""
        self._addresses = addresses
        self._pause = pause
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=_CONNECT_TIMEOUT_SECONDS, read=_READ_TIMEOUT_SECONDS
            ),
        )

    def get(
        self,
        path: str,
        body_type: type[BodyT],
    ) -> Result[BodyT, Failure]:
        """Read ``path`` and decode the body.

        Status 404 becomes a failure with :attr:`ExitCode.NOT_FOUND`.
        """
        response = self.send('GET', path)
        if isinstance(response, Err):
            return response
        return _decode_body(response.ok_value, body_type)

    def change(
        self,
        method: str,
        path: str,
        repeat_options: str,
        body: object = None,
    ) -> Result[ChangeBody, Failure]:
        """Send a change, and send it again if the response is lost.

        If the outcome remains unknown, the failure tells the operator to
        repeat the command with ``repeat_options``, which send exactly the same
        change.
        """
        response = self.send(method, path, body)
        if isinstance(response, Ok):
            return _decode_body(response.ok_value, ChangeBody)
        failure = response.err_value
        if failure.code is ExitCode.UNKNOWN:
            hint = f'repeat the command with {repeat_options}'
            return Err(Failure(failure.code, f'{failure.message}; {hint}'))
        return response

    def send(
        self,
        method: str,
        path: str,
        body: object = None,
    ) -> Result[DaemonResponse, Failure]:
        """Return the first final response, with any status."""
        worst = _AttemptFailure.NOT_REACHED
        reason = 'no address is given'
        for round_number in range(MAX_ROUNDS):
            if round_number:
                self._pause(ROUND_PAUSE)
            for address in self._addresses:
                attempted = self._send_once(method, address, path, body)
                if isinstance(attempted, Ok):
                    return attempted
                attempt_failure, reason = attempted.err_value
                worst = max(worst, attempt_failure, key=lambda kind: kind.value)
        return Err(_call_failure(worst, method, path, reason))

    def _send_once(
        self,
        method: str,
        address: str,
        path: str,
        body: object,
    ) -> Result[DaemonResponse, tuple[_AttemptFailure, str]]:
        try:
            http_response = self._http.request(
                method,
                f'{address}{path}',
                body=None if body is None else msgspec.json.encode(body),
                headers={'Content-Type': 'application/json'},
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return Err((_AttemptFailure.NOT_REACHED, f'{address}: {error}'))
        except urllib3.exceptions.HTTPError as error:
            return Err((_AttemptFailure.RESPONSE_LOST, f'{address}: {error}'))
        response = DaemonResponse(
            http_response.status,
            http_response.headers,
            http_response.data,
            address,
        )
        attempt_failure = _FAILURES_BY_STATUS.get(response.status)
        # With this header the status is the outcome of a client's request, so
        # the response is final.
        if attempt_failure is None or OUTCOME_HEADER in response.headers:
            return Ok(response)
        return Err((attempt_failure, f'{address}: {error_text(response)}'))


def new_operation_id() -> OperationId:
    """Return a new operation id for a change and its resends."""
    return OperationId(str(uuid.uuid4()))


_FAILURES_BY_STATUS: Mapping[int, _AttemptFailure] = {  # noqa: WPS407
    _NO_MAJORITY_STATUS: _AttemptFailure.NO_MAJORITY,
    _OUTCOME_UNKNOWN_STATUS: _AttemptFailure.RESPONSE_LOST,
}


def _call_failure(
    attempt_failure: _AttemptFailure, method: str, path: str, reason: str
) -> Failure:
    call = f'{method} {path}'
    if attempt_failure is _AttemptFailure.NOT_REACHED:
        return Failure(
            ExitCode.UNREACHABLE,
            f'{call}: no address could be reached, last error {reason}; check '
            + '--address',
        )
    if attempt_failure is _AttemptFailure.NO_MAJORITY:
        return Failure(
            ExitCode.NO_MAJORITY,
            f'{call}: the voters have no majority, last error {reason}; '
            + 'nothing was changed, try again later',
        )
    return Failure(
        ExitCode.UNREACHABLE if method == 'GET' else ExitCode.UNKNOWN,
        f'{call}: the response was lost, last error {reason}',
    )


def _decode_body(
    response: DaemonResponse, body_type: type[BodyT]
) -> Result[BodyT, Failure]:
    if response.status != _OK_STATUS:
        return Err(read_failure(response))
    try:
        return Ok(msgspec.json.decode(response.body, type=body_type))
    except msgspec.DecodeError as problem:
        return Err(_unexpected_failure(response, str(problem)))


def read_failure(response: DaemonResponse) -> Failure:
    """Convert a response with a status other than 200 to a failure."""
    try:
        return _decode_failure(response)
    except msgspec.DecodeError as problem:
        return _unexpected_failure(response, str(problem))


def _decode_failure(response: DaemonResponse) -> Failure:
    if response.status == _CONFLICT_STATUS:
        conflict = msgspec.json.decode(response.body, type=ConflictBody)
        return _conflict_failure(conflict)
    if response.status == _INVALID_STATUS:
        invalid = msgspec.json.decode(response.body, type=InvalidBody)
        return Failure(
            ExitCode.INVALID,
            'the change is not valid; nothing was changed',
            invalid.problems,
        )
    code = _EXIT_CODES_BY_STATUS.get(response.status)
    if code is None:
        return _unexpected_failure(response, f'status {response.status}')
    return Failure(code, f'{response.address}: {error_text(response)}')


_EXIT_CODES_BY_STATUS: Mapping[int, ExitCode] = {  # noqa: WPS407
    _BAD_REQUEST_STATUS: ExitCode.INVALID,
    _NOT_FOUND_STATUS: ExitCode.NOT_FOUND,
}


def _conflict_failure(body: ConflictBody) -> Failure:
    if body.current is None:
        return Failure(
            ExitCode.CONFLICT,
            'the entry does not exist or was removed; nothing was changed',
        )
    return Failure(
        ExitCode.CONFLICT,
        f'the entry is at revision {body.current_revision}; nothing was '
        + 'changed: check the current entry and repeat the change with '
        + f'--expected-revision {body.current_revision} if it still applies',
        (body.current,),
    )


def _unexpected_failure(response: DaemonResponse, reason: str) -> Failure:
    return Failure(
        ExitCode.UNEXPECTED,
        f'{response.address}: the response cannot be read: {reason}; check '
        + 'that the address is that of a plantainstand daemon',
    )


def error_text(response: DaemonResponse) -> str:
    """Return the message of an error response, or its status without one."""
    try:
        return msgspec.json.decode(response.body, type=ErrorBody).message
    except msgspec.DecodeError:
        return f'status {response.status}'
