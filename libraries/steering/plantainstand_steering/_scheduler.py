"""Admission of requests to slots across services and traffic classes."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from itertools import count
from typing import Generic, TypeAlias, TypeVar

from plantainstand_core import Clock, RequestId, ServiceId, TrafficClass

from plantainstand_steering._queue import (
    TRAFFIC_CLASSES,
    AdmissionQueue,
    QueuedRequest,
    WaitingRequest,
)

GrantT = TypeVar('GrantT')


class ShedReason(Enum):
    """Why a request was refused; it did not run."""

    QUEUE_FULL = 'queue full'
    DISPLACED = 'displaced'
    """A request of a higher class displaced it from a full queue."""

    WAIT_TOO_LONG = 'wait too long'
    """The expected wait is longer than the time left."""

    DEADLINE_PASSED = 'deadline passed'
    NO_SLOTS = 'no slots'
    """This VM owns no slot of the service."""


@dataclass(frozen=True)
class Started(Generic[GrantT]):
    """The request has its grant and must be dispatched now."""

    request: QueuedRequest
    grant: GrantT


@dataclass(frozen=True)
class Refused:
    """The request has not run and is not queued."""

    request: QueuedRequest
    reason: ShedReason


Admission: TypeAlias = Started[GrantT] | Refused
Reserve: TypeAlias = Callable[[QueuedRequest], GrantT | None]


class AdmissionScheduler(Generic[GrantT]):
    """Schedules the queues of all services of a VM under shared limits.

    Every request given to :meth:`submit` ends exactly once: as
    :class:`Started`, as :class:`Refused`, or by a :meth:`cancel` that
    returned true.
    """

    def __init__(
        self,
        queues: Mapping[ServiceId, AdmissionQueue],
        reserve: Reserve[GrantT],
        clock: Clock,
    ):
        """Create a scheduler that reserves capacity with ``reserve``.

        ``reserve`` reserves all that a request needs and returns the grant,
        or reserves nothing and returns ``None``. It must not call the
        scheduler.
        """
        self._queues = dict(queues)
        self._reserve = reserve
        self._clock = clock
        self._arrival_numbers = count()

    def replace_queues(
        self,
        queues: Mapping[ServiceId, AdmissionQueue],
    ) -> Sequence[Refused]:
        """Replace the services and their queues.

        Waiting requests of a removed service are refused. If the queue object
        of a service is replaced, its waiting requests move to the new queue;
        those beyond its length are refused, the lowest class first.
        """
        refused: list[Refused] = []
        for service, old in self._queues.items():
            new = queues.get(service)
            if new is not old:
                refused.extend(_transfer_waiting(old, new))
        self._queues = dict(queues)
        return refused

    def submit(self, request: QueuedRequest) -> Sequence[Admission[GrantT]]:
        """Start, queue or refuse a request.

        The result can also contain other requests that are refused by this
        call. If it does not contain ``request``, the request is queued.
        """
        ended: list[Admission[GrantT]] = list(self.expire())
        queue = self._queues.get(request.service)
        if queue is None:
            return (*ended, Refused(request, ShedReason.NO_SLOTS))
        if not self._has_earlier_waiting(queue, request):
            grant = self._try_reserve(request)
            if grant is not None:
                return (*ended, Started(request, grant))
        ended.extend(self._enqueue(queue, request))
        return ended

    def start_waiting(self) -> Sequence[Admission[GrantT]]:
        """Start waiting requests while capacity is free, highest class first.

        Must be called whenever a grant was released or a limit was raised.
        """
        ended: list[Admission[GrantT]] = list(self.expire())
        for traffic_class in TRAFFIC_CLASSES:
            ended.extend(self._start_class(traffic_class))
        return ended

    def expire(self) -> Sequence[Refused]:
        """Refuse the waiting requests whose deadline has passed."""
        now = self._clock.monotonic()
        return [
            Refused(waiting.request, ShedReason.DEADLINE_PASSED)
            for queue in self._queues.values()
            for waiting in queue.pop_expired(now)
        ]

    def next_expiry(self) -> timedelta | None:
        """Return the earliest deadline of a waiting request, if any."""
        expiries = (queue.next_expiry() for queue in self._queues.values())
        return min(
            (expiry for expiry in expiries if expiry is not None),
            default=None,
        )

    def cancel(self, service: ServiceId, request_id: RequestId) -> bool:
        """Remove a waiting request; return false if it is not queued."""
        queue = self._queues.get(service)
        return queue is not None and queue.remove(request_id) is not None

    def _try_reserve(self, request: QueuedRequest) -> GrantT | None:
        if request.deadline <= self._clock.monotonic():
            return None
        return self._reserve(request)

    def _has_earlier_waiting(
        self,
        queue: AdmissionQueue,
        request: QueuedRequest,
    ) -> bool:
        # Between the release of a slot and the next call, a new request could
        # otherwise overtake a waiting one of the same service.
        return any(
            queue.head(member) is not None
            for member in _classes_through(request.traffic_class)
        )

    def _enqueue(
        self,
        queue: AdmissionQueue,
        request: QueuedRequest,
    ) -> Iterator[Refused]:
        wait = queue.expected_wait(request.traffic_class)
        if wait is None:
            yield Refused(request, ShedReason.NO_SLOTS)
        elif self._clock.monotonic() + wait >= request.deadline:
            yield Refused(request, ShedReason.WAIT_TOO_LONG)
        else:
            yield from self._join(queue, request)

    def _join(
        self,
        queue: AdmissionQueue,
        request: QueuedRequest,
    ) -> Iterator[Refused]:
        if queue.is_full:
            displaced = queue.displaceable_by(request.traffic_class)
            if displaced is None:
                yield Refused(request, ShedReason.QUEUE_FULL)
                return
            queue.remove(displaced.request.request_id)
            yield Refused(displaced.request, ShedReason.DISPLACED)
        queue.add(WaitingRequest(request, next(self._arrival_numbers)))

    def _start_class(
        self,
        traffic_class: TrafficClass,
    ) -> Iterator[Started[GrantT]]:
        candidate_services = set(self._queues)
        while candidate_services:
            service, waiting = self._earliest_head(
                candidate_services, traffic_class
            )
            if waiting is None:
                return
            grant = self._reserve(waiting.request)
            if grant is None:
                # The service has no free target slot or has reached a shared
                # limit; requests of other services may still start.
                candidate_services.discard(service)
                continue
            self._queues[service].remove(waiting.request.request_id)
            yield Started(waiting.request, grant)

    def _earliest_head(
        self,
        services: set[ServiceId],
        traffic_class: TrafficClass,
    ) -> tuple[ServiceId, WaitingRequest | None]:
        heads = (
            (service, self._queues[service].head(traffic_class))
            for service in services
        )
        return min(heads, key=_arrival_number)


def _arrival_number(head: tuple[ServiceId, WaitingRequest | None]) -> float:
    waiting = head[1]
    return float('inf') if waiting is None else waiting.arrival_number


def _classes_through(traffic_class: TrafficClass) -> Iterator[TrafficClass]:
    for member in TRAFFIC_CLASSES:
        yield member
        if member is traffic_class:
            return


def _transfer_waiting(
    old: AdmissionQueue,
    new: AdmissionQueue | None,
) -> Iterator[Refused]:
    for waiting in _pop_all(old):
        if new is None:
            yield Refused(waiting.request, ShedReason.NO_SLOTS)
        elif new.is_full:
            yield Refused(waiting.request, ShedReason.QUEUE_FULL)
        else:
            new.add(waiting)


def _pop_all(queue: AdmissionQueue) -> Iterator[WaitingRequest]:
    for traffic_class in TRAFFIC_CLASSES:
        waiting = queue.head(traffic_class)
        while waiting is not None:
            queue.remove(waiting.request.request_id)
            yield waiting
            waiting = queue.head(traffic_class)
