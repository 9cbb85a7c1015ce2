"""Entry VM of the comparison that uses the steering library."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import TypeAlias

from plantainstand_core import AvailabilityZoneId
from plantainstand_steering import (
    Attempt,
    AttemptOutcome,
    AttemptResult,
    Candidate,
    CandidateId,
    CandidateKind,
    HedgeContext,
    HedgePolicy,
    LoadReport,
    RankedCandidate,
    RetryBudget,
    RetryContext,
    ServiceView,
    may_retry,
    rank_candidates,
)

from plantainstand_bench._policy_model import (
    ATTEMPT_TIMEOUT_SECONDS,
    ZONE_OF_VM,
    Arrival,
    EventLoop,
    Recorder,
    one_way,
)
from plantainstand_bench._policy_owner import (
    SERVICE_TIME,
    Job,
    Reply,
    SlotOwner,
)

HEDGE_PERCENTILE = 0.9
_RETRY_RATIO = 0.1

Cancel: TypeAlias = Callable[[], None]


@dataclass(eq=False)
class Flow:
    """A caller's request at its entry VM."""

    arrival: Arrival
    is_done: bool = False
    attempts: int = 0
    forwarded: list[Candidate] = field(default_factory=list)
    jobs: list[Job] = field(default_factory=list)
    cancels: dict[int, Cancel] = field(default_factory=dict)


@dataclass(eq=False)
class _Forwarded:
    """An attempt at another VM, as the sender sees it."""

    attempt: Attempt
    view: ServiceView
    reply: Reply
    job: Job | None = None
    is_over: bool = False

    def end(self, result: AttemptResult, report: LoadReport | None) -> None:
        """Count the first end; later ones are ignored."""
        if self.is_over:
            return
        self.is_over = True
        self.view.finish(self.attempt, result)
        if report is not None:
            self.view.accept_report(self.attempt.candidate_id, report)
        self.reply(result)


