"""Use and release of slots by the local dispatcher."""

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

_NO_EXCLUSIONS = frozenset[Any]()
_IMMEDIATELY = timedelta(0)
_ALLOWANCE = timedelta(seconds=1)
_DEADLINE = timedelta(seconds=1)
_AFTER_DEADLINE = _DEADLINE + _ALLOWANCE
_ANSWERED = DispatchOutcome.ANSWERED
_UNKNOWN = DispatchOutcome.UNKNOWN
_UNREACHABLE = DispatchOutcome.UNREACHABLE

# Whether the service is idempotent, the state that the target reports for the
# cancelled request, the expected outcome, and when the slot is released.
_UNKNOWN_CASES = (
    (True, '', _UNKNOWN, _AFTER_DEADLINE),
    (True, 'waiting', _UNKNOWN, _AFTER_DEADLINE),
    (True, 'running', _UNKNOWN, _AFTER_DEADLINE),
    # The state may be that of another attempt at the same request.
    (True, 'done', _UNKNOWN, _AFTER_DEADLINE),
    (True, 'cancelled', _UNKNOWN, _AFTER_DEADLINE),
    (False, '', _UNKNOWN, _AFTER_DEADLINE),
    (False, 'waiting', _UNKNOWN, _AFTER_DEADLINE),
    (False, 'running', _UNKNOWN, _AFTER_DEADLINE),
    (False, 'done', _UNKNOWN, _IMMEDIATELY),
    (False, 'cancelled', _UNREACHABLE, _IMMEDIATELY),
)


def _loop() -> SimulatedLoop:
    return cast(SimulatedLoop, asyncio.get_running_loop())


async def _run_pending() -> None:
    """Run all callbacks that are ready without advancing the clock."""
    await asyncio.gather(*(asyncio.sleep(0) for _step in range(10)))


async def _run_with_lost_answer(
    idempotent: bool, state: str
) -> tuple[DispatchFixture, LocalReport]:
    fixture = DispatchFixture(_loop(), idempotent=idempotent)
    fixture.client.lost_paths.add('/lost')
    fixture.client.cancel_state = state
    lost = fixture.request('/lost', _DEADLINE.total_seconds())
    report = await fixture.local.run(lost)
    await fixture.local.run(fixture.request('/next'))
    return fixture, report


