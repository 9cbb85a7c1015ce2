"""At-most-once execution of non-idempotent requests."""

import asyncio
import unittest
from datetime import timedelta
from http import HTTPStatus
from typing import cast

from plantainstand_core import (
    Incarnation,
    ManualClock,
    RequestId,
    RequestOutcome,
    ServiceId,
    VmId,
)
from plantainstand_daemon._caller_api import ReplyResult
from plantainstand_daemon._control_client import ControlClient
from plantainstand_daemon._messages import (
    Answer,
    Reply,
    SteeredRequest,
    not_run,
    unknown,
)
from plantainstand_daemon._recorded import RecordedRequests
from plantainstand_shares import VmIncarnation

from tests.daemon.fakes import FakeLog, make_instruments

# UUID version 7 with the time of the manual clock, 2026-01-01.
_ID = '019b76da-a800-7000-8000-000000000001'
# Its time is 24 h and a millisecond earlier.
_EXPIRED_ID = '019b71b4-4bff-7000-8000-000000000001'
_FUTURE_ID = '019b76e4-a800-7000-8000-000000000001'
_ANSWER = Reply(RequestOutcome.ANSWERED, Answer(201, (), b'order 7'))
_ANSWERED = RequestOutcome.ANSWERED
_NOT_RUN = RequestOutcome.NOT_RUN
_UNKNOWN = RequestOutcome.UNKNOWN


class _FakeVm:
    """Entry VM whose targets give a fixed reply."""

    def __init__(self, name: str, log: FakeLog, clock: ManualClock) -> None:
        self.executions = 0
        self.request_id = _ID
        self.reply = _ANSWER
        self._clock = clock
        self._requests = RecordedRequests(
            cast(ControlClient, log),
            self._steer,
            lambda: VmIncarnation(VmId(name), Incarnation(1)),
            make_instruments(clock),
        )

    def send(self, body: bytes = b'bronze') -> ReplyResult:
        """Serve one request in an event loop of its own."""
        return asyncio.run(self.serve(body))

    async def serve(self, body: bytes = b'bronze') -> ReplyResult:
        """Serve one request with the test's id."""
        request = SteeredRequest(
            RequestId(self.request_id),
            ServiceId('order'),
            'POST',
            '/orders',
            (),
            body,
            self._clock.monotonic() + timedelta(milliseconds=100),
        )
        served = await self._requests.serve(request)
        while self._requests.unrecorded_count:
            await asyncio.sleep(0)
        return served

    def cancel(self) -> ReplyResult:
        """Cancel the test's id."""
        return asyncio.run(self._requests.cancel(self.request_id))

    def look_up(self) -> ReplyResult:
        """Read the outcome of the test's id."""
        return asyncio.run(self._requests.look_up(self.request_id))

    async def _steer(self, request: SteeredRequest) -> Reply:
        await asyncio.sleep(0)
        if self.reply.outcome is not _NOT_RUN:
            self.executions += 1
        return self.reply