class SteeringEntry:
    """An entry VM that chooses, forwards, retries and hedges."""

    def __init__(
        self,
        vm: int,
        loop: EventLoop,
        owner: SlotOwner,
        recorder: Recorder,
        hedges: bool,
    ):
        """Use the slots of ``owner`` and those of other VMs."""
        self.vm = vm
        self.owner = owner
        self._peers: Mapping[CandidateId, SlotOwner] = {}
        self._loop = loop
        self._recorder = recorder
        self._hedges = hedges
        self._budget = RetryBudget(_RETRY_RATIO)
        self._hedge = HedgePolicy(loop, HEDGE_PERCENTILE)

    def meet(self, peers: Mapping[CandidateId, SlotOwner]) -> None:
        """Take over the entry VMs that a request can be forwarded to."""
        self._peers = peers
        vms = (
            _vm_candidate(candidate_id, peer, self.owner.zone)
            for candidate_id, peer in peers.items()
        )
        self.owner.view.replace_candidates((*self.owner.candidates, *vms))

    def arrive(self, arrival: Arrival) -> None:
        """Handle a request of a caller."""
        flow = Flow(arrival)
        self._attempt(flow, self._rank(flow)[0].candidate)
        delay = self._hedge.delay
        if self._hedges and delay is not None:
            after = partial(self._consider_hedge, flow)
            self._loop.after(delay.total_seconds(), after)

    def _rank(
        self,
        flow: Flow,
        limit: int = 3,
    ) -> Sequence[RankedCandidate]:
        return rank_candidates(
            self.owner.view,
            queued=self.owner.queue.requests_ahead(
                flow.arrival.traffic_class,
            ),
            excluded={tried.candidate_id for tried in self._tried(flow)},
            limit=limit,
        )

    def _tried(self, flow: Flow) -> Sequence[Candidate]:
        # A waiting request may still start at any local target.
        tried = list(flow.forwarded)
        for job in flow.jobs:
            tried.extend(
                candidate
                for candidate in self.owner.candidates
                if job.attempt is None
                or job.attempt.candidate_id == candidate.candidate_id
            )
        return tried

    def _attempt(self, flow: Flow, candidate: Candidate) -> None:
        number = flow.attempts
        flow.attempts += 1
        reply = partial(self._replied, flow, number)
        if candidate.kind is CandidateKind.VM:
            flow.forwarded.append(candidate)
            self._forward(flow, number, candidate.candidate_id, reply)
            return
        excluded = {tried.candidate_id for tried in self._tried(flow)}
        job = self.owner.prepare(flow.arrival, number, reply, excluded)
        flow.jobs.append(job)
        flow.cancels[number] = partial(self.owner.cancel, job)
        self.owner.accept(job)

    def _forward(
        self,
        flow: Flow,
        number: int,
        candidate_id: CandidateId,
        reply: Reply,
    ) -> None:
        peer = self._peers[candidate_id]
        view = self.owner.view
        forwarded = _Forwarded(view.start(candidate_id), view, reply)
        delay = one_way(self.owner.zone, peer.zone)

        def answer(result: AttemptResult) -> None:
            back = partial(forwarded.end, result, peer.report())
            self._loop.after(delay, back)

        def arrive() -> None:
            if peer.is_alive and not forwarded.is_over:
                forwarded.job = peer.prepare(flow.arrival, number, answer)
                peer.accept(forwarded.job)

        def cancel() -> None:
            forwarded.end(AttemptResult.CANCELLED, None)
            if forwarded.job is not None:
                self._loop.after(delay, partial(peer.cancel, forwarded.job))

        flow.cancels[number] = cancel
        self._loop.after(delay, arrive)
        if not peer.is_alive:
            late = partial(forwarded.end, AttemptResult.FAILED, None)
            self._loop.after(ATTEMPT_TIMEOUT_SECONDS, late)

    def _replied(self, flow: Flow, number: int, ended: AttemptResult) -> None:
        flow.cancels.pop(number, None)
        if flow.is_done or ended is AttemptResult.CANCELLED:
            return
        if ended is AttemptResult.ANSWERED:
            flow.is_done = True
            self._answered(flow)
        elif not flow.cancels:
            self._retry(flow, ended)

    def _answered(self, flow: Flow) -> None:
        self._budget.record_success()
        latency = timedelta(seconds=self._loop.now - flow.arrival.at)
        self._hedge.record(latency)
        self._recorder.answered(flow.arrival, self._loop.now)
        for cancel in tuple(flow.cancels.values()):
            cancel()

    def _retry(self, flow: Flow, ended: AttemptResult) -> None:
        ranked = self._rank(flow)
        outcome = AttemptOutcome.UNKNOWN
        if ended is AttemptResult.REFUSED:
            outcome = AttemptOutcome.DID_NOT_RUN
        left = self._time_left(flow)
        facts = RetryContext(
            outcome,
            idempotent=True,
            time_left=left,
            expected_duration=ranked[0].cost if ranked else left,
            budget_available=self._budget.available,
        )
        if may_retry(facts) and self._budget.try_spend():
            self._attempt(flow, ranked[0].candidate)
        else:
            flow.is_done = True
            self._recorder.shed(flow.arrival)

    def _consider_hedge(self, flow: Flow) -> None:
        if flow.is_done or len(flow.cancels) != 1:
            return
        facts = HedgeContext(
            idempotent=True,
            time_left=self._time_left(flow),
            budget_available=self._budget.available_for_hedges,
            tried=self._tried(flow),
            ranked=self._rank(flow, len(ZONE_OF_VM)),
        )
        chosen = self._hedge.choose(facts)
        if chosen is not None and self._budget.try_spend_on_hedge():
            self._attempt(flow, chosen.candidate)

    def _time_left(self, flow: Flow) -> timedelta:
        return timedelta(seconds=flow.arrival.deadline - self._loop.now)


def _vm_candidate(
    candidate_id: CandidateId,
    peer: SlotOwner,
    zone: int,
) -> Candidate:
    return Candidate(
        candidate_id,
        CandidateKind.VM,
        AvailabilityZoneId(str(peer.zone)),
        timedelta(seconds=2 * one_way(zone, peer.zone)),
        SERVICE_TIME,
        peer.slots,
    )
