"""A slot stays taken as long as its target may still work."""

import asyncio
import unittest
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any, cast

from plantainstand_daemon._admission import Grant
from plantainstand_daemon._dispatch import DispatchOutcome
from plantainstand_daemon._local import LocalReport
from plantainstand_steering import AttemptResult

from tests.consensus.simulated_loop import SimulatedLoop, run_simulated
from tests.daemon.dispatching import DispatchFixture, ManualExecutor

_NONE = frozenset[Any]()
_AT_ONCE = timedelta(0)
_ALLOWANCE = timedelta(seconds=1)
_DEADLINE = timedelta(seconds=1)
_HELD = _DEADLINE + _ALLOWANCE
_ANSWERED = DispatchOutcome.ANSWERED
_UNKNOWN = DispatchOutcome.UNKNOWN
_UNREACHABLE = DispatchOutcome.UNREACHABLE

# Idempotent, the target's word about a cancellation, what the caller's side
# learns, and when the slot is free again.
_UNKNOWN_CASES = (
    (True, '', _UNKNOWN, _HELD),
    (True, 'waiting', _UNKNOWN, _HELD),
    (True, 'running', _UNKNOWN, _HELD),
    # The word may be about another attempt of the same request.
    (True, 'done', _UNKNOWN, _HELD),
    (True, 'cancelled', _UNKNOWN, _HELD),
    (False, '', _UNKNOWN, _HELD),
    (False, 'waiting', _UNKNOWN, _HELD),
    (False, 'running', _UNKNOWN, _HELD),
    (False, 'done', _UNKNOWN, _AT_ONCE),
    (False, 'cancelled', _UNREACHABLE, _AT_ONCE),
)


def _loop() -> SimulatedLoop:
    return cast(SimulatedLoop, asyncio.get_running_loop())


async def _turns() -> None:
    """Let everything run that needs no time to pass."""
    await asyncio.gather(*(asyncio.sleep(0) for _turn in range(10)))


async def _lose_one(
    idempotent: bool, state: str
) -> tuple[DispatchFixture, LocalReport]:
    bench = DispatchFixture(_loop(), idempotent=idempotent)
    bench.client.lost_paths.add('/lost')
    bench.client.cancel_state = state
    lost = bench.request('/lost', _DEADLINE.total_seconds())
    report = await bench.local.run(lost)
    await bench.local.run(bench.request('/next'))
    return bench, report