def _simulated(
    function: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    def test(case: Any) -> None:
        run_simulated(function(case))

    test.__doc__ = function.__doc__
    return test


class UnknownOutcomeTest(unittest.TestCase):
    """Guards against overloading a target after a lost answer."""

    def test_slot_release_after_unknown_outcome(self) -> None:
        """The slot is released once the target can no longer work."""
        for idempotent, state, expected, released_after in _UNKNOWN_CASES:
            with self.subTest(idempotent=idempotent, state=state):
                fixture, report = run_simulated(
                    _run_with_lost_answer(idempotent, state)
                )
                self.assertIs(report.outcome, expected)
                self.assertAlmostEqual(
                    fixture.client.sent_at['/next'],
                    released_after,
                    delta=timedelta(milliseconds=1),
                )
                self.assertEqual(fixture.slots_in_use, 0)

    @_simulated
    async def test_cancelled_attempt(self) -> None:
        """A cancelled attempt keeps its slot until its call has ended."""
        executor = ManualExecutor()
        fixture = DispatchFixture(_loop(), executor=executor)
        fixture.client.cancel_state = 'cancelled'
        attempt = asyncio.ensure_future(
            fixture.local.run(fixture.request('/a'))
        )
        await _run_pending()
        attempt.cancel()
        await _run_pending()
        self.assertEqual(fixture.slots_in_use, 1)
        executor.run_next()
        await _run_pending()
        self.assertEqual(fixture.slots_in_use, 0)


class WaitingTest(unittest.TestCase):
    """Guards against slots that leak when a waiting request is cancelled."""

    @_simulated
    async def test_cancelled_while_waiting(self) -> None:
        """The next request gets the slot that a cancelled one waited for."""
        await self._expect_next_gets_slot(cancel_first=True)

    @_simulated
    async def test_cancelled_when_slot_becomes_free(self) -> None:
        """Also if the cancelled request was granted the slot just before."""
        await self._expect_next_gets_slot(cancel_first=False)

    @_simulated
    async def test_requests_start_in_arrival_order(self) -> None:
        """Requests start in the order of their arrival."""
        fixture = DispatchFixture(_loop())
        paths = ('/a', '/b', '/c', '/d')
        await asyncio.gather(
            *(fixture.local.run(fixture.request(path)) for path in paths),
        )
        self.assertEqual(tuple(fixture.client.sent_at), paths)

    async def _expect_next_gets_slot(self, *, cancel_first: bool) -> None:
        fixture = DispatchFixture(_loop())
        running, cancelled, following = (
            asyncio.ensure_future(
                fixture.admission.admit(fixture.request(path), _NO_EXCLUSIONS),
            )
            for path in ('/held', '/given-up', '/following')
        )
        await _run_pending()
        if cancel_first:
            cancelled.cancel()
            await _run_pending()
        fixture.admission.release(_grant(running), AttemptResult.ANSWERED)
        cancelled.cancel()
        await _run_pending()
        self.assertTrue(cancelled.cancelled())
        self.assertEqual(fixture.slots_in_use, 1)
        fixture.admission.release(_grant(following), AttemptResult.ANSWERED)
        self.assertEqual(
            (fixture.slots_in_use, fixture.admission.waiting), (0, 0)
        )


def _grant(task: asyncio.Future[Any]) -> Grant:
    return cast(Grant, task.result())


class AuthorityTest(unittest.TestCase):
    """Guards against work under shares that other VMs may already own."""

    @_simulated
    async def test_lost_before_sending(self) -> None:
        """A VM that lost authority after admission sends nothing."""
        executor = ManualExecutor()
        fixture = DispatchFixture(
            _loop(),
            vms=('bajio-a-1', 'bajio-a-2'),
            executor=executor,
        )
        attempt = asyncio.ensure_future(
            fixture.local.run(fixture.request('/a'))
        )
        await asyncio.sleep(3.1)
        executor.run_next()
        self.assertIs((await attempt).outcome, _UNREACHABLE)
        self.assertEqual((fixture.client.sent, fixture.slots_in_use), ([], 0))

    @_simulated
    async def test_lost_while_waiting(self) -> None:
        """A slot that is released without authority admits no request."""
        executor = ManualExecutor()
        fixture = DispatchFixture(
            _loop(),
            vms=('bajio-a-1', 'bajio-a-2'),
            executor=executor,
        )
        attempts = [
            asyncio.ensure_future(fixture.local.run(fixture.request(path, 5)))
            for path in ('/a', '/b')
        ]
        await asyncio.sleep(3.1)
        executor.run_next()
        await attempts[0]
        self.assertEqual(
            (fixture.slots_in_use, fixture.admission.waiting), (0, 1)
        )
        await asyncio.sleep(5)
        fixture.admission.refresh()
        self.assertIs((await attempts[1]).outcome, DispatchOutcome.REFUSED)
        self.assertEqual(fixture.client.sent, [])

    @_simulated
    async def test_lost_before_admission(self) -> None:
        """A request that arrives without authority is refused."""
        fixture = DispatchFixture(_loop(), vms=('bajio-a-1', 'bajio-a-2'))
        await asyncio.sleep(3.1)
        attempt = asyncio.ensure_future(
            fixture.local.run(fixture.request('/a', 1))
        )
        await asyncio.sleep(1)
        fixture.admission.refresh()
        self.assertIs((await attempt).outcome, DispatchOutcome.REFUSED)
        self.assertEqual(fixture.client.sent, [])

    @_simulated
    async def test_deadline_passed(self) -> None:
        """Nothing is sent after the request's deadline."""
        executor = ManualExecutor()
        fixture = DispatchFixture(_loop(), executor=executor)
        attempt = asyncio.ensure_future(
            fixture.local.run(fixture.request('/a', 1))
        )
        await asyncio.sleep(1)
        executor.run_next()
        self.assertIs((await attempt).outcome, _UNREACHABLE)
        self.assertEqual(fixture.client.sent, [])


class SameIdTest(unittest.TestCase):
    """Guards against mixing up two requests with the same id."""

    @_simulated
    async def test_each_request_gets_its_own_answer(self) -> None:
        """Each request gets its own answer, with and without waiting."""
        for targets in (1, 2):
            fixture = DispatchFixture(_loop(), targets=targets)
            paths = ('/a', '/b')
            reports = await asyncio.gather(
                *(
                    fixture.local.run(fixture.request(path, request_id='r'))
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
    async def test_cancel_leaves_other_request_waiting(self) -> None:
        """Cancelling one waiting request leaves the other in the queue."""
        fixture = DispatchFixture(_loop())
        running, first, second = (
            asyncio.ensure_future(
                fixture.admission.admit(
                    fixture.request('/', request_id='r'),
                    _NO_EXCLUSIONS,
                ),
            )
            for _number in range(3)
        )
        await _run_pending()
        first.cancel()
        await _run_pending()
        fixture.admission.release(_grant(running), AttemptResult.ANSWERED)
        await _run_pending()
        self.assertTrue(_grant(second).reservation.open)
        self.assertEqual(fixture.slots_in_use, 1)
