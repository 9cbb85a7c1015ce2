"""Owner of slots in the comparison: runs, queues or refuses attempts."""

from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from functools import partial
from random import Random
from typing import TypeAlias

from plantainstand_core import AvailabilityZoneId, RequestId, ServiceId
from plantainstand_steering import (
    Admission,
    AdmissionQueue,
    AdmissionScheduler,
    Attempt,
    AttemptResult,
    Candidate,
    CandidateId,
    CandidateKind,
    LoadReport,
    QueuedRequest,
    ServiceView,
    Started,
    choose_free_target,
)

from plantainstand_bench._policy_model import (
    MEAN_SERVICE_SECONDS,
    ZONE_OF_VM,
    Arrival,
    EventLoop,
    ModelTarget,
    Recorder,
    Work,
)

SERVICE = ServiceId('catalogue')
SERVICE_TIME = timedelta(seconds=MEAN_SERVICE_SECONDS)
_QUEUE_LENGTH = 60

Reply: TypeAlias = Callable[[AttemptResult], None]


@dataclass(eq=False)
class Job:
    """An attempt at the VM that owns the slots."""

    queued: QueuedRequest
    demand: float
    reply: Reply
    excluded: Collection[CandidateId]
    attempt: Attempt | None = None
    target: ModelTarget | None = None
    work: Work | None = None


class SlotOwner:
    """Slots of one VM at the targets of its zone, and their queue."""

    def __init__(
        self,
        vm: int,
        loop: EventLoop,
        shares: Mapping[ModelTarget, int],
        recorder: Recorder,
        random_source: Random,
    ):
        """Own ``shares`` slots."""
        self.vm = vm
        self.zone = ZONE_OF_VM[vm]
        self.slots = sum(shares.values())
        self.candidates = tuple(map(_candidate, shares, shares.values()))
        self.view = ServiceView(self.candidates, loop, random_source)
        self.queue = AdmissionQueue(_QUEUE_LENGTH, SERVICE_TIME)
        self.queue.update_slots(self.slots)
        self._loop = loop
        self._recorder = recorder
        self._jobs: dict[RequestId, Job] = {}
        self._targets = {_candidate_id(target): target for target in shares}
        self._scheduler = AdmissionScheduler(
            {SERVICE: self.queue},
            self._reserve,
            loop,
        )

    @property
    def is_alive(self) -> bool:
        """Whether the zone still runs."""
        return next(iter(self._targets.values())).is_alive

    def report(self) -> LoadReport:
        """Return the own load now."""
        in_use = sum(map(self.view.in_flight, self._targets))
        return LoadReport(
            self.slots - in_use,
            self.slots,
            len(self.queue),
            self._loop.monotonic(),
        )

    def prepare(
        self,
        arrival: Arrival,
        number: int,
        reply: Reply,
        excluded: Collection[CandidateId] = (),
    ) -> Job:
        """Return attempt ``number`` of a request for :meth:`accept`."""
        queued = QueuedRequest(
            RequestId(f'{arrival.number}/{number}'),
            SERVICE,
            arrival.traffic_class,
            timedelta(seconds=arrival.deadline),
        )
        demand = arrival.demands[min(number, 1)]
        return Job(queued, demand, reply, excluded)

    def accept(self, job: Job) -> None:
        """Run, queue or refuse an attempt."""
        self._jobs[job.queued.request_id] = job
        self._apply(self._scheduler.submit(job.queued))
        self._watch()

    def cancel(self, job: Job) -> None:
        """Stop an attempt that is not wanted any more."""
        if self._jobs.pop(job.queued.request_id, None) is None:
            return
        if job.attempt and job.target and job.work:
            job.target.cancel(job.work)
            self._release(job.attempt, AttemptResult.CANCELLED)
        else:
            self._scheduler.cancel(SERVICE, job.queued.request_id)

    def _reserve(self, request: QueuedRequest) -> Attempt | None:
        excluded = self._jobs[request.request_id].excluded
        chosen = choose_free_target(self.view, excluded)
        return None if chosen is None else self.view.start(chosen)

    def _apply(self, ended: Sequence[Admission[Attempt]]) -> None:
        for end in ended:
            request_id = end.request.request_id
            if isinstance(end, Started):
                self._dispatch(self._jobs[request_id], end.grant)
            else:
                job = self._jobs.pop(request_id)
                job.reply(AttemptResult.REFUSED)

    def _dispatch(self, job: Job, attempt: Attempt) -> None:
        deadline = job.queued.deadline.total_seconds()
        job.attempt = attempt
        job.target = self._targets[attempt.candidate_id]
        job.work = Work(
            job.demand,
            deadline,
            partial(self._finished, job, attempt),
        )
        self._recorder.attempts += 1
        job.target.take(job.work)

    def _finished(self, job: Job, attempt: Attempt, is_done: bool) -> None:
        self._jobs.pop(job.queued.request_id)
        ended = AttemptResult.ANSWERED if is_done else AttemptResult.FAILED
        job.reply(ended)
        # The target frees its slot after this call.
        self._loop.after(0, partial(self._release, attempt, ended))

    def _release(self, attempt: Attempt, ended: AttemptResult) -> None:
        self.view.finish(attempt, ended)
        self._apply(self._scheduler.start_waiting())

    def _watch(self) -> None:
        expiry = self._scheduler.next_expiry()
        if expiry is not None:
            wait = expiry.total_seconds() - self._loop.now
            self._loop.after(max(wait, 0), self._expire)

    def _expire(self) -> None:
        self._apply(self._scheduler.expire())


def _candidate_id(target: ModelTarget) -> CandidateId:
    return CandidateId(f'target/{target.number}')


def _candidate(target: ModelTarget, slots: int) -> Candidate:
    return Candidate(
        _candidate_id(target),
        CandidateKind.TARGET,
        AvailabilityZoneId(str(target.zone)),
        timedelta(0),
        SERVICE_TIME,
        slots,
    )