def _simulated(
    function: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    def test(case: Any) -> None:
        run_simulated(function(case))

    test.__doc__ = function.__doc__
    return test


class UnknownOutcomeTest(unittest.TestCase):
    """Guards against targets above their slots after lost answers."""

    def test_cases(self) -> None:
        """The slot is free when the target cannot work on it any more."""
        for idempotent, state, expected, free_at in _UNKNOWN_CASES:
            with self.subTest(idempotent=idempotent, state=state):
                bench, report = run_simulated(_lose_one(idempotent, state))
                self.assertIs(report.outcome, expected)
                self.assertAlmostEqual(
                    bench.client.sent_at['/next'],
                    free_at,
                    delta=timedelta(milliseconds=1),
                )
                self.assertEqual(bench.slots_in_use, 0)

    @_simulated
    async def test_cancelled_attempt(self) -> None:
        """A cancelled hedge keeps its slot until its call has ended."""
        executor = ManualExecutor()
        bench = DispatchFixture(_loop(), executor=executor)
        bench.client.cancel_state = 'cancelled'
        attempt = asyncio.ensure_future(bench.local.run(bench.request('/a')))
        await _turns()
        attempt.cancel()
        await _turns()
        self.assertEqual(bench.slots_in_use, 1)
        executor.run_next()
        await _turns()
        self.assertEqual(bench.slots_in_use, 0)


class WaitingTest(unittest.TestCase):
    """Guards against slots that get lost with the request they wait for."""

    @_simulated
    async def test_cancelled_while_waiting(self) -> None:
        """The next request gets the slot that a cancelled one waited for."""
        await self._hand_on(cancel_first=True)

    @_simulated
    async def test_cancelled_with_the_slot(self) -> None:
        """So it does when the slot came in the same moment."""
        await self._hand_on(cancel_first=False)

    @_simulated
    async def test_order(self) -> None:
        """Requests start in the order of their arrival."""
        bench = DispatchFixture(_loop())
        paths = ('/a', '/b', '/c', '/d')
        await asyncio.gather(
            *(bench.local.run(bench.request(path)) for path in paths),
        )
        self.assertEqual(tuple(bench.client.sent_at), paths)

    async def _hand_on(self, *, cancel_first: bool) -> None:
        bench = DispatchFixture(_loop())
        held, given_up, following = (
            asyncio.ensure_future(
                bench.admission.admit(bench.request(path), _NONE),
            )
            for path in ('/held', '/given-up', '/following')
        )
        await _turns()
        if cancel_first:
            given_up.cancel()
            await _turns()
        bench.admission.release(_grant(held), AttemptResult.ANSWERED)
        given_up.cancel()
        await _turns()
        self.assertTrue(given_up.cancelled())
        self.assertEqual(bench.slots_in_use, 1)
        bench.admission.release(_grant(following), AttemptResult.ANSWERED)
        self.assertEqual((bench.slots_in_use, bench.admission.waiting), (0, 0))


def _grant(task: asyncio.Future[Any]) -> Grant:
    return cast(Grant, task.result())


class AuthorityTest(unittest.TestCase):
    """Guards against work that starts under shares given to others."""

    @_simulated
    async def test_lost_before_sending(self) -> None:
        """A VM that was frozen after the decision sends nothing."""
        executor = ManualExecutor()
        bench = DispatchFixture(
            _loop(),
            vms=('bajio-a-1', 'bajio-a-2'),
            executor=executor,
        )
        attempt = asyncio.ensure_future(bench.local.run(bench.request('/a')))
        await asyncio.sleep(3.1)
        executor.run_next()
        self.assertIs((await attempt).outcome, _UNREACHABLE)
        self.assertEqual((bench.client.sent, bench.slots_in_use), ([], 0))

    @_simulated
    async def test_lost_while_waiting(self) -> None:
        """A slot that gets free without authority is given to nobody."""
        executor = ManualExecutor()
        bench = DispatchFixture(
            _loop(),
            vms=('bajio-a-1', 'bajio-a-2'),
            executor=executor,
        )
        attempts = [
            asyncio.ensure_future(bench.local.run(bench.request(path, 5)))
            for path in ('/a', '/b')
        ]
        await asyncio.sleep(3.1)
        executor.run_next()
        await attempts[0]
        self.assertEqual((bench.slots_in_use, bench.admission.waiting), (0, 1))
        await asyncio.sleep(5)
        bench.admission.refresh()
        self.assertIs((await attempts[1]).outcome, DispatchOutcome.REFUSED)
        self.assertEqual(bench.client.sent, [])

    @_simulated
    async def test_lost_before_the_decision(self) -> None:
        """A request that comes later gets no slot, and one that waits none."""
        bench = DispatchFixture(_loop(), vms=('bajio-a-1', 'bajio-a-2'))
        await asyncio.sleep(3.1)
        attempt = asyncio.ensure_future(bench.local.run(bench.request('/a', 1)))
        await asyncio.sleep(1)
        bench.admission.refresh()
        self.assertIs((await attempt).outcome, DispatchOutcome.REFUSED)
        self.assertEqual(bench.client.sent, [])

    @_simulated
    async def test_deadline_passed(self) -> None:
        """Nothing is sent after the caller has given up."""
        executor = ManualExecutor()
        bench = DispatchFixture(_loop(), executor=executor)
        attempt = asyncio.ensure_future(bench.local.run(bench.request('/a', 1)))
        await asyncio.sleep(1)
        executor.run_next()
        self.assertIs((await attempt).outcome, _UNREACHABLE)
        self.assertEqual(bench.client.sent, [])


class SameIdTest(unittest.TestCase):
    """Guards against mixing a request with its own resend."""

    @_simulated
    async def test_answers(self) -> None:
        """Each gets its own answer, in a slot or after a wait for one."""
        for targets in (1, 2):
            bench = DispatchFixture(_loop(), targets=targets)
            paths = ('/a', '/b')
            reports = await asyncio.gather(
                *(
                    bench.local.run(bench.request(path, request_id='r'))
                    for path in paths
                ),
            )
            bodies = [
                report.report.answer.body
                for report in reports
                if report.report.answer
            ]
            self.assertEqual(bodies, [b'/a', b'/b'])

    @_simulated
    async def test_cancel_one(self) -> None:
        """The end of one waiting request leaves the other in the queue."""
        bench = DispatchFixture(_loop())
        held, first, second = (
            asyncio.ensure_future(
                bench.admission.admit(
                    bench.request('/', request_id='r'),
                    _NONE,
                ),
            )
            for _number in range(3)
        )
        await _turns()
        first.cancel()
        await _turns()
        bench.admission.release(_grant(held), AttemptResult.ANSWERED)
        await _turns()
        self.assertTrue(_grant(second).reservation.open)
        self.assertEqual(bench.slots_in_use, 1)
