"""Dispatch to the targets that this VM owns slots of."""

import asyncio
from collections.abc import (
    Callable,
    Coroutine,
    Iterable,
    Mapping,
    Sequence,
)
from concurrent.futures import Executor
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from itertools import count
from random import Random
from types import MappingProxyType
from typing import TypeVar

from plantainstand_core import Clock, RequestId, ServiceId
from plantainstand_shares import Reservation, ShareLedger
from plantainstand_steering import (
    Admission,
    AdmissionScheduler,
    Attempt,
    AttemptResult,
    CandidateId,
    CandidateKind,
    QueuedRequest,
    RankedCandidate,
    Refused,
    ShedReason,
    Started,
    rank_candidates,
)
from plantainstand_telemetry import Metrics

from plantainstand_daemon._dispatch import (
    DispatchOutcome,
    DispatchReport,
    TargetClient,
)
from plantainstand_daemon._holding import Holding
from plantainstand_daemon._messages import SteeredRequest
from plantainstand_daemon._services import LocalTarget, ServiceRuntime
from plantainstand_daemon._tasks import pause

ResultT = TypeVar('ResultT')

# A target stops at its deadline; its clock and the network take a little.
_HOLD_MARGIN = timedelta(milliseconds=250)
_NO_TIME = timedelta(0)
_ENDED_STATES = frozenset(('cancelled', 'completed', 'refused', 'expired'))
_CANCELLED_STATE = 'cancelled'

_RESULTS = MappingProxyType(
    {
        DispatchOutcome.ANSWERED: AttemptResult.ANSWERED,
        DispatchOutcome.REFUSED: AttemptResult.REFUSED,
        DispatchOutcome.UNREACHABLE: AttemptResult.FAILED,
        DispatchOutcome.UNKNOWN: AttemptResult.FAILED,
    }
)


@dataclass(frozen=True)
class LocalReport:
    """Outcome of handing a request to this VM's own targets."""

    outcome: DispatchOutcome
    """:attr:`DispatchOutcome.REFUSED` also when no target was asked."""

    report: DispatchReport
    candidate_id: CandidateId | None = None
    """Target that was asked."""


@dataclass(frozen=True)
class _Grant:
    local: LocalTarget
    ledger: ShareLedger
    holding: Holding
    reservation: Reservation
    attempt: Attempt
    runtime: ServiceRuntime


@dataclass(frozen=True)
class _Waiter:
    future: asyncio.Future[_Grant | ShedReason]
    excluded: frozenset[CandidateId]


