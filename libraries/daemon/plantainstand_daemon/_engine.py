"""Steering of one request: choice of candidates, retries and hedging."""

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

from plantainstand_daemon._attempts import (
    FinishedAttempt,
    RequestProgress,
    first_answer,
)
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

_ATTEMPT_RESULTS = MappingProxyType(
    {
        RequestOutcome.ANSWERED: AttemptResult.ANSWERED,
        RequestOutcome.NOT_RUN: AttemptResult.REFUSED,
        RequestOutcome.UNKNOWN: AttemptResult.FAILED,
    }
)


class Engine:
    """Steers requests to this VM's targets and to other VMs.

    Not thread-safe: used on the event loop only.
    """

    def __init__(
        self,
        vm: VmId,
        local: LocalDispatcher,
        forwarder: Forwarder,
        runtimes: Callable[[], Mapping[ServiceId, ServiceRuntime]],
        incarnation_state: Callable[[], IncarnationState],
        instruments: Instruments,
    ) -> None:
        """Use ``local`` for own targets and ``forwarder`` for other VMs."""
        self._vm = vm
        self._local = local
        self._forwarder = forwarder
        self._runtimes = runtimes
        self._incarnation_state = incarnation_state
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._tracing = instruments.tracing

    async def steer(self, request: SteeredRequest) -> Reply:
        """Run a request at a target, directly or through another VM."""
        runtime = self._runtimes().get(request.service)
        if runtime is None:
            return not_run(f'the catalogue has no service `{request.service}`')
        with self._tracing.span(
            'steer',
            request.traceparent,
            request_id=request.request_id,
            service=request.service,
        ):
            return await self._steer(
                RequestProgress(self._prepare(request), runtime)
            )

    async def serve_forwarded(self, request: SteeredRequest) -> Reply:
        """Serve a request from another VM, only at this VM's own targets."""
        runtime = self._runtimes().get(request.service)
        if runtime is None:
            return not_run(
                f'no service `{request.service}` at {self._vm}',
            )
        with self._tracing.span(
            'serve forwarded',
            request.traceparent,
            request_id=request.request_id,
            source_vm=request.source_vm or '',
        ):
            progress = RequestProgress(self._prepare(request), runtime)
            attempt = await self._try_local(progress)
        self._metrics.count(
            'forwarded_total',
            outcome=attempt.reply.outcome.value,
        )
        return attempt.reply

    def _prepare(self, request: SteeredRequest) -> SteeredRequest:
        """Set the trace context and cap the deadline at the registered bound.

        The shares of a lost VM are reclaimed after the longest deadline in its
        registry entry, so no work may last longer, even if the catalogue has
        just raised the limit.
        """
        latest = (
            self._clock.monotonic() + self._incarnation_state().longest_deadline
        )
        return replace(
            request,
            traceparent=current_traceparent(),
            deadline=min(request.deadline, latest),
        )

    async def _steer(self, progress: RequestProgress) -> Reply:
        is_first = True
        while True:  # noqa: WPS457
            ranked = self._rank(progress)
            if not ranked:
                return progress.final_reply()
            if is_first:
                attempt = await self._try_hedged(progress, ranked[0])
            else:
                attempt = await self._try(progress, ranked[0])
            is_first = False
            if attempt.reply.outcome is RequestOutcome.ANSWERED:
                return attempt.reply
            self._record_failure(progress, attempt.reply)
            if not self._may_try_again(progress, attempt):
                return progress.final_reply()

    def _rank(
        self,
        progress: RequestProgress,
        *,
        only_vms: bool = False,
    ) -> Sequence[RankedCandidate]:
        excluded = set(progress.excluded)
        if only_vms or progress.queue_refused:
            excluded.update(progress.runtime.targets)
        return rank_candidates(
            progress.runtime.view,
            queued=progress.runtime.queue.requests_ahead(
                progress.runtime.service.traffic_class,
            ),
            excluded=excluded,
        )

    def _record_failure(self, progress: RequestProgress, reply: Reply) -> None:
        progress.reason = reply.reason
        if reply.outcome is RequestOutcome.UNKNOWN:
            progress.may_have_run = True

    def _may_try_again(
        self, progress: RequestProgress, attempt: FinishedAttempt
    ) -> bool:
        time_left = progress.request.deadline - self._clock.monotonic()
        if not attempt.was_dispatched:
            # A refusal by this VM's own queue puts no load on any target or VM,
            # so another attempt needs no retry budget.
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
        progress: RequestProgress,
        ranked: RankedCandidate,
    ) -> FinishedAttempt:
        if ranked.candidate.kind is CandidateKind.TARGET:
            return await self._try_local(progress)
        return await self._try_vm(progress, ranked.candidate)

    async def _try_local(self, progress: RequestProgress) -> FinishedAttempt:
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
            progress.queue_refused = True
        if local.outcome is DispatchOutcome.ANSWERED:
            progress.runtime.budget.record_success()
        return FinishedAttempt(
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
        progress: RequestProgress,
        candidate: Candidate,
    ) -> FinishedAttempt:
        candidate_id = candidate.candidate_id
        runtime = progress.runtime
        progress.excluded.add(candidate_id)
        progress.tried.append(candidate)
        route = runtime.peers.get(candidate_id)
        if route is None:
            return FinishedAttempt(
                not_run('the VM has left'), was_dispatched=False
            )
        incarnation_state = self._incarnation_state()
        reserved = self._forwarder.reserve(
            progress.request,
            runtime,
            route,
            incarnation_state,
        )
        if isinstance(reserved, Err):
            shortage = reserved.err_value
            reason = f'{shortage.resource}: {shortage.reason.value}'
            return FinishedAttempt(not_run(reason), was_dispatched=False)
        reply = await self._forward(
            progress,
            candidate_id,
            route,
            (incarnation_state, reserved.ok_value),
        )
        if reply.outcome is RequestOutcome.ANSWERED:
            runtime.budget.record_success()
        return FinishedAttempt(reply, was_dispatched=True)

    async def _forward(
        self,
        progress: RequestProgress,
        candidate_id: CandidateId,
        route: PeerRoute,
        reserved: tuple[IncarnationState, Reservation | None],
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
                    *reserved,
                )
            outcome = _ATTEMPT_RESULTS[reply.outcome]
        finally:
            view.finish(started, outcome)
        return reply

    async def _try_hedged(
        self,
        progress: RequestProgress,
        ranked: RankedCandidate,
    ) -> FinishedAttempt:
        runtime = progress.runtime
        delay = runtime.hedge.delay
        started_at = self._clock.monotonic()
        hedges = runtime.service.hedge.enabled and runtime.service.idempotent
        if hedges and delay is not None:
            attempt = await self._run_with_hedge(progress, ranked, delay)
        else:
            attempt = await self._try(progress, ranked)
        if hedges and attempt.reply.outcome is RequestOutcome.ANSWERED:
            runtime.hedge.record(self._clock.monotonic() - started_at)
        return attempt

    async def _run_with_hedge(
        self,
        progress: RequestProgress,
        ranked: RankedCandidate,
        delay: timedelta,
    ) -> FinishedAttempt:
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
        progress: RequestProgress,
        ranked: RankedCandidate,
    ) -> Sequence[asyncio.Task[FinishedAttempt]]:
        runtime = progress.runtime
        # An attempt that waits for a slot has excluded no target yet. A hedge
        # in the same queue could get the same target, so only other VMs are
        # considered.
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
