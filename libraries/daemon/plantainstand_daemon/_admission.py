"""Slots of this VM's targets, given to requests in order."""

import asyncio
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from itertools import count

from plantainstand_core import Clock, RequestId, ServiceId
from plantainstand_shares import Reservation, ShareLedger
from plantainstand_steering import (
    Admission,
    AdmissionScheduler,
    Attempt,
    AttemptResult,
    CandidateId,
    QueuedRequest,
    Refused,
    ShedReason,
    Started,
    choose_free_target,
)

from plantainstand_daemon._holding import IncarnationState
from plantainstand_daemon._messages import SteeredRequest
from plantainstand_daemon._services import LocalTarget, ServiceRuntime


@dataclass(frozen=True)
class Grant:
    """A slot of a target, held for one attempt."""

    local: LocalTarget
    ledger: ShareLedger
    holding: IncarnationState
    reservation: Reservation
    attempt: Attempt
    runtime: ServiceRuntime


@dataclass(frozen=True)
class _Waiter:
    future: asyncio.Future[Grant | ShedReason]
    excluded: frozenset[CandidateId]


class SlotAdmission:
    """Queues and shares of this VM; owned by the event loop."""

    def __init__(self, clock: Clock) -> None:
        """Start without services; :meth:`apply` brings them."""
        self._clock = clock
        self._numbers = count()
        self._waiters: dict[RequestId, _Waiter] = {}
        self._runtimes: Mapping[ServiceId, ServiceRuntime] = {}
        self._holding: IncarnationState | None = None
        self._scheduler: AdmissionScheduler[Grant] = AdmissionScheduler(
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
        holding: IncarnationState,
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
        self._settle(self._scheduler.start_waiting())

    async def admit(
        self,
        request: SteeredRequest,
        excluded: frozenset[CandidateId],
    ) -> Grant | ShedReason:
        """Wait for a slot; the grant must be released."""
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
            # Work that starts later would be stopped at its deadline: the
            # slot would be used for nothing while others wait.
            request.deadline - runtime.queue.service_time,
        )
        self._settle(self._scheduler.submit(queued))
        try:
            admitted: Grant | ShedReason = await future
        except asyncio.CancelledError:
            self._withdraw(queued, future)
            raise
        finally:
            self._waiters.pop(queue_id, None)
        return admitted

    def release(self, grant: Grant, result: AttemptResult) -> None:
        """Give a slot back, once, and hand it to the next request."""
        if not grant.reservation.open:
            return
        now = self._clock.monotonic()
        grant.ledger.release(grant.reservation, now)
        grant.runtime.view.finish(grant.attempt, result)
        if result is AttemptResult.ANSWERED:
            held = now - grant.attempt.started_at
            grant.runtime.queue.record_service_time(held)
        self.refresh()

    def _withdraw(
        self,
        queued: QueuedRequest,
        future: asyncio.Future[Grant | ShedReason],
    ) -> None:
        self._scheduler.cancel(queued.service, queued.request_id)
        if future.done() and not future.cancelled():
            admitted = future.result()
            if isinstance(admitted, Grant):
                self.release(admitted, AttemptResult.CANCELLED)

    def _settle(
        self,
        admissions: Iterable[Admission[Grant]],
    ) -> None:
        for admission in admissions:
            waiter = self._waiters.get(admission.request.request_id)
            if waiter is None or waiter.future.done():
                if isinstance(admission, Started):
                    self.release(admission.grant, AttemptResult.CANCELLED)
            elif isinstance(admission, Refused):
                waiter.future.set_result(admission.reason)
            else:
                waiter.future.set_result(admission.grant)

    def _reserve(self, queued: QueuedRequest) -> Grant | None:
        runtime = self._runtimes.get(queued.service)
        holding = self._holding
        if runtime is None or holding is None:
            return None
        waiter = self._waiters.get(queued.request_id)
        refused = set(waiter.excluded) if waiter else set()
        now = self._clock.monotonic()
        candidate_id = choose_free_target(runtime.view, refused)
        while candidate_id is not None:
            local = runtime.targets[candidate_id]
            reserved = holding.ledger.reserve(local.claims, now)
            if reserved.is_ok():
                attempt = runtime.view.start(candidate_id)
                return Grant(
                    local,
                    holding.ledger,
                    holding,
                    reserved.unwrap(),
                    attempt,
                    runtime,
                )
            refused.add(candidate_id)
            candidate_id = choose_free_target(runtime.view, refused)
        return None
