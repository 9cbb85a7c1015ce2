"""Routing of callers' requests to the engine or the request log."""

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


class _FakePaths:
    """Fake engine and request records that record the calls to them."""

    def __init__(self) -> None:
        self.activity = RequestTracker()
        self.calls: list[tuple[str, int]] = []

    async def serve(self, service: str) -> ReplyResult:
        """Serve one request of the service on the event loop."""
        bridge = CallerBridge(
            cast(
                Engine,
                SimpleNamespace(steer=self._build_path('engine', _plain_reply)),
            ),
            cast(
                RecordedRequests,
                SimpleNamespace(serve=self._build_path('records', _ok_reply)),
            ),
            self.activity,
            lambda found: found == 'catalogue',
            asyncio.get_running_loop(),
            make_instruments(),
        )
        return await bridge._serve(_request(service))

    def _build_path(
        self,
        name: str,
        convert: Callable[[Reply], object],
    ) -> Callable[[SteeredRequest], Awaitable[object]]:
        async def serve(request: SteeredRequest) -> object:
            self.calls.append((name, self.activity.in_flight))
            return convert(Reply(_ANSWERED, Answer(200, (), b'')))

        return serve


def _plain_reply(reply: Reply) -> Reply:
    return reply


def _ok_reply(reply: Reply) -> ReplyResult:
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
    """Guards against a false "not run" for an id admitted by another VM."""

    def test_paths(self) -> None:
        """Only non-idempotent requests go through the log."""
        for service, path in (('catalogue', 'engine'), ('order', 'records')):
            fake_paths = _FakePaths()
            served = run_simulated(fake_paths.serve(service))
            self.assertIs(served.unwrap().outcome, _ANSWERED)
            self.assertEqual(fake_paths.calls, [(path, 1)])
            self.assertEqual(fake_paths.activity.in_flight, 0)

    def test_closing(self) -> None:
        """A closing VM answers "unknown" to a non-idempotent request."""
        cases = (
            ('catalogue', RequestOutcome.NOT_RUN),
            ('order', RequestOutcome.UNKNOWN),
        )
        for service, outcome in cases:
            with self.subTest(service):
                fake_paths = _FakePaths()
                fake_paths.activity.stop_accepting()
                served = run_simulated(fake_paths.serve(service))
                self.assertIs(served.unwrap().outcome, outcome)
                self.assertEqual(fake_paths.calls, [])
