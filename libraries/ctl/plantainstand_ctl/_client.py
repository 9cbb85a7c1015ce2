"""Calls of the operators' HTTP API at the first address that answers."""

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

ROUNDS = 3
"""Times that every address is tried."""

ROUND_PAUSE = timedelta(seconds=1)
"""Between rounds: a new leader is elected within about this time."""

OUTCOME_HEADER = 'Request-Outcome'

_CONNECT_S = 1
_READ_S = 5

_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_INVALID = 422
_NO_MAJORITY = 503
_NOT_KNOWN_YET = 504


class _Miss(Enum):
    """Why an address gave no final answer, from harmless to harmful."""

    NOT_REACHED = auto()
    NO_MAJORITY = auto()
    ANSWER_LOST = auto()


@dataclass(frozen=True)
class Answer:
    """A final answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    address: str


class OperatorClient:
    """Tries addresses in order, several times, until one answers.

    Every call can be repeated: look-ups change nothing, and a change carries
    an operation id whose first result is returned to resends.
    """

    def __init__(self, addresses: Sequence[str], pause: Pause):
        """Use ``addresses``, each one ``http://host:port``."""
        self._addresses = addresses
        self._pause = pause
        self._http = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=_CONNECT_S, read=_READ_S),
        )

    def get(
        self,
        path: str,
        body_type: type[BodyT],
    ) -> Result[BodyT, Failure]:
        """Read ``path``; status 404 is :attr:`ExitCode.NOT_FOUND`."""
        answer = self.send('GET', path)
        if isinstance(answer, Err):
            return answer
        return _read(answer.ok_value, body_type)

    def change(
        self,
        method: str,
        path: str,
        repeat_options: str,
        body: object = None,
    ) -> Result[ChangeBody, Failure]:
        """Send a change, again if its answer is lost, until it is decided.

        ``repeat_options`` are those with which the operator can send exactly
        the same change later.
        """
        answer = self.send(method, path, body)
        if isinstance(answer, Ok):
            return _read(answer.ok_value, ChangeBody)
        failure = answer.err_value
        if failure.code is ExitCode.UNKNOWN:
            hint = f'repeat the command with {repeat_options}'
            return Err(Failure(failure.code, f'{failure.message}; {hint}'))
        return answer

    def send(
        self,
        method: str,
        path: str,
        body: object = None,
    ) -> Result[Answer, Failure]:
        """Return the first final answer, of whatever status."""
        worst = _Miss.NOT_REACHED
        reason = 'no address is given'
        for round_number in range(ROUNDS):
            if round_number:
                self._pause(ROUND_PAUSE)
            for address in self._addresses:
                attempt = self._send_once(method, address, path, body)
                if isinstance(attempt, Ok):
                    return attempt
                miss, reason = attempt.err_value
                worst = max(worst, miss, key=lambda kind: kind.value)
        return Err(_missed(worst, method, path, reason))

    def _send_once(
        self,
        method: str,
        address: str,
        path: str,
        body: object,
    ) -> Result[Answer, tuple[_Miss, str]]:
        try:
            response = self._http.request(
                method,
                f'{address}{path}',
                body=None if body is None else msgspec.json.encode(body),
                headers={'Content-Type': 'application/json'},
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as refused:
            return Err((_Miss.NOT_REACHED, f'{address}: {refused}'))
        except urllib3.exceptions.HTTPError as lost:
            return Err((_Miss.ANSWER_LOST, f'{address}: {lost}'))
        answer = Answer(
            response.status,
            response.headers,
            response.data,
            address,
        )
        miss = _MISSES.get(answer.status)
        # On a request's outcome, these statuses are the answer.
        if miss is None or OUTCOME_HEADER in answer.headers:
            return Ok(answer)
        return Err((miss, f'{address}: {error_text(answer)}'))


def new_operation_id() -> OperationId:
    """Return an operation id for one change and its resends."""
    return OperationId(str(uuid.uuid4()))


_MISSES: Mapping[int, _Miss] = {  # noqa: WPS407
    _NO_MAJORITY: _Miss.NO_MAJORITY,
    _NOT_KNOWN_YET: _Miss.ANSWER_LOST,
}


def _missed(miss: _Miss, method: str, path: str, reason: str) -> Failure:
    call = f'{method} {path}'
    if miss is _Miss.NOT_REACHED:
        return Failure(
            ExitCode.UNREACHABLE,
            f'{call}: no address could be reached, last {reason}; check '
            + '--address',
        )
    if miss is _Miss.NO_MAJORITY:
        return Failure(
            ExitCode.NO_MAJORITY,
            f'{call}: the voters have no majority, last {reason}; nothing '
            + 'was changed, try again later',
        )
    return Failure(
        ExitCode.UNREACHABLE if method == 'GET' else ExitCode.UNKNOWN,
        f'{call}: the answer was lost, last {reason}',
    )


def _read(answer: Answer, body_type: type[BodyT]) -> Result[BodyT, Failure]:
    if answer.status != _OK:
        return Err(refusal(answer))
    try:
        return Ok(msgspec.json.decode(answer.body, type=body_type))
    except msgspec.DecodeError as problem:
        return Err(_unexpected(answer, str(problem)))


def refusal(answer: Answer) -> Failure:
    """Return the failure of an answer whose status is not 200."""
    try:
        return _decode_refusal(answer)
    except msgspec.DecodeError as problem:
        return _unexpected(answer, str(problem))


def _decode_refusal(answer: Answer) -> Failure:
    if answer.status == _CONFLICT:
        conflict = msgspec.json.decode(answer.body, type=ConflictBody)
        return _conflict(conflict)
    if answer.status == _INVALID:
        invalid = msgspec.json.decode(answer.body, type=InvalidBody)
        return Failure(
            ExitCode.INVALID,
            'the change is not valid; nothing was changed',
            invalid.problems,
        )
    code = _REFUSALS.get(answer.status)
    if code is None:
        return _unexpected(answer, f'status {answer.status}')
    return Failure(code, f'{answer.address}: {error_text(answer)}')


_REFUSALS: Mapping[int, ExitCode] = {  # noqa: WPS407
    _BAD_REQUEST: ExitCode.INVALID,
    _NOT_FOUND: ExitCode.NOT_FOUND,
}


def _conflict(body: ConflictBody) -> Failure:
    if body.current is None:
        return Failure(
            ExitCode.CONFLICT,
            'the entry does not exist (any more); nothing was changed',
        )
    return Failure(
        ExitCode.CONFLICT,
        f'the entry is at revision {body.current_revision}; nothing was '
        + 'changed: look at the current entry and repeat the change with '
        + f'--expected-revision {body.current_revision} if it still applies',
        (body.current,),
    )


def _unexpected(answer: Answer, reason: str) -> Failure:
    return Failure(
        ExitCode.UNEXPECTED,
        f'{answer.address}: the answer cannot be read: {reason}; check that '
        + 'the address is that of a plantainstand daemon',
    )


def error_text(answer: Answer) -> str:
    """Return the daemon's message, or the status if there is none."""
    try:
        return msgspec.json.decode(answer.body, type=ErrorBody).message
    except msgspec.DecodeError:
        return f'status {answer.status}'
