"""Bounded queue of one service's requests that wait for a slot."""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import RequestId, ServiceId, TrafficClass

_SECOND = timedelta(seconds=1)
_SERVICE_TIME_STEP = 0.05
# Iterating over an enumeration is slow, and this runs for every request.
CLASSES = tuple(TrafficClass)


@dataclass(frozen=True)
class QueuedRequest:
    """A request that asks for a slot of a local target."""

    request_id: RequestId
    service: ServiceId
    traffic_class: TrafficClass

    deadline: timedelta
    """Reading of the monotonic clock at which the caller's time is over."""


@dataclass(frozen=True)
class Waiting:
    """A request in a queue with its place in the order of arrival."""

    request: QueuedRequest
    number: int


class AdmissionQueue:
    """Requests of one service in order of class and arrival.

    Each request leaves exactly once: by :meth:`remove`, which a start, a
    refusal and a cancellation use.
    """

    def __init__(self, length: int, service_time: timedelta):
        """Allow ``length`` waiting requests.

        ``service_time`` is the expected time in a slot until one is observed.
        """
        self._length = length
        self._service_seconds = service_time / _SECOND
        self._classes: dict[TrafficClass, OrderedDict[RequestId, Waiting]] = {
            member: OrderedDict() for member in CLASSES
        }
        self._waiting: dict[RequestId, Waiting] = {}
        self._expiries: list[tuple[timedelta, int, RequestId]] = []
        self._slots = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the bound is reached."""
        return len(self._waiting) >= self._length

    @property
    def slots(self) -> int:
        """Slots of local targets that this VM owns."""
        return self._slots

    @property
    def service_time(self) -> timedelta:
        """Mean time that a request holds a slot."""
        return _SECOND * self._service_seconds

    def update_slots(self, slots: int) -> None:
        """State the slots whose release the waiting requests wait for."""
        self._slots = slots

    def record_service_time(self, duration: timedelta) -> None:
        """Add the time that a request held a slot."""
        change = duration / _SECOND - self._service_seconds
        self._service_seconds += change * _SERVICE_TIME_STEP

    def expected_wait(self, traffic_class: TrafficClass) -> timedelta | None:
        """Return the wait of a request that joins now.

        ``None`` without slots, when no wait ends.
        """
        if not self._slots:
            return None
        places = self.requests_ahead(traffic_class) + 1
        return _SECOND * (places * self._service_seconds / self._slots)

    def requests_ahead(self, traffic_class: TrafficClass) -> int:
        """Return how many waiting requests start before a new one."""
        ahead = 0
        for member in CLASSES:
            ahead += len(self._classes[member])
            if member is traffic_class:
                break
        return ahead

    def add(self, waiting: Waiting) -> None:
        """Append a request to its class."""
        request = waiting.request
        if request.request_id in self._waiting:
            raise ValueError(f'{request.request_id} already waits')
        self._waiting[request.request_id] = waiting
        self._classes[request.traffic_class][request.request_id] = waiting
        expiry = (request.deadline, waiting.number, request.request_id)
        heapq.heappush(self._expiries, expiry)

    def head(self, traffic_class: TrafficClass) -> Waiting | None:
        """Return the request of a class that has waited longest."""
        return next(iter(self._classes[traffic_class].values()), None)

    def newest_below(self, traffic_class: TrafficClass) -> Waiting | None:
        """Return the request to give up for one of ``traffic_class``.

        It is the newest one of the lowest class, if that class is lower.
        """
        for member in reversed(CLASSES):
            if member is traffic_class:
                return None
            if self._classes[member]:
                return next(reversed(self._classes[member].values()))
        return None

    def remove(self, request_id: RequestId) -> Waiting | None:
        """Take a request out, or return ``None`` if it does not wait."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._classes[waiting.request.traffic_class].pop(request_id)
        return waiting

    def next_expiry(self) -> timedelta | None:
        """Return the earliest deadline of a waiting request."""
        while self._expiries:
            deadline, number, request_id = self._expiries[0]
            waiting = self._waiting.get(request_id)
            if waiting and waiting.number == number:
                return deadline
            heapq.heappop(self._expiries)
        return None

    def expired(self, now: timedelta) -> Iterator[Waiting]:
        """Take out and yield the requests whose deadline has come."""
        deadline = self.next_expiry()
        while deadline is not None and deadline <= now:
            waiting = self.remove(self._expiries[0][2])
            if waiting is not None:
                yield waiting
            deadline = self.next_expiry()
