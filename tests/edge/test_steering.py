"""Guards how one request ends under each kind of target failure."""

import unittest
from datetime import timedelta

from plantainstand_http import BodyStream, StreamSource, TargetResponse
from result import Ok

from tests.edge.builders import (
    ANSWERED,
    BROKEN,
    FAILED,
    MISDIRECTED,
    NOT_SENT,
    REJECTED,
    TIMED_OUT,
    Outcome,
    SteeringFixture,
)

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class SendTimeTests(unittest.IsolatedAsyncioTestCase):
    """Limits on windows of time hold for requests as they leave."""

    async def test_slow_connection(self) -> None:
        """Guards against two seconds' requests that leave in one."""
        fixture = SteeringFixture(ANSWERED, targets=1)
        fixture.pool.connect_time = timedelta(milliseconds=350)
        decided_at = fixture.clock.monotonic()
        await fixture.steering.handle(fixture.request())
        sends = fixture.target_table.states[0].sends
        self.assertEqual(sends.count(decided_at), 1)
        left_at = decided_at + fixture.pool.connect_time
        self.assertEqual(sends.time_of_last(1), left_at)

    async def test_vm_that_stood_still(self) -> None:
        """A decision from before a pause is not carried out after it."""
        fixture = SteeringFixture(ANSWERED, targets=1)
        fixture.pool.connect_time = timedelta(milliseconds=900)
        response = await fixture.steering.handle(fixture.request())
        self.assertEqual(response.status, 503)
        self.assertEqual(fixture.pool.sent, [])


class AttemptTests(unittest.IsolatedAsyncioTestCase):
    """Which failures are retried, and which status the client receives."""

    async def test_retries_of_idempotent_requests(self) -> None:
        """Any failure but a timeout is followed by one more attempt."""
        cases: tuple[tuple[tuple[Outcome, ...], int], ...] = (
            ((ANSWERED,), 200),
            ((NOT_SENT, ANSWERED), 200),
            ((REJECTED, ANSWERED), 200),
            ((MISDIRECTED, ANSWERED), 200),
            ((BROKEN, ANSWERED), 200),
            ((FAILED, ANSWERED), 200),
            ((FAILED, FAILED), 500),
            ((FAILED, REJECTED), 500),
            ((BROKEN, BROKEN), 502),
            ((BROKEN, REJECTED), 502),
            ((REJECTED, REJECTED), 503),
            ((TIMED_OUT,), 504),
        )
        for outcomes, status in cases:
            with self.subTest(outcomes=outcomes):
                fixture = SteeringFixture(*outcomes)
                response = await fixture.steering.handle(fixture.request())
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), len(outcomes))

    async def test_retries_of_other_requests(self) -> None:
        """A request is sent again only if it certainly did not run."""
        cases: tuple[tuple[tuple[Outcome, ...], int], ...] = (
            ((NOT_SENT, ANSWERED), 200),
            ((REJECTED, ANSWERED), 200),
            ((MISDIRECTED, ANSWERED), 200),
            ((NOT_SENT, NOT_SENT, NOT_SENT), 503),
            ((REJECTED, REJECTED), 503),
            ((BROKEN,), 502),
            ((FAILED,), 500),
            ((TIMED_OUT,), 504),
            ((REJECTED, BROKEN), 502),
            ((REJECTED, TIMED_OUT), 504),
        )
        for outcomes, status in cases:
            with self.subTest(outcomes=outcomes):
                fixture = SteeringFixture(*outcomes, idempotent=False)
                response = await fixture.steering.handle(fixture.request())
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), len(outcomes))

    async def test_not_run_is_never_claimed_after_a_possible_run(self) -> None:
        """A status that means "not run" must not follow a possible run."""
        for last in (BROKEN, TIMED_OUT, FAILED):
            for idempotent in (True, False):
                fixture = SteeringFixture(last, BROKEN, idempotent=idempotent)
                response = await fixture.steering.handle(fixture.request())
                self.assertNotIn(response.status, _NOT_RUN_STATUSES)

    async def test_attempts_are_bounded(self) -> None:
        """No more attempts are made than the route allows."""
        fixture = SteeringFixture(REJECTED, REJECTED, REJECTED, max_attempts=2)
        await fixture.steering.handle(fixture.request())
        self.assertEqual(len(fixture.pool.sent), 2)
        self.assertEqual(len(set(fixture.pool.sent)), 2)

    async def test_large_rejection_is_read_and_closed(self) -> None:
        """A rejection with a large body must not stay counted in flight."""
        stream = BodyStream(StreamSource(_ignore, _ignore, _ignore))
        stream.feed(b'refused')
        stream.finish()
        ends: list[bool] = []
        stream.when_closed(lambda end: ends.append(end.is_ok()))
        rejection = TargetResponse(200, ((b'not-run', b'1'),), b'', stream)
        fixture = SteeringFixture(Ok(rejection), max_attempts=1, targets=1)
        response = await fixture.steering.handle(fixture.request())
        self.assertEqual(response.status, 503)
        self.assertEqual(ends, [True])
        self.assertEqual(fixture.target_table.states[0].in_flight, 0)

    async def test_no_request_stays_in_flight(self) -> None:
        """After any outcome the target has no request in flight."""
        for outcome in (ANSWERED, BROKEN, REJECTED, TIMED_OUT, NOT_SENT):
            fixture = SteeringFixture(outcome, max_attempts=1, targets=1)
            await fixture.steering.handle(fixture.request())
            self.assertEqual(fixture.target_table.states[0].in_flight, 0)


class RefusalTests(unittest.IsolatedAsyncioTestCase):
    """Requests that are rejected, and their Retry-After."""

    async def test_no_target(self) -> None:
        """A request without a target is rejected with Retry-After."""
        fixture = SteeringFixture(targets=0)
        response = await fixture.steering.handle(fixture.request())
        self.assertEqual(response.status, 503)
        self.assertIn(b'retry-after', dict(response.headers))

    async def test_rejected_while_others_have_capacity(self) -> None:
        """Retry-After is short while other targets have capacity."""
        for targets, is_short in ((3, True), (1, False)):
            with self.subTest(targets=targets):
                fixture = SteeringFixture(REJECTED, REJECTED, targets=targets)
                response = await fixture.steering.handle(fixture.request())
                pause = dict(response.headers)[b'retry-after']
                self.assertEqual(pause == b'0.02', is_short)

    async def test_unknown_route(self) -> None:
        """A missing route is 404 only once the desired state is known."""
        for routes, status in ((True, 404), (False, 503)):
            with self.subTest(routes=routes):
                fixture = SteeringFixture(routes=routes)
                request = fixture.request('/none/')
                response = await fixture.steering.handle(request)
                self.assertEqual(response.status, status)

    async def test_time_left_is_bounded_by_the_route(self) -> None:
        """An attempt's timeout never exceeds that of the route."""
        fixture = SteeringFixture(ANSWERED)
        await fixture.steering.handle(fixture.request())
        self.assertLessEqual(fixture.pool.timeouts[0].total_seconds(), 1)


def _ignore() -> None:
    """Ignore a request to pause, resume or abort the source."""
