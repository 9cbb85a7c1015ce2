"""HTTP face of one target."""

import threading
import time
from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus

import msgspec
from plantainstand_core import Clock, RequestId, RequestOutcome
from result import Err

from plantainstand_bench._connections import (
    ConnectionRegistry,
    connection_of,
)
from plantainstand_bench._reports import Report, ReportView
from plantainstand_bench._service_time import ServiceTimes
from plantainstand_bench._target_settings import (
    ReportFault,
    TargetFaults,
    TargetSettings,
)
from plantainstand_bench._target_work import (
    Refusal,
    TargetWork,
    Ticket,
    WorkState,
)
from plantainstand_bench._wsgi import (
    Answer,
    Environment,
    StartResponse,
    make_answer,
    read_body,
    send_answer,
)

# Work without a stated deadline stops after this time.
_DEFAULT_DEADLINE_MS = 60_000
_REQUEST_PREFIX = '/requests/'


class TargetApplication:
    """WSGI callable of a target."""

    def __init__(
        self,
        settings: TargetSettings,
        clock: Clock,
        work: TargetWork,
        registry: ConnectionRegistry,
    ):
        """Serve ``work`` on the connections of ``registry``."""
        self._settings = settings
        self._clock = clock
        self._work = work
        self._registry = registry
        self._times = ServiceTimes(settings)
        self._load = ReportView(clock)
        self._health = ReportView(clock)
        self._served = 0
        self._earlier: deque[RequestId] = deque(maxlen=2)
        self._lock = threading.Lock()

    def __call__(
        self,
        environment: Environment,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request."""
        return send_answer(self._route(environment), start_response)

    def _route(self, environment: Environment) -> Answer:
        method = environment['REQUEST_METHOD']
        path = environment['PATH_INFO']
        if (method, path) == ('PUT', '/faults'):
            return self._put_faults(environment)
        if (method, path) == ('GET', '/load'):
            return self._get_load()
        if (method, path) == ('GET', '/health'):
            return self._get_health()
        if method == 'DELETE' and path.startswith(_REQUEST_PREFIX):
            request_id = path.removeprefix(_REQUEST_PREFIX)
            return self._cancel(RequestId(request_id))
        return self._do_work(environment)

    def _put_faults(self, environment: Environment) -> Answer:
        body = read_body(environment)
        try:
            faults = msgspec.json.decode(body, type=TargetFaults)
        except msgspec.DecodeError as problem:
            return make_answer(HTTPStatus.BAD_REQUEST, {'error': str(problem)})
        current = self._current_report()
        self._load.freeze(current)
        self._health.freeze(current)
        self._work.replace_faults(faults)
        if faults.silent_connections:
            self._registry.silence_open(connection_of(environment))
        return make_answer(HTTPStatus.OK, faults)

    def _get_load(self) -> Answer:
        report = self._report(self._load, self._work.faults.load_report)
        document = {
            'in_flight': report.in_flight,
            'slots': self._settings.slots,
            'state': report.state,
        }
        return make_answer(HTTPStatus.OK, document)

    def _get_health(self) -> Answer:
        report = self._report(self._health, self._work.faults.health_report)
        is_draining = report.state == 'draining'
        status = (
            HTTPStatus.SERVICE_UNAVAILABLE if is_draining else HTTPStatus.OK
        )
        return make_answer(status, {'state': report.state})

    def _report(self, view: ReportView, fault: ReportFault) -> Report:
        with self._lock:
            return view.observe(self._current_report(), fault)

    def _current_report(self) -> Report:
        state = 'ready'
        if self._served < self._settings.cold_start.requests:
            state = 'cold'
        if self._work.faults.draining:
            state = 'draining'
        return Report(self._work.in_use, state)

    def _cancel(self, request_id: RequestId) -> Answer:
        state = self._work.cancel(request_id)
        is_cancelled = state is WorkState.CANCELLED
        status = HTTPStatus.OK if is_cancelled else HTTPStatus.CONFLICT
        return make_answer(status, {'state': state.value})

    def _do_work(self, environment: Environment) -> Answer:
        read_body(environment)
        request_id = RequestId(environment.get('HTTP_REQUEST_ID', ''))
        accepted = self._work.accept(request_id, self._deadline(environment))
        if isinstance(accepted, Err):
            return _refuse(request_id, accepted.err_value)
        ticket = accepted.ok_value
        started = self._work.wait_for_slot(ticket)
        if isinstance(started, Err):
            return _refuse(request_id, started.err_value)
        is_whole = self._run(ticket)
        self._apply_answer_faults(environment)
        if not is_whole:
            return _stopped_answer(request_id)
        return self._work_answer(request_id, environment['PATH_INFO'])

    def _deadline(self, environment: Environment) -> timedelta:
        text = environment.get('HTTP_REQUEST_DEADLINE_MS', '')
        left_ms = float(text or _DEFAULT_DEADLINE_MS)
        return self._clock.monotonic() + timedelta(milliseconds=left_ms)

    def _run(self, ticket: Ticket) -> bool:
        service_time = self._times.draw(self._work.faults.slow_factor)
        left = self._work.time_left(ticket)
        is_whole = service_time <= left
        time.sleep(min(service_time, left).total_seconds())
        self._served += 1
        self._work.finish(ticket, 'done' if is_whole else 'deadline')
        return is_whole

    def _apply_answer_faults(self, environment: Environment) -> None:
        faults = self._work.faults
        if self._times.chance(faults.late_answer_fraction):
            late = timedelta(milliseconds=faults.late_answer_ms)
            time.sleep(late.total_seconds())
        if self._times.chance(faults.lost_answer_fraction):
            connection_of(environment).lose_answer()

    def _work_answer(self, request_id: RequestId, path: str) -> Answer:
        faults = self._work.faults
        answered_id = self._answered_id(request_id)
        status = HTTPStatus.OK
        if self._times.chance(faults.error_fraction):
            status = HTTPStatus.INTERNAL_SERVER_ERROR
        document = {
            'request_id': answered_id,
            'target': self._settings.id,
            'path': path,
        }
        return make_answer(
            status,
            document,
            padded_bytes=self._settings.response_bytes,
            Request_Id=answered_id,
            Request_Outcome=RequestOutcome.ANSWERED.value,
        )

    def _answered_id(self, request_id: RequestId) -> RequestId:
        self._earlier.append(request_id)
        fraction = self._work.faults.swapped_answer_fraction
        return self._earlier[0] if self._times.chance(fraction) else request_id


def _refuse(request_id: RequestId, refusal: Refusal) -> Answer:
    return make_answer(
        HTTPStatus.SERVICE_UNAVAILABLE,
        {'request_id': request_id, 'reason': refusal.value},
        Request_Id=request_id,
        Request_Outcome=RequestOutcome.NOT_RUN.value,
    )


def _stopped_answer(request_id: RequestId) -> Answer:
    return make_answer(
        HTTPStatus.GATEWAY_TIMEOUT,
        {'request_id': request_id, 'reason': 'stopped at its deadline'},
        Request_Id=request_id,
        Request_Outcome=RequestOutcome.UNKNOWN.value,
    )
