"""Slots, refusals and cancellation of the stand-in for a target."""

import io
import unittest
from collections.abc import Callable
from datetime import timedelta

import msgspec
from plantainstand_bench._journal import JournalEvent, JournalWriter
from plantainstand_bench._target_settings import TargetFaults, TargetSettings
from plantainstand_bench._target_work import (
    Refusal,
    TargetWork,
    Ticket,
    WorkState,
)
from plantainstand_core import ManualClock, RequestId, TargetId
from result import Err, Ok

_LONG = timedelta(seconds=10)

# Name, preparation, deadline in seconds, expected refusal.
_REFUSALS: tuple[
    tuple[str, Callable[[TargetWork], object], int, Refusal | None],
    ...,
] = (
    ('free slots', lambda work: None, 10, None),
    (
        'draining',
        lambda work: work.replace_faults(TargetFaults(draining=True)),
        10,
        Refusal.DRAINING,
    ),
    (
        'shed limit of a fault',
        lambda work: work.replace_faults(TargetFaults(shed_limit=0)),
        10,
        Refusal.SHED,
    ),
    ('deadline passed', lambda work: None, 0, Refusal.DEADLINE),
    (
        'cancelled before it arrived',
        lambda work: work.cancel(RequestId('new')),
        10,
        Refusal.CANCELLED,
    ),
)


class TargetWorkTest(unittest.TestCase):
    """Guards against a stand-in that hides overruns or runs refused work."""

    def setUp(self) -> None:
        """Make a target with two slots that sheds at three requests."""
        self._stream = io.StringIO()
        self._clock = ManualClock()
        self._work = self._new_work()

    def test_refusals(self) -> None:
        """Work is refused for each reason, and journalled as refused."""
        for name, prepare, seconds, refusal in _REFUSALS:
            with self.subTest(name):
                work = self._new_work()
                prepare(work)
                deadline = self._clock.monotonic() + timedelta(seconds=seconds)
                outcome = work.accept(RequestId('new'), deadline)
                if refusal is None:
                    self.assertIsInstance(outcome, Ok)
                else:
                    self.assertEqual(outcome, Err(refusal))
                    self.assertEqual(self._events()[-1].detail, refusal.value)

    def test_overrun_is_journalled_and_shed(self) -> None:
        """The third request waits as an overrun; the fourth is shed."""
        tickets = [self._accept(name) for name in ('a', 'b', 'c')]
        self.assertEqual(tickets[-1].state, WorkState.WAITING)
        self.assertEqual(
            self._work.accept(RequestId('d'), self._deadline()),
            Err(Refusal.SHED),
        )
        self.assertEqual(
            [event.event.value for event in self._events()],
            ['boot', 'start', 'start', 'queue', 'refuse'],
        )
        self.assertEqual(self._events()[3].in_use, 3)

    def test_waiting_work_starts_in_order(self) -> None:
        """A freed slot goes to waiting work."""
        first, _second, third = (self._accept(name) for name in 'abc')
        self._work.finish(first, 'done')
        self.assertEqual(third.state, WorkState.RUNNING)
        self.assertEqual(self._work.wait_for_slot(third), Ok(None))

    def test_waiting_work_past_its_deadline(self) -> None:
        """Work that waited too long is refused and never starts."""
        waiting = [self._accept(name) for name in 'abc'][-1]
        self._clock.advance(_LONG)
        outcome = self._work.wait_for_slot(waiting)
        self.assertEqual(outcome, Err(Refusal.DEADLINE))
        self.assertEqual(self._work.in_use, 2)

    def test_cancel(self) -> None:
        """Only work that has not started is cancelled."""
        running, _second, waiting = (self._accept(name) for name in 'abc')
        cancel = self._work.cancel
        self.assertEqual(cancel(RequestId('a')), WorkState.RUNNING)
        self.assertEqual(cancel(RequestId('c')), WorkState.CANCELLED)
        self.assertEqual(
            self._work.wait_for_slot(waiting),
            Err(Refusal.CANCELLED),
        )
        self._work.finish(running, 'done')
        self.assertEqual(cancel(RequestId('a')), WorkState.DONE)
        self.assertEqual(self._work.in_use, 1)

    def _new_work(self) -> TargetWork:
        settings = TargetSettings(id=TargetId('t'), slots=2, shed_limit=3)
        return TargetWork(settings, self._clock, JournalWriter(self._stream))

    def _accept(self, name: str) -> Ticket:
        return self._work.accept(RequestId(name), self._deadline()).unwrap()

    def _deadline(self) -> timedelta:
        return self._clock.monotonic() + _LONG

    def _events(self) -> list[JournalEvent]:
        decoder = msgspec.json.Decoder(JournalEvent)
        return decoder.decode_lines(self._stream.getvalue())