class LocalDispatcher:
    """Queue, shares and worker threads of this VM; owned by the event loop."""

    def __init__(
        self,
        clock: Clock,
        client: TargetClient,
        executor: Executor,
        metrics: Metrics,
        random_source: Random,
    ) -> None:
        """Start without services; :meth:`apply` brings them."""
        self._clock = clock
        self._client = client
        self._executor = executor
        self._metrics = metrics
        self._random = random_source
        self._numbers = count()
        self._waiters: dict[RequestId, _Waiter] = {}
        self._runtimes: Mapping[ServiceId, ServiceRuntime] = {}
        self._holding: Holding | None = None
        self._background: set[asyncio.Task[None]] = set()
        self._scheduler: AdmissionScheduler[_Grant] = AdmissionScheduler(
            {},
            self._reserve,
            clock,
        )

    @property
    def waiting(self) -> int:
        """Requests in the queues."""
        return len(self._waiters)

    def apply(
        self,
        runtimes: Mapping[ServiceId, ServiceRuntime],
        holding: Holding,
    ) -> None:
        """Take a changed set of services, targets or shares."""
        self._runtimes = runtimes
        self._holding = holding
        queues = {
            service: runtime.queue for service, runtime in runtimes.items()
        }
        self._settle(self._scheduler.replace_queues(queues))
        self.refresh()

    def refresh(self) -> None:
        """Start or refuse waiting requests after time or limits changed."""
        self._settle(self._scheduler.capacity_freed())

    async def run(
        self,
        request: SteeredRequest,
        excluded: frozenset[CandidateId] = frozenset(),
    ) -> LocalReport:
        """Wait for a slot and dispatch the request, or refuse it."""
        admitted = await self._admit(request, excluded)
        if isinstance(admitted, ShedReason):
            self._metrics.count(
                'shed_total',
                service=request.service,
                reason=admitted.value,
            )
            return LocalReport(
                DispatchOutcome.REFUSED,
                DispatchReport(DispatchOutcome.REFUSED, reason=admitted.value),
            )
        return await self._dispatch(admitted, request)

    async def _admit(
        self,
        request: SteeredRequest,
        excluded: frozenset[CandidateId],
    ) -> _Grant | ShedReason:
        # Resends and hedges of one request can wait here at the same time.
        queue_id = RequestId(f'{request.request_id}/{next(self._numbers)}')
        runtime = self._runtimes.get(request.service)
        if runtime is None:
            return ShedReason.NO_SLOTS
        future = asyncio.get_running_loop().create_future()
        self._waiters[queue_id] = _Waiter(future, excluded)
        queued = QueuedRequest(
            queue_id,
            request.service,
            runtime.service.traffic_class,
            request.deadline,
        )
        self._settle(self._scheduler.submit(queued))
        try:
            admitted: _Grant | ShedReason = await future
        except asyncio.CancelledError:
            self._withdraw(queued, future)
            raise
        finally:
            self._waiters.pop(queue_id, None)
        return admitted

    def _withdraw(
        self,
        queued: QueuedRequest,
        future: asyncio.Future[_Grant | ShedReason],
    ) -> None:
        self._scheduler.cancel(queued.service, queued.request_id)
        if future.done() and not future.cancelled():
            admitted = future.result()
            if isinstance(admitted, _Grant):
                self._release(admitted, AttemptResult.CANCELLED)

    def _settle(
        self,
        admissions: Iterable[Admission[_Grant]],
    ) -> None:
        for admission in admissions:
            waiter = self._waiters.get(admission.request.request_id)
            if waiter is None or waiter.future.done():
                if isinstance(admission, Started):
                    self._release(admission.grant, AttemptResult.CANCELLED)
            elif isinstance(admission, Refused):
                waiter.future.set_result(admission.reason)
            else:
                waiter.future.set_result(admission.grant)

    def _reserve(self, queued: QueuedRequest) -> _Grant | None:
        runtime = self._runtimes.get(queued.service)
        holding = self._holding
        if runtime is None or holding is None:
            return None
        waiter = self._waiters.get(queued.request_id)
        excluded = waiter.excluded if waiter else frozenset()
        now = self._clock.monotonic()
        for local in _ranked_targets(runtime, self._random, excluded):
            reserved = holding.ledger.reserve(local.claims, now)
            if reserved.is_ok():
                return _Grant(
                    local,
                    holding.ledger,
                    holding,
                    reserved.unwrap(),
                    runtime.view.start(_candidate_id(local)),
                    runtime,
                )
        return None

    async def _dispatch(
        self,
        grant: _Grant,
        request: SteeredRequest,
    ) -> LocalReport:
        work = asyncio.ensure_future(self._work(grant, request))
        try:
            report = await asyncio.shield(work)
        except asyncio.CancelledError:
            self._start(self._cancel_at_target(grant, request))
            raise
        return LocalReport(
            report.outcome,
            report,
            grant.attempt.candidate_id,
        )

    async def _work(
        self,
        grant: _Grant,
        request: SteeredRequest,
    ) -> DispatchReport:
        report = await self._in_thread(
            self._client.send,
            grant.local.address,
            request,
            self._time_left(grant, request),
            grant.runtime.limits,
        )
        self._metrics.count(
            'attempts_total',
            kind='target',
            outcome=report.outcome.value,
        )
        self._note_health(grant, report)
        if report.outcome is not DispatchOutcome.UNKNOWN:
            self._release(grant, _RESULTS[report.outcome])
            return report
        if grant.runtime.service.idempotent:
            self._start(self._settle_unknown(grant, request))
            return report
        if await self._settle_unknown(grant, request) == _CANCELLED_STATE:
            return DispatchReport(
                DispatchOutcome.UNREACHABLE,
                reason='the target cancelled the request before it started',
            )
        return report

    def _time_left(
        self,
        grant: _Grant,
        request: SteeredRequest,
    ) -> Callable[[], timedelta]:
        def time_left() -> timedelta:
            now = self._clock.monotonic()
            if not grant.holding.support.has_authority(now):
                return _NO_TIME
            return request.deadline - now

        return time_left

    async def _settle_unknown(
        self,
        grant: _Grant,
        request: SteeredRequest,
    ) -> str:
        """Find out whether the target still works, and release the slot.

        The slot counts as in use until the target says that the work ended,
        or until the work's deadline: it would otherwise be given away while
        the target still works.
        """
        state = await self._cancel_at_target(grant, request)
        if state in _ENDED_STATES:
            self._release(grant, AttemptResult.FAILED)
        else:
            self._metrics.count('held_after_unknown_total')
            self._start(self._hold(grant, request))
        return state

    async def _hold(self, grant: _Grant, request: SteeredRequest) -> None:
        until = request.deadline + _HOLD_MARGIN
        await pause(max(until - self._clock.monotonic(), _NO_TIME))
        self._release(grant, AttemptResult.FAILED)

    async def _cancel_at_target(
        self,
        grant: _Grant,
        request: SteeredRequest,
    ) -> str:
        return await self._in_thread(
            self._client.cancel,
            grant.local.address,
            request.request_id,
        )

    def _note_health(self, grant: _Grant, report: DispatchReport) -> None:
        if report.outcome is DispatchOutcome.REFUSED:
            return
        answer = report.answer
        grant.runtime.health.record(
            grant.local.target.target_id,
            succeeded=answer is not None
            and not _is_server_error(answer.status),
        )
        update_ejections(grant.runtime)

    def _release(self, grant: _Grant, result: AttemptResult) -> None:
        now = self._clock.monotonic()
        grant.ledger.release(grant.reservation, now)
        grant.runtime.view.finish(grant.attempt, result)
        if result is AttemptResult.ANSWERED:
            held = now - grant.attempt.started_at
            grant.runtime.queue.record_service_time(held)
        self.refresh()

    async def _in_thread(
        self,
        function: Callable[..., ResultT],
        *arguments: object,
    ) -> ResultT:
        loop = asyncio.get_running_loop()
        return await loop.run_in_executor(self._executor, function, *arguments)

    def _start(self, work: Coroutine[object, object, object]) -> None:
        task = asyncio.ensure_future(work)
        self._background.add(task)
        task.add_done_callback(self._background.discard)


def update_ejections(runtime: ServiceRuntime) -> None:
    """Leave the targets that health has ejected out of the ranking."""
    ejected = runtime.health.ejected
    runtime.view.eject(
        frozenset(CandidateId(f'target/{target}') for target in ejected),
    )


def _is_server_error(status: int) -> bool:
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR


def _candidate_id(local: LocalTarget) -> CandidateId:
    return CandidateId(f'target/{local.target.id}')


def _ranked_targets(
    runtime: ServiceRuntime,
    random_source: Random,
    excluded: frozenset[CandidateId],
) -> Sequence[LocalTarget]:
    ranked = rank_candidates(
        runtime.view,
        random_source,
        excluded=excluded.union(runtime.peers),
        limit=max(len(runtime.targets), 1),
    )
    return [
        runtime.targets[place.candidate.candidate_id]
        for place in ranked
        if _is_free_target(place, runtime)
    ]


def _is_free_target(place: RankedCandidate, runtime: ServiceRuntime) -> bool:
    candidate = place.candidate
    return (
        candidate.kind is CandidateKind.TARGET
        and place.has_free_slot
        and candidate.candidate_id in runtime.targets
    )
