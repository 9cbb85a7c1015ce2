"""Admission: no slot is given twice and no request is lost."""

import unittest
from collections import Counter
from collections.abc import Iterable
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import ManualClock, RequestId, ServiceId, TrafficClass
from plantainstand_steering import (
    Admission,
    AdmissionQueue,
    AdmissionScheduler,
    QueuedRequest,
    Refused,
    ShedReason,
    Started,
)

_ORDER = ServiceId('order')
_CATALOGUE = ServiceId('catalogue')
_SECOND = timedelta(seconds=1)
_PATIENCE = timedelta(seconds=10)
_CLASSES = tuple(TrafficClass)
_CRITICAL, _NORMAL, _BACKGROUND = _CLASSES


class _Harness:
    """Scheduler with counted slots that checks every hand-out."""

    def __init__(
        self,
        slots: int = 1,
        length: int = 3,
        shared: int = 100,
        service_time: timedelta = _SECOND,
    ):
        self.clock = ManualClock()
        self.slots = {_ORDER: slots, _CATALOGUE: slots}
        self.shared = shared
        self.running: dict[RequestId, ServiceId] = {}
        self.ends: Counter[RequestId] = Counter()
        self.log: list[tuple[str, str]] = []
        self.queues = {
            service: AdmissionQueue(length, service_time)
            for service in self.slots
        }
        for queue in self.queues.values():
            queue.update_slots(slots)
        self.scheduler = AdmissionScheduler(
            self.queues, self._reserve, self.clock
        )
        self._count = 0

    def submit(
        self,
        traffic_class: TrafficClass = _NORMAL,
        service: ServiceId = _ORDER,
        time_left: timedelta = _PATIENCE,
    ) -> RequestId:
        self._count += 1
        request_id = RequestId(f'r{self._count}')
        deadline = self.clock.monotonic() + time_left
        request = QueuedRequest(request_id, service, traffic_class, deadline)
        self.note(self.scheduler.submit(request))
        return request_id

    def release(self, request_id: RequestId) -> None:
        self.running.pop(request_id)
        self.note(self.scheduler.start_waiting())

    def cancel(self, request_id: RequestId) -> bool:
        cancelled = any(
            self.scheduler.cancel(service, request_id) for service in self.slots
        )
        self.ends[request_id] += cancelled
        return cancelled

    def note(self, ended: Iterable[Admission[RequestId]]) -> None:
        for end in ended:
            request_id = end.request.request_id
            self.ends[request_id] += 1
            if isinstance(end, Started):
                self.log.append((request_id, 'started'))
            else:
                self.log.append((request_id, end.reason.value))

    def _reserve(self, request: QueuedRequest) -> RequestId | None:
        used = Counter(self.running.values())
        if used[request.service] >= self.slots[request.service]:
            return None
        if len(self.running) >= self.shared:
            return None
        assert request.request_id not in self.running
        self.running[request.request_id] = request.service
        return request.request_id


