"""Guards the responses and log lines of a VM that stops under load."""

import asyncio
import unittest
from datetime import timedelta
from unittest.mock import Mock, patch

from plantainstand_http import Request

from tests.edge.builders import ANSWERED, Outcome, SteeringFixture

_DEADLINE_SECONDS = 5
_REQUEST_LOG = 'plantainstand_edge._request_log._log'


class _HangingPool:
    """Never returns an outcome; tells when a request has been sent."""

    def __init__(self) -> None:
        self.sent = asyncio.Event()

    async def exchange(
        self, *_arguments: object, **_options: object
    ) -> Outcome:
        """Wait until cancelled."""
        self.sent.set()
        never: asyncio.Future[Outcome]
        never = asyncio.get_running_loop().create_future()
        return await never

    def close_idle(self, _address: str) -> None:
        """See ``TargetConnectionPool.close_idle``."""


def _hanging_fixture(
    *, idempotent: bool
) -> tuple[SteeringFixture, _HangingPool]:
    pool = _HangingPool()
    fixture = SteeringFixture(idempotent=idempotent, pool=pool)
    return fixture, pool


class StoppingTests(unittest.IsolatedAsyncioTestCase):
    """The route's timeout is one second."""

    async def test_request_without_enough_time(self) -> None:
        """A request that may outlast the process is rejected, not run."""
        for left_ms, status in ((1200, 200), (900, 503)):
            with self.subTest(left_ms=left_ms):
                fixture = SteeringFixture(ANSWERED)
                _begin_stop(fixture, left_ms)
                response = await fixture.steering.handle(fixture.request())
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), status == 200)

    async def test_late_request_of_a_quick_route(self) -> None:
        """Guards against requests that are taken late and cut at the exit.

        All earlier answers were quick, but a target may turn slow. Experience
        suffices for a request that may repeat, until clients have had notice.
        """
        cases = (
            ('may repeat', True, 100, 200),
            ('may repeat, after the notice', True, 0, 503),
            ('must not repeat', False, 100, 503),
            ('must not repeat, after the notice', False, 0, 503),
        )
        for name, idempotent, notice_ms, status in cases:
            with self.subTest(name):
                fixture = SteeringFixture(
                    ANSWERED, ANSWERED, idempotent=idempotent
                )
                await fixture.steering.handle(fixture.request())
                _begin_stop(fixture, 500, notice_ms)
                response = await fixture.steering.handle(fixture.request())
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), 1 + (status == 200))

    async def test_response_before_the_exit(self) -> None:
        """Requests in flight must not end with a closed connection.

        Their targets may run them, so "not run" must not be claimed.
        """
        for idempotent in (True, False):
            with (
                self.subTest(idempotent=idempotent),
                patch(_REQUEST_LOG) as log,
            ):
                fixture, pool = _hanging_fixture(idempotent=idempotent)
                handling = asyncio.create_task(
                    fixture.steering.handle(fixture.request())
                )
                async with asyncio.timeout(_DEADLINE_SECONDS):
                    await pool.sent.wait()
                    _begin_stop(fixture, 20)
                    response = await handling
                self.assertEqual(response.status, 504)
                line = _request_line(log)
                self.assertEqual(line['outcome'], 'process ends')
                self.assertEqual((line['sends'], line['maybe_ran']), (1, True))

    async def test_line_of_a_client_that_left(self) -> None:
        """The line must not deny a send that has reached a target."""
        with patch(_REQUEST_LOG) as log:
            fixture, pool = _hanging_fixture(idempotent=True)
            request: Request = fixture.request()
            handling = asyncio.create_task(fixture.steering.handle(request))
            async with asyncio.timeout(_DEADLINE_SECONDS):
                await pool.sent.wait()
                handling.cancel()
                with self.assertRaises(asyncio.CancelledError):
                    await handling
        line = _request_line(log)
        self.assertEqual(line['outcome'], 'client left')
        self.assertEqual((line['sends'], line['maybe_ran']), (1, True))


def _begin_stop(
    fixture: SteeringFixture, left_ms: int, notice_ms: int = 0
) -> None:
    now = fixture.clock.monotonic()
    fixture.steering.begin_stop(
        now + timedelta(milliseconds=notice_ms),
        now + timedelta(milliseconds=left_ms),
    )


def _request_line(log: Mock) -> dict[str, object]:
    log.info.assert_called_once()
    return dict(log.info.call_args.kwargs)
