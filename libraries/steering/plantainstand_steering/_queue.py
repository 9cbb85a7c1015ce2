"""Bounded queue of the requests of a service that wait for a slot."""

import heapq
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import RequestId, ServiceId, TrafficClass

_SECOND = timedelta(seconds=1)
_SERVICE_TIME_SMOOTHING_FACTOR = 0.05
# Iterating over the enumeration itself is slow, and every request does it.
TRAFFIC_CLASSES = tuple(TrafficClass)


@dataclass(frozen=True)
class QueuedRequest:
    """A request that asks for a slot of a local target."""

    request_id: RequestId
    service: ServiceId
    traffic_class: TrafficClass

    deadline: timedelta
    """Reading of the monotonic clock at which the caller stops waiting."""


@dataclass(frozen=True)
class WaitingRequest:
    """A request in a queue with its number in the order of arrival."""

    request: QueuedRequest
    arrival_number: int


class AdmissionQueue:
    """Requests of one service in order of traffic class and arrival.

    Each request leaves the queue exactly once, through :meth:`remove`:
    because it is started, refused or cancelled.
    """

    def __init__(self, length: int, service_time: timedelta):
        """Create a queue of at most ``length`` requests.

        ``service_time`` is the initial mean time that a request holds a slot.
        """
        self._max_length = length
        self._service_seconds = service_time / _SECOND
        self._classes: dict[
            TrafficClass, OrderedDict[RequestId, WaitingRequest]
        ] = {member: OrderedDict() for member in TRAFFIC_CLASSES}
        self._waiting: dict[RequestId, WaitingRequest] = {}
        self._expiries: list[tuple[timedelta, int, RequestId]] = []
        self._slots = 0

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    @property
    def is_full(self) -> bool:
        """Whether the queue has reached its length."""
        return len(self._waiting) >= self._max_length

    @property
    def slots(self) -> int:
        """Slots of local targets that this VM owns."""
        return self._slots

    @property
    def service_time(self) -> timedelta:
        """Mean time that a request holds a slot."""
        return _SECOND * self._service_seconds

    def update_slots(self, slots: int) -> None:
        """Set the number of slots of local targets that this VM owns."""
        self._slots = slots

    def record_service_time(self, duration: timedelta) -> None:
        """Record the time that a request held a slot."""
        change = duration / _SECOND - self._service_seconds
        self._service_seconds += change * _SERVICE_TIME_SMOOTHING_FACTOR

    def expected_wait(self, traffic_class: TrafficClass) -> timedelta | None:
        """Return the expected wait of a request that is added now.

        ``None`` if this VM owns no slots, so that no wait ends.
        """
        if not self._slots:
            return None
        requests = self.requests_ahead(traffic_class) + 1
        return _SECOND * (requests * self._service_seconds / self._slots)

    def requests_ahead(self, traffic_class: TrafficClass) -> int:
        """Return how many waiting requests start before a new request."""
        ahead = 0
        for member in TRAFFIC_CLASSES:
            ahead += len(self._classes[member])
            if member is traffic_class:
                break
        return ahead

    def add(self, waiting: WaitingRequest) -> None:
        """Append a request to those of its traffic class.

        :raises ValueError: if the request is already in the queue
        """
        request = waiting.request
        if request.request_id in self._waiting:
            raise ValueError(f'request {request.request_id} is already queued')
        self._waiting[request.request_id] = waiting
        self._classes[request.traffic_class][request.request_id] = waiting
        expiry = (request.deadline, waiting.arrival_number, request.request_id)
        heapq.heappush(self._expiries, expiry)

    def head(self, traffic_class: TrafficClass) -> WaitingRequest | None:
        """Return the request of a class that has waited longest, if any."""
        return next(iter(self._classes[traffic_class].values()), None)

    def displaceable_by(
        self,
        traffic_class: TrafficClass,
    ) -> WaitingRequest | None:
        """Return the request that a request of ``traffic_class`` displaces.

        This is the newest request of the lowest class that has requests, or
        ``None`` if that class is not below ``traffic_class``.
        """
        for member in reversed(TRAFFIC_CLASSES):
            if member is traffic_class:
                return None
            if self._classes[member]:
                return next(reversed(self._classes[member].values()))
        return None

    def remove(self, request_id: RequestId) -> WaitingRequest | None:
        """Remove and return a request; ``None`` if it is not in the queue."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is not None:
            self._classes[waiting.request.traffic_class].pop(request_id)
        return waiting

    def next_expiry(self) -> timedelta | None:
        """Return the earliest deadline of a waiting request."""
        while self._expiries:
            deadline, number, request_id = self._expiries[0]
            waiting = self._waiting.get(request_id)
            if waiting and waiting.arrival_number == number:
                return deadline
            heapq.heappop(self._expiries)
        return None

    def pop_expired(self, now: timedelta) -> Iterator[WaitingRequest]:
        """Remove and yield the requests whose deadline has passed."""
        deadline = self.next_expiry()
        while deadline is not None and deadline <= now:
            waiting = self.remove(self._expiries[0][2])
            if waiting is not None:
                yield waiting
            deadline = self.next_expiry()
