"""A VM that is closing says no more about a request than it knows."""

import asyncio
import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from types import SimpleNamespace
from typing import cast

from plantainstand_core import RequestId, RequestOutcome, ServiceId
from plantainstand_daemon._activity import RequestTracker
from plantainstand_daemon._caller_api import ReplyResult
from plantainstand_daemon._caller_bridge import CallerBridge
from plantainstand_daemon._engine import Engine
from plantainstand_daemon._messages import Answer, Reply, SteeredRequest
from plantainstand_daemon._recorded import RecordedRequests
from result import Ok

from tests.consensus.simulated_loop import run_simulated
from tests.daemon.fakes import make_instruments

_ANSWERED = RequestOutcome.ANSWERED


class _Paths:
    """Both ways that a request can go; notes which one was taken."""

    def __init__(self) -> None:
        self.activity = RequestTracker()
        self.taken: list[tuple[str, int]] = []

    async def serve(self, service: str) -> ReplyResult:
        """Serve one request of the service on the event loop."""
        bridge = CallerBridge(
            cast(Engine, SimpleNamespace(steer=self._path('engine', _bare))),
            cast(
                RecordedRequests,
                SimpleNamespace(serve=self._path('records', _checked)),
            ),
            self.activity,
            lambda found: found == 'catalogue',
            asyncio.get_running_loop(),
            make_instruments(),
        )
        return await bridge._serve(_request(service))

    def _path(
        self,
        name: str,
        convert: Callable[[Reply], object],
    ) -> Callable[[SteeredRequest], Awaitable[object]]:
        async def serve(request: SteeredRequest) -> object:
            self.taken.append((name, self.activity.in_flight))
            return convert(Reply(_ANSWERED, Answer(200, (), b'')))

        return serve


def _bare(reply: Reply) -> Reply:
    return reply


def _checked(reply: Reply) -> ReplyResult:
    return Ok(reply)


def _request(service: str) -> SteeredRequest:
    return SteeredRequest(
        RequestId('r'),
        ServiceId(service),
        'POST',
        '/',
        (),
        b'',
        timedelta(hours=2),
    )


class CallerBridgeTest(unittest.TestCase):
    """Guards against a false "not run" for an id admitted elsewhere."""

    def test_paths(self) -> None:
        """Only requests that may not be repeated go through the log."""
        for service, path in (('catalogue', 'engine'), ('order', 'records')):
            paths = _Paths()
            served = run_simulated(paths.serve(service))
            self.assertIs(served.unwrap().outcome, _ANSWERED)
            self.assertEqual(paths.taken, [(path, 1)])
            self.assertEqual(paths.activity.in_flight, 0)

    def test_closing(self) -> None:
        """Of a recorded request, a closing VM knows nothing."""
        cases = (
            ('catalogue', RequestOutcome.NOT_RUN),
            ('order', RequestOutcome.UNKNOWN),
        )
        for service, outcome in cases:
            with self.subTest(service):
                paths = _Paths()
                paths.activity.stop_accepting()
                served = run_simulated(paths.serve(service))
                self.assertIs(served.unwrap().outcome, outcome)
                self.assertEqual(paths.taken, [])
