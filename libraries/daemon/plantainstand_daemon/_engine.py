"""Steering of one request: choice, retries and hedging."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from datetime import timedelta
from types import MappingProxyType

from plantainstand_core import RequestOutcome, ServiceId, VmId
from plantainstand_shares import Reservation
from plantainstand_steering import (
    AttemptOutcome,
    AttemptResult,
    Candidate,
    CandidateId,
    CandidateKind,
    HedgeContext,
    RankedCandidate,
    RetryContext,
    may_retry,
    rank_candidates,
)
from plantainstand_telemetry.traces import current_traceparent
from result import Err

from plantainstand_daemon._attempts import Attempt, Progress, first_answer
from plantainstand_daemon._dispatch import DispatchOutcome
from plantainstand_daemon._forward import Forwarder
from plantainstand_daemon._holding import IncarnationState
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._local import LocalDispatcher, LocalReport
from plantainstand_daemon._messages import (
    Reply,
    SteeredRequest,
    not_run,
    unknown,
)
from plantainstand_daemon._services import PeerRoute, ServiceRuntime

_NO_TIME = timedelta(0)

_RESULTS = MappingProxyType(
    {
        RequestOutcome.ANSWERED: AttemptResult.ANSWERED,
        RequestOutcome.NOT_RUN: AttemptResult.REFUSED,
        RequestOutcome.UNKNOWN: AttemptResult.FAILED,
    }
)


class Engine:
    """Steers requests; owned by the event loop."""

    def __init__(
        self,
        vm: VmId,
        local: LocalDispatcher,
        forwarder: Forwarder,
        runtimes: Callable[[], Mapping[ServiceId, ServiceRuntime]],
        holding: Callable[[], IncarnationState],
        instruments: Instruments,
    ) -> None:
        """Use this VM's own targets through ``local``."""
        self._vm = vm
        self._local = local
        self._forwarder = forwarder
        self._runtimes = runtimes
        self._holding = holding
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._tracing = instruments.tracing

    async def steer(self, request: SteeredRequest) -> Reply:
        """Find a target for a request and return what came of it."""
        runtime = self._runtimes().get(request.service)
        if runtime is None:
            return not_run(f'the catalogue has no service `{request.service}`')
        with self._tracing.span(
            'steer',
            request.traceparent,
            request_id=request.request_id,
            service=request.service,
        ):
            return await self._steer(Progress(self._admit(request), runtime))

    async def serve_forwarded(self, request: SteeredRequest) -> Reply:
        """Serve a request that another VM forwarded, at own targets only."""
        runtime = self._runtimes().get(request.service)
        if runtime is None:
            return not_run(f'no service `{request.service}` at {self._vm}')
        with self._tracing.span(
            'serve forwarded',
            request.traceparent,
            request_id=request.request_id,
            source_vm=request.source_vm or '',
        ):
            progress = Progress(self._admit(request), runtime)
            attempt = await self._try_local(progress)
        self._metrics.count(
            'forwarded_total',
            outcome=attempt.reply.outcome.value,
        )
        return attempt.reply

    def _admit(self, request: SteeredRequest) -> SteeredRequest:
        """Continue the trace, and keep to the deadline that the log knows.

        The shares of a lost VM are reclaimed after that time, so no work may
        last longer, even if the catalogue has just raised the limit.
        """
        latest = self._clock.monotonic() + self._holding().longest_deadline
        return replace(
            request,
            traceparent=current_traceparent(),
            deadline=min(request.deadline, latest),
        )

    async def _steer(self, progress: Progress) -> Reply:
        is_first = True
        while True:  # noqa: WPS457
            ranked = self._rank(progress)
            if not ranked:
                return progress.conclude()
            if is_first:
                attempt = await self._try_hedged(progress, ranked[0])
            else:
                attempt = await self._try(progress, ranked[0])
            is_first = False
            if attempt.reply.outcome is RequestOutcome.ANSWERED:
                return attempt.reply
            self._note_failure(progress, attempt.reply)
            if not self._may_go_on(progress, attempt):
                return progress.conclude()

    def _rank(
        self,
        progress: Progress,
        *,
        only_vms: bool = False,
    ) -> Sequence[RankedCandidate]:
        excluded = set(progress.excluded)
        if only_vms or progress.local_refused:
            excluded.update(progress.runtime.targets)
        return rank_candidates(
            progress.runtime.view,
            queued=progress.runtime.queue.requests_ahead(
                progress.runtime.service.traffic_class,
            ),
            excluded=excluded,
        )

    def _note_failure(self, progress: Progress, reply: Reply) -> None:
        progress.reason = reply.reason
        if reply.outcome is RequestOutcome.UNKNOWN:
            progress.may_have_run = True

    def _may_go_on(self, progress: Progress, attempt: Attempt) -> bool:
        time_left = progress.request.deadline - self._clock.monotonic()
        if not attempt.spent_elsewhere:
            # A refusal by the own queue has cost nobody else anything.
            return time_left > _NO_TIME
        outcome = AttemptOutcome.DID_NOT_RUN
        if attempt.reply.outcome is RequestOutcome.UNKNOWN:
            outcome = AttemptOutcome.UNKNOWN
        ranked = self._rank(progress)
        if not ranked:
            return False
        budget = progress.runtime.budget
        facts = RetryContext(
            outcome,
            progress.runtime.service.idempotent,
            time_left,
            ranked[0].cost,
            budget.available,
        )
        if not (may_retry(facts) and budget.try_spend()):
            return False
        self._metrics.count('retries_total', service=progress.request.service)
        return True

    async def _try(
        self,
        progress: Progress,
        ranked: RankedCandidate,
    ) -> Attempt:
        if ranked.candidate.kind is CandidateKind.TARGET:
            return await self._try_local(progress)
        return await self._try_vm(progress, ranked.candidate)

    async def _try_local(self, progress: Progress) -> Attempt:
        excluded = frozenset(progress.excluded)
        with self._tracing.span('target') as span:
            traced = replace(
                progress.request,
                traceparent=current_traceparent(),
            )
            local = await self._local.run(
                traced,
                excluded,
                progress.excluded.add,
            )
            span.set_attribute('candidate', local.candidate_id or '')
            span.set_attribute('outcome', local.outcome.value)
        if local.candidate_id is None:
            progress.local_refused = True
        if local.outcome is DispatchOutcome.ANSWERED:
            progress.runtime.budget.record_success()
        return Attempt(
            self._local_reply(local),
            local.candidate_id is not None,
        )

    def _local_reply(self, local: LocalReport) -> Reply:
        report = local.report
        if local.outcome is DispatchOutcome.ANSWERED:
            served_by = f'{self._vm} {local.candidate_id}'
            return Reply(
                RequestOutcome.ANSWERED,
                report.answer,
                served_by=served_by,
            )
        if local.outcome is DispatchOutcome.UNKNOWN:
            return unknown(report.reason)
        return not_run(report.reason)

    async def _try_vm(
        self,
        progress: Progress,
        candidate: Candidate,
    ) -> Attempt:
        candidate_id = candidate.candidate_id
        runtime = progress.runtime
        progress.excluded.add(candidate_id)
        progress.tried.append(candidate)
        route = runtime.peers.get(candidate_id)
        if route is None:
            return Attempt(not_run('the VM has left'), spent_elsewhere=False)
        holding = self._holding()
        reserved = self._forwarder.reserve(
            progress.request,
            runtime,
            route,
            holding,
        )
        if isinstance(reserved, Err):
            shortage = reserved.err_value
            reason = f'{shortage.resource}: {shortage.reason.value}'
            return Attempt(not_run(reason), spent_elsewhere=False)
        reply = await self._forward(
            progress,
            candidate_id,
            route,
            (holding, reserved.ok_value),
        )
        if reply.outcome is RequestOutcome.ANSWERED:
            runtime.budget.record_success()
        return Attempt(reply, spent_elsewhere=True)

    async def _forward(
        self,
        progress: Progress,
        candidate_id: CandidateId,
        route: PeerRoute,
        held: tuple[IncarnationState, Reservation | None],
    ) -> Reply:
        view = progress.runtime.view
        started = view.start(candidate_id)
        outcome = AttemptResult.CANCELLED
        try:
            with self._tracing.span('forward', vm=route.key.vm):
                reply = await self._forwarder.run(
                    replace(
                        progress.request,
                        traceparent=current_traceparent(),
                    ),
                    route,
                    *held,
                )
            outcome = _RESULTS[reply.outcome]
        finally:
            view.finish(started, outcome)
        return reply

    async def _try_hedged(
        self,
        progress: Progress,
        ranked: RankedCandidate,
    ) -> Attempt:
        runtime = progress.runtime
        delay = runtime.hedge.delay
        started_at = self._clock.monotonic()
        hedges = runtime.service.hedge.enabled and runtime.service.idempotent
        if hedges and delay is not None:
            attempt = await self._race(progress, ranked, delay)
        else:
            attempt = await self._try(progress, ranked)
        if hedges and attempt.reply.outcome is RequestOutcome.ANSWERED:
            runtime.hedge.record(self._clock.monotonic() - started_at)
        return attempt

    async def _race(
        self,
        progress: Progress,
        ranked: RankedCandidate,
        delay: timedelta,
    ) -> Attempt:
        first = asyncio.ensure_future(self._try(progress, ranked))
        attempts = {first}
        try:
            await asyncio.wait(attempts, timeout=delay.total_seconds())
            if not first.done():
                attempts.update(self._start_hedge(progress, ranked))
            return await first_answer(attempts)
        finally:
            for attempt in attempts:
                attempt.cancel()

    def _start_hedge(
        self,
        progress: Progress,
        ranked: RankedCandidate,
    ) -> Sequence[asyncio.Task[Attempt]]:
        runtime = progress.runtime
        # An attempt that waits for a slot has excluded no target yet; a hedge
        # in the same queue could be given the same target.
        is_local = ranked.candidate.kind is CandidateKind.TARGET
        is_waiting = is_local and not progress.excluded
        facts = HedgeContext(
            idempotent=runtime.service.idempotent,
            time_left=progress.request.deadline - self._clock.monotonic(),
            budget_available=runtime.budget.available_for_hedges,
            tried=(ranked.candidate, *progress.tried),
            ranked=self._rank(progress, only_vms=is_waiting),
        )
        choice = runtime.hedge.choose(facts)
        if choice is None or not runtime.budget.try_spend_on_hedge():
            return ()
        self._metrics.count('hedges_total', service=progress.request.service)
        return (asyncio.ensure_future(self._try(progress, choice)),)
