"""Dispatch to the targets that this VM owns slots of."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import Executor
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType
from typing import TypeVar

from plantainstand_core import Clock
from plantainstand_shares import DISPATCH_ALLOWANCE
from plantainstand_steering import AttemptResult, CandidateId, ShedReason
from plantainstand_telemetry import Metrics

from plantainstand_daemon._admission import Grant, SlotAdmission
from plantainstand_daemon._dispatch import (
    DispatchOutcome,
    DispatchReport,
    TargetClient,
)
from plantainstand_daemon._messages import SteeredRequest
from plantainstand_daemon._services import ServiceRuntime
from plantainstand_daemon._tasks import pause

ResultT = TypeVar('ResultT')

# A target counts its deadline from the arrival of the request, so it may work
# on by the time that the request was on its way.
_HOLD_MARGIN = DISPATCH_ALLOWANCE
_NO_TIME = timedelta(0)
_NONE_EXCLUDED: frozenset[CandidateId] = frozenset()
_CANCELLED_STATE = 'cancelled'
_ENDED_STATES = frozenset((_CANCELLED_STATE, 'done'))

_RESULTS = MappingProxyType(
    {
        DispatchOutcome.ANSWERED: AttemptResult.ANSWERED,
        DispatchOutcome.REFUSED: AttemptResult.REFUSED,
        DispatchOutcome.UNREACHABLE: AttemptResult.FAILED,
        DispatchOutcome.UNKNOWN: AttemptResult.FAILED,
    }
)


def _ignore(_candidate_id: CandidateId) -> None:
    """Do nothing with a chosen target."""


@dataclass(frozen=True)
class LocalReport:
    """Outcome of handing a request to this VM's own targets."""

    outcome: DispatchOutcome
    """:attr:`DispatchOutcome.REFUSED` also when no target was asked."""

    report: DispatchReport
    candidate_id: CandidateId | None = None
    """Target that was asked."""


class LocalDispatcher:
    """Sends admitted requests to targets; owned by the event loop."""

    def __init__(
        self,
        admission: SlotAdmission,
        client: TargetClient,
        executor: Executor,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        """Take slots from ``admission`` and call targets on ``executor``."""
        self._admission = admission
        self._client = client
        self._executor = executor
        self._clock = clock
        self._metrics = metrics
        self._background: set[asyncio.Task[object]] = set()

    async def run(
        self,
        request: SteeredRequest,
        excluded: frozenset[CandidateId] = _NONE_EXCLUDED,
        on_start: Callable[[CandidateId], None] = _ignore,
    ) -> LocalReport:
        """Wait for a slot and dispatch the request, or refuse it.

        ``on_start`` is told the target as soon as it is chosen.
        """
        admitted = await self._admission.admit(request, excluded)
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
        on_start(admitted.attempt.candidate_id)
        return await self._dispatch(admitted, request)

    async def _dispatch(
        self,
        grant: Grant,
        request: SteeredRequest,
    ) -> LocalReport:
        work = asyncio.ensure_future(self._work(grant, request))
        try:
            report = await asyncio.shield(work)
        except asyncio.CancelledError:
            self._start(self._cancel_and_release(grant, request))
            raise
        return LocalReport(
            report.outcome,
            report,
            grant.attempt.candidate_id,
        )

    async def _work(
        self,
        grant: Grant,
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
            self._admission.release(grant, _RESULTS[report.outcome])
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
        grant: Grant,
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
        grant: Grant,
        request: SteeredRequest,
    ) -> str:
        """Find out whether the target still works, and release the slot.

        The slot counts as in use until the target says that the work ended,
        or until the work's deadline: it would otherwise be given away while
        the target still works.
        """
        state = await self._cancel_at_target(grant, request)
        if _has_ended(state, grant):
            self._admission.release(grant, AttemptResult.FAILED)
        else:
            self._metrics.count('held_after_unknown_total')
            self._start(self._hold(grant, request))
        return state

    async def _hold(self, grant: Grant, request: SteeredRequest) -> None:
        until = request.deadline + _HOLD_MARGIN
        await pause(max(until - self._clock.monotonic(), _NO_TIME))
        self._admission.release(grant, AttemptResult.FAILED)

    async def _cancel_and_release(
        self,
        grant: Grant,
        request: SteeredRequest,
    ) -> None:
        state = await self._cancel_at_target(grant, request)
        if _has_ended(state, grant):
            self._admission.release(grant, AttemptResult.CANCELLED)

    async def _cancel_at_target(
        self,
        grant: Grant,
        request: SteeredRequest,
    ) -> str:
        return await self._in_thread(
            self._client.cancel,
            grant.local.address,
            request.request_id,
        )

    def _note_health(self, grant: Grant, report: DispatchReport) -> None:
        if report.outcome is DispatchOutcome.REFUSED:
            return
        answer = report.answer
        if answer is not None and answer.status == HTTPStatus.GATEWAY_TIMEOUT:
            # The request had too little time left; the target did its part.
            return
        grant.runtime.health.record(
            grant.local.target.target_id,
            succeeded=answer is not None
            and not _is_server_error(answer.status),
        )
        update_ejections(grant.runtime)

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
    runtime.view.replace_ejected(
        frozenset(CandidateId(f'target/{target}') for target in ejected),
    )


def _has_ended(state: str, grant: Grant) -> bool:
    """Tell whether a target's word about a request frees this attempt's slot.

    Retries and hedges can bring an idempotent request to one target twice,
    and the word may then be about the other attempt.
    """
    return state in _ENDED_STATES and not grant.runtime.service.idempotent


def _is_server_error(status: int) -> bool:
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR
