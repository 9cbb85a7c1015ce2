"""One request under every kind of failure of its targets."""

import unittest

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
    World,
)

_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AttemptTests(unittest.IsolatedAsyncioTestCase):
    """When a request is sent again, and what the client is told."""

    async def test_idempotent(self) -> None:
        """Any failure may be followed by one more attempt."""
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
                world = World(*outcomes)
                response = await world.steering.handle(world.request())
                self.assertEqual(response.status, status)
                self.assertEqual(len(world.pool.sent), len(outcomes))

    async def test_at_most_once(self) -> None:
        """Only a proof that it has not run allows another send."""
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
                world = World(*outcomes, idempotent=False)
                response = await world.steering.handle(world.request())
                self.assertEqual(response.status, status)
                self.assertEqual(len(world.pool.sent), len(outcomes))

    async def test_promise_is_true(self) -> None:
        """A status that promises "not run" follows no possible run."""
        for last in (BROKEN, TIMED_OUT, FAILED):
            for idempotent in (True, False):
                world = World(last, BROKEN, idempotent=idempotent)
                response = await world.steering.handle(world.request())
                self.assertNotIn(response.status, _NOT_RUN_STATUSES)

    async def test_attempts_are_bounded(self) -> None:
        """The route's attempts hold even if others would be allowed."""
        world = World(REJECTED, REJECTED, REJECTED, max_attempts=2)
        await world.steering.handle(world.request())
        self.assertEqual(len(world.pool.sent), 2)
        self.assertEqual(len(set(world.pool.sent)), 2)

    async def test_large_refusal_is_read_and_closed(self) -> None:
        """A target that refuses at length must not keep a slot taken."""
        stream = BodyStream(StreamSource(_nothing, _nothing, _nothing))
        stream.feed(b'refused')
        stream.finish()
        ends: list[bool] = []
        stream.when_closed(lambda end: ends.append(end.is_ok()))
        refusal = TargetResponse(200, ((b'not-run', b'1'),), b'', stream)
        world = World(Ok(refusal), max_attempts=1, targets=1)
        response = await world.steering.handle(world.request())
        self.assertEqual(response.status, 503)
        self.assertEqual(ends, [True])
        self.assertEqual(world.board.states[0].in_flight, 0)

    async def test_target_left_with_nothing_in_flight(self) -> None:
        """Every outcome releases the target."""
        for outcome in (ANSWERED, BROKEN, REJECTED, TIMED_OUT, NOT_SENT):
            world = World(outcome, max_attempts=1, targets=1)
            await world.steering.handle(world.request())
            self.assertEqual(world.board.states[0].in_flight, 0)


class RefusalTests(unittest.IsolatedAsyncioTestCase):
    """Requests that are not sent at all."""

    async def test_no_target(self) -> None:
        """The client is told when to come back."""
        world = World(targets=0)
        response = await world.steering.handle(world.request())
        self.assertEqual(response.status, 503)
        self.assertIn(b'retry-after', dict(response.headers))

    async def test_rejected_with_room(self) -> None:
        """A client comes back at once while other targets have room."""
        for targets, early in ((3, True), (1, False)):
            with self.subTest(targets=targets):
                world = World(REJECTED, REJECTED, targets=targets)
                response = await world.steering.handle(world.request())
                pause = dict(response.headers)[b'retry-after']
                self.assertEqual(pause == b'0.02', early)

    async def test_unknown_route(self) -> None:
        """Without any desired state, a missing route is no answer."""
        for routes, status in ((True, 404), (False, 503)):
            with self.subTest(routes=routes):
                world = World(routes=routes)
                request = world.request('/none/')
                response = await world.steering.handle(request)
                self.assertEqual(response.status, status)

    async def test_time_left_is_bounded_by_the_route(self) -> None:
        """A target never gets more time than the route allows."""
        world = World(ANSWERED)
        await world.steering.handle(world.request())
        self.assertLessEqual(world.pool.timeouts[0].total_seconds(), 1)


def _nothing() -> None:
    """Stand for a source that is not controlled."""