class RecordedRequestsTest(unittest.TestCase):
    """Guards against duplicate execution and a false "not run"."""

    def setUp(self) -> None:
        """Create two entry VMs that share one log."""
        clock = ManualClock()
        self.log = FakeLog()
        self.first = _FakeVm('bajio-a-1', self.log, clock)
        self.second = _FakeVm('norte-a-1', self.log, clock)

    def test_resend_elsewhere_gets_the_answer(self) -> None:
        """A resend to another VM gets the recorded answer."""
        self._expect(self.first.send(), _ANSWERED)
        reply = self.second.send().unwrap()
        self.assertEqual(reply.answer, Answer(201, (), b'order 7'))
        self._expect_executions(1, 0)

    def test_not_run_stays_not_run(self) -> None:
        """A request that was recorded as "not run" never runs later."""
        self.first.reply = not_run('no slot')
        self._expect(self.first.send(), _NOT_RUN)
        self._expect(self.second.send(), _NOT_RUN)
        self._expect(self.first.send(), _NOT_RUN)
        self._expect_executions(0, 0)

    def test_unknown_is_not_run_again(self) -> None:
        """A lost answer leaves "unknown", never a second execution."""
        self.first.reply = unknown('the connection went silent')
        self._expect(self.first.send(), _UNKNOWN)
        self._expect(self.second.send(), _UNKNOWN)
        self._expect_executions(1, 0)

    def test_concurrent_duplicates(self) -> None:
        """Of two VMs that receive the same id, only one dispatches."""

        async def send_twice() -> tuple[ReplyResult, ReplyResult]:
            return await asyncio.gather(
                self.first.serve(),
                self.second.serve(),
            )

        first, second = asyncio.run(send_twice())
        self._expect(first, _ANSWERED)
        self._expect(second, _UNKNOWN)
        self._expect_executions(1, 0)

    def test_no_majority(self) -> None:
        """Without a majority nothing runs, and the outcome is "unknown"."""
        self.log.reachable = False
        self._expect(self.first.send(), _UNKNOWN)
        self._expect_executions(0, 0)
        self.log.reachable = True
        self._expect(self.second.send(), _ANSWERED)

    def test_lost_admission(self) -> None:
        """A VM whose admission reply is lost does not dispatch."""
        self.log.replies = False
        self._expect(self.first.send(), _UNKNOWN)
        self.log.replies = True
        self._expect(self.second.send(), _NOT_RUN)
        self._expect_executions(0, 0)

    def test_cancel(self) -> None:
        """A cancel before the admission prevents the request."""
        self._expect(self.second.cancel(), _NOT_RUN)
        self._expect(self.first.send(), _NOT_RUN)
        self._expect_executions(0, 0)

    def test_cancel_after_execution(self) -> None:
        """A cancel after the execution gets the answer."""
        self.first.send()
        self._expect(self.second.cancel(), _ANSWERED)

    def test_other_content(self) -> None:
        """An id that is reused for other content is refused."""
        self.first.send()
        refused = self.second.send(b'teflon').unwrap_err()
        self.assertEqual(refused.status, HTTPStatus.CONFLICT)

    def test_look_up(self) -> None:
        """The outcome can be read at any VM."""
        self._expect(self.second.look_up(), _UNKNOWN)
        self.first.send()
        self._expect(self.second.look_up(), _ANSWERED)

    def test_refused_ids(self) -> None:
        """Expired and malformed ids get different statuses."""
        cases = (
            (_EXPIRED_ID, HTTPStatus.GONE),
            (_FUTURE_ID, HTTPStatus.BAD_REQUEST),
            ('17', HTTPStatus.BAD_REQUEST),
            (f'{{{_ID}}}', HTTPStatus.BAD_REQUEST),
        )
        for request_id, status in cases:
            self.first.request_id = request_id
            for action in (
                self.first.send,
                self.first.look_up,
                self.first.cancel,
            ):
                with self.subTest(request_id, action=action.__name__):
                    self.assertEqual(action().unwrap_err().status, status)
        self._expect_executions(0, 0)

    def test_other_spelling(self) -> None:
        """Ids that differ only in letter case are the same request."""
        replies = (_ANSWER, not_run('no slot'))
        for number, reply in enumerate(replies):
            request_id = f'{_ID[:-3]}{number}cd'
            self.first.request_id = request_id.upper()
            self.second.request_id = request_id
            self.first.reply = reply
            self._expect(self.first.send(), reply.outcome)
            self._expect(self.second.look_up(), reply.outcome)
            self._expect(self.second.send(), reply.outcome)
        self._expect_executions(1, 0)

    def _expect(self, served: ReplyResult, outcome: RequestOutcome) -> None:
        self.assertEqual(served.unwrap().outcome, outcome)

    def _expect_executions(self, *expected: int) -> None:
        found = (self.first.executions, self.second.executions)
        self.assertEqual(found, expected)
