"""Hands slots to waiting requests across services and classes."""

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from itertools import count
from typing import Generic, TypeAlias, TypeVar

from plantainstand_core import Clock, RequestId, ServiceId, TrafficClass

from plantainstand_steering._queue import (
    CLASSES,
    AdmissionQueue,
    QueuedRequest,
    Waiting,
)

GrantT = TypeVar('GrantT')


class ShedReason(Enum):
    """Why a request was refused; it did not run."""

    QUEUE_FULL = 'queue full'
    DISPLACED = 'displaced'
    """A request of a higher class took its place in a full queue."""

    WAIT_TOO_LONG = 'wait too long'
    """The expected wait is longer than the time left."""

    DEADLINE_PASSED = 'deadline passed'
    NO_SLOTS = 'no slots'
    """This VM owns no slot of the service."""


@dataclass(frozen=True)
class Started(Generic[GrantT]):
    """The request holds what it needs and is to be dispatched now."""

    request: QueuedRequest
    grant: GrantT


@dataclass(frozen=True)
class Refused:
    """The request did not run and has left the queue."""

    request: QueuedRequest
    reason: ShedReason


Admission: TypeAlias = Started[GrantT] | Refused
Reserve: TypeAlias = Callable[[QueuedRequest], GrantT | None]


class AdmissionScheduler(Generic[GrantT]):
    """Queues of all services of one VM under shared limits.

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
        """Use ``reserve`` to take everything that a request needs.

        It returns the grant, or ``None`` if something is used up; it must
        not call back into the scheduler.
        """
        self._queues = dict(queues)
        self._reserve = reserve
        self._clock = clock
        self._numbers = count()

    def replace_queues(
        self,
        queues: Mapping[ServiceId, AdmissionQueue],
    ) -> Sequence[Refused]:
        """Take over a changed set of services.

        Requests that wait for a removed service are refused. When a service
        gets another queue object, its waiting requests move there; those
        beyond the new bound are refused, the lowest class first.
        """
        refused: list[Refused] = []
        for service, old in self._queues.items():
            new = queues.get(service)
            if new is not old:
                refused.extend(_move_waiting(old, new))
        self._queues = dict(queues)
        return refused

    def submit(self, request: QueuedRequest) -> Sequence[Admission[GrantT]]:
        """Start, queue or refuse a request.

        The result can also hold the end of other requests. A request that
        is not named in it waits.
        """
        ended: list[Admission[GrantT]] = list(self.expire())
        queue = self._queues.get(request.service)
        if queue is None:
            return (*ended, Refused(request, ShedReason.NO_SLOTS))
        if not self._has_peers_waiting(queue, request):
            grant = self._try_reserve(request)
            if grant is not None:
                return (*ended, Started(request, grant))
        ended.extend(self._enqueue(queue, request))
        return ended

    def start_waiting(self) -> Sequence[Admission[GrantT]]:
        """Give free capacity to waiting requests, the highest class first.

        To be called whenever a grant was released or a limit has grown.
        """
        ended: list[Admission[GrantT]] = list(self.expire())
        for traffic_class in CLASSES:
            ended.extend(self._start_class(traffic_class))
        return ended

    def expire(self) -> Sequence[Refused]:
        """Refuse the waiting requests whose deadline has come."""
        now = self._clock.monotonic()
        return [
            Refused(waiting.request, ShedReason.DEADLINE_PASSED)
            for queue in self._queues.values()
            for waiting in queue.expired(now)
        ]

    def next_expiry(self) -> timedelta | None:
        """Return when :meth:`expire` has something to do next."""
        expiries = (queue.next_expiry() for queue in self._queues.values())
        return min(
            (expiry for expiry in expiries if expiry is not None),
            default=None,
        )

    def cancel(self, service: ServiceId, request_id: RequestId) -> bool:
        """Take a waiting request out; false if it does not wait."""
        queue = self._queues.get(service)
        return queue is not None and queue.remove(request_id) is not None

    def _try_reserve(self, request: QueuedRequest) -> GrantT | None:
        if request.deadline <= self._clock.monotonic():
            return None
        return self._reserve(request)

    def _has_peers_waiting(
        self,
        queue: AdmissionQueue,
        request: QueuedRequest,
    ) -> bool:
        # A waiting request of the same service would otherwise be overtaken
        # in the moment between the release of a slot and the next call.
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
            lowest = queue.newest_below(request.traffic_class)
            if lowest is None:
                yield Refused(request, ShedReason.QUEUE_FULL)
                return
            queue.remove(lowest.request.request_id)
            yield Refused(lowest.request, ShedReason.DISPLACED)
        queue.add(Waiting(request, next(self._numbers)))

    def _start_class(
        self,
        traffic_class: TrafficClass,
    ) -> Iterator[Started[GrantT]]:
        open_queues = set(self._queues)
        while open_queues:
            service, waiting = self._oldest(open_queues, traffic_class)
            if waiting is None:
                return
            grant = self._reserve(waiting.request)
            if grant is None:
                # The service waits for its own targets or for a shared
                # limit; another service may still start.
                open_queues.discard(service)
                continue
            self._queues[service].remove(waiting.request.request_id)
            yield Started(waiting.request, grant)

    def _oldest(
        self,
        services: set[ServiceId],
        traffic_class: TrafficClass,
    ) -> tuple[ServiceId, Waiting | None]:
        heads = (
            (service, self._queues[service].head(traffic_class))
            for service in services
        )
        return min(heads, key=_arrival)


def _arrival(head: tuple[ServiceId, Waiting | None]) -> float:
    waiting = head[1]
    return float('inf') if waiting is None else waiting.number


def _classes_through(traffic_class: TrafficClass) -> Iterator[TrafficClass]:
    for member in CLASSES:
        yield member
        if member is traffic_class:
            return


def _move_waiting(
    old: AdmissionQueue,
    new: AdmissionQueue | None,
) -> Iterator[Refused]:
    for waiting in _drain(old):
        if new is None:
            yield Refused(waiting.request, ShedReason.NO_SLOTS)
        elif new.is_full:
            yield Refused(waiting.request, ShedReason.QUEUE_FULL)
        else:
            new.add(waiting)


def _drain(queue: AdmissionQueue) -> Iterator[Waiting]:
    for traffic_class in CLASSES:
        waiting = queue.head(traffic_class)
        while waiting is not None:
            queue.remove(waiting.request.request_id)
            yield waiting
            waiting = queue.head(traffic_class)
