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

    async def exchange(self, *_arguments: object, **_options: bool) -> Outcome:
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
                left = timedelta(milliseconds=left_ms)
                fixture.steering.begin_stop(fixture.clock.monotonic() + left)
                response = await fixture.steering.handle(fixture.request())
                self.assertEqual(response.status, status)
                self.assertEqual(len(fixture.pool.sent), status == 200)

    async def test_quick_route_is_served_longer(self) -> None:
        """Experience with a route counts more than its timeout."""
        fixture = SteeringFixture(ANSWERED, ANSWERED)
        await fixture.steering.handle(fixture.request())
        left = timedelta(milliseconds=500)
        fixture.steering.begin_stop(fixture.clock.monotonic() + left)
        response = await fixture.steering.handle(fixture.request())
        self.assertEqual(response.status, 200)

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
                    fixture.steering.begin_stop(
                        fixture.clock.monotonic() + timedelta(milliseconds=20)
                    )
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


def _request_line(log: Mock) -> dict[str, object]:
    log.info.assert_called_once()
    return dict(log.info.call_args.kwargs)