class AdmissionSchedulerTest(unittest.TestCase):
    """Guards against lost slots, wrong order and late refusals."""

    def test_freed_slot_goes_to_highest_class(self) -> None:
        """A free slot that stays unused, or that goes to a lower class."""
        harness = _Harness()
        first = harness.submit()
        harness.submit(_BACKGROUND)
        harness.submit(_NORMAL)
        harness.submit(_CRITICAL)
        harness.release(first)
        harness.release(RequestId('r4'))
        harness.release(RequestId('r3'))
        started = [name for name, end in harness.log if end == 'started']
        self.assertEqual(started, ['r1', 'r4', 'r3', 'r2'])

    def test_full_service_does_not_block_another(self) -> None:
        """Head-of-line blocking between services in one class."""
        harness = _Harness(shared=1)
        first = harness.submit(service=_CATALOGUE)
        harness.submit(service=_ORDER)
        harness.submit(service=_CATALOGUE)
        harness.slots[_ORDER] = 0
        harness.release(first)
        self.assertEqual(harness.log[-1], ('r3', 'started'))

    def test_no_overtaking(self) -> None:
        """A new request takes the slot that was freed for a waiting one."""
        harness = _Harness()
        first = harness.submit()
        harness.submit()
        harness.running.pop(first)
        harness.submit()
        self.assertEqual(harness.log[1:], [])
        harness.note(harness.scheduler.start_waiting())
        self.assertEqual(harness.log[1:], [('r2', 'started')])

    def test_refusals(self) -> None:
        """A refusal later than possible, or of the wrong request."""
        cases = (
            ('wait', 3, ((_NORMAL, 9), (_NORMAL, 1)), 'r3', 'wait too long'),
            ('full', 1, ((_NORMAL, 9), (_NORMAL, 9)), 'r3', 'queue full'),
            ('displaced', 1, ((_NORMAL, 9), (_CRITICAL, 9)), 'r2', 'displaced'),
            ('same', 1, ((_CRITICAL, 9), (_CRITICAL, 9)), 'r3', 'queue full'),
            (
                'newest of the lowest',
                3,
                ((_NORMAL, 9), (_BACKGROUND, 9), (_BACKGROUND, 9))
                + ((_CRITICAL, 9),),
                'r4',
                'displaced',
            ),
        )
        for name, length, arrivals, request_id, reason in cases:
            with self.subTest(name):
                harness = _Harness(length=length)
                harness.submit()
                for traffic_class, seconds in arrivals:
                    harness.submit(traffic_class, time_left=seconds * _SECOND)
                self.assertEqual(harness.log[1:], [(request_id, reason)])

    def test_no_slots(self) -> None:
        """A request that waits for a service without any slot."""
        harness = _Harness(slots=0)
        harness.submit()
        self.assertEqual(harness.log, [('r1', 'no slots')])

    def test_deadline_of_waiting_request(self) -> None:
        """A waiting request that is kept or started after its deadline."""
        harness = _Harness()
        first = harness.submit()
        harness.submit(time_left=2 * _SECOND)
        expiry = harness.scheduler.next_expiry()
        self.assertEqual(expiry, harness.clock.monotonic() + 2 * _SECOND)
        harness.clock.advance(2 * _SECOND)
        harness.release(first)
        self.assertEqual(harness.log[1:], [('r2', 'deadline passed')])
        self.assertIsNone(harness.scheduler.next_expiry())

    def test_replaced_queue(self) -> None:
        """Requests that vanish when a service's limits change."""
        harness = _Harness()
        first = harness.submit()
        for traffic_class in (_BACKGROUND, _NORMAL, _CRITICAL):
            harness.submit(traffic_class)
        queues = {**harness.queues, _ORDER: AdmissionQueue(2, _SECOND)}
        queues[_ORDER].update_slots(1)
        harness.note(harness.scheduler.replace_queues(queues))
        self.assertEqual(harness.log[1:], [('r2', 'queue full')])
        harness.release(first)
        harness.release(RequestId('r4'))
        self.assertEqual(
            harness.log[2:], [('r4', 'started'), ('r3', 'started')]
        )

    def test_removed_service(self) -> None:
        """Requests that vanish with the service they wait for."""
        harness = _Harness()
        harness.submit()
        harness.submit()
        kept = {_CATALOGUE: harness.queues[_CATALOGUE]}
        refused = harness.scheduler.replace_queues(kept)
        self.assertEqual(
            [(end.request.request_id, end.reason) for end in refused],
            [('r2', ShedReason.NO_SLOTS)],
        )
        self.assertIsInstance(refused[0], Refused)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(st.data())
    def test_every_request_ends_once(self, script: st.DataObject) -> None:
        """A request that is lost, started twice or refused after a start."""
        harness = _Harness(
            slots=script.draw(st.integers(0, 3)),
            shared=script.draw(st.integers(1, 4)),
        )
        submitted: list[RequestId] = []
        for _ in range(script.draw(st.integers(1, 40))):
            self._step(script, harness, submitted)
        for _ in submitted:
            for request_id in tuple(harness.running):
                harness.release(request_id)
        harness.clock.advance(100 * _SECOND)
        harness.note(harness.scheduler.expire())
        self.assertEqual(harness.ends, Counter(submitted))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(st.lists(st.sampled_from((_ORDER, _CATALOGUE)), max_size=12))
    def test_no_starvation(self, services: list[ServiceId]) -> None:
        """A request overtaken by a later one of its service and class."""
        harness = _Harness(length=20, service_time=_SECOND / 100)
        for service in services:
            harness.submit(service=service)
        for _ in services:
            harness.release(next(iter(harness.running)))
        self.assertEqual(set(harness.ends.values()) - {1}, set())
        started = [name for name, _ in harness.log]
        for service in harness.slots:
            numbers = [
                int(name[1:])
                for name in started
                if services[int(name[1:]) - 1] is service
            ]
            self.assertEqual(numbers, sorted(numbers))

    def _step(
        self,
        script: st.DataObject,
        harness: _Harness,
        submitted: list[RequestId],
    ) -> None:
        action = script.draw(st.sampled_from('ssrct'))
        if action == 's':
            submitted.append(
                harness.submit(
                    script.draw(st.sampled_from(_CLASSES)),
                    script.draw(st.sampled_from((_ORDER, _CATALOGUE))),
                    script.draw(st.integers(0, 6)) * _SECOND,
                )
            )
        elif action == 'r' and harness.running:
            harness.release(
                script.draw(st.sampled_from(tuple(harness.running)))
            )
        elif action == 'c' and submitted:
            harness.cancel(script.draw(st.sampled_from(submitted)))
        else:
            harness.clock.advance(_SECOND)
