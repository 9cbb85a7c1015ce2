"""Calls from HTTP threads to the event loop."""

import asyncio
from collections.abc import Callable, Coroutine
from concurrent.futures import TimeoutError as FutureTimeoutError
from datetime import timedelta
from functools import lru_cache
from typing import TypeVar

import msgspec
from plantainstand_core import AvailabilityZoneId, RequestOutcome, ServiceId
from plantainstand_membership import EntryAnswer, EntrySnapshot, rank_entries
from result import Ok

from plantainstand_daemon._activity import RequestTracker
from plantainstand_daemon._caller_api import ReplyResult
from plantainstand_daemon._engine import Engine
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._messages import (
    Reply,
    SteeredRequest,
    not_run,
    unknown,
)
from plantainstand_daemon._recorded import RecordedRequests

ResultT = TypeVar('ResultT')

# The event loop ends a request by its deadline. The margin bounds the wait of
# an HTTP thread for a loop that is stuck.
_LOOP_MARGIN = timedelta(seconds=2)
_CONTROL_TIMEOUT = timedelta(seconds=8)
_MILLISECOND = timedelta(milliseconds=1)


class CallerBridge:
    """Runs callers' requests on the event loop; thread-safe."""

    def __init__(
        self,
        engine: Engine,
        records: RecordedRequests,
        activity: RequestTracker,
        is_idempotent: Callable[[ServiceId], bool],
        loop: asyncio.AbstractEventLoop,
        instruments: Instruments,
    ) -> None:
        """Run coroutines on ``loop``."""
        self._engine = engine
        self._records = records
        self._activity = activity
        self._is_idempotent = is_idempotent
        self._loop = loop
        self._clock = instruments.clock
        self._metrics = instruments.metrics

    def serve(self, request: SteeredRequest) -> ReplyResult:
        """Steer a request; blocks the calling thread until the reply."""
        limit = request.deadline - self._clock.monotonic() + _LOOP_MARGIN
        return self.run(
            self._serve(request),
            limit,
            Ok(unknown('no reply within the deadline')),
        )

    def look_up(self, request_id: str) -> ReplyResult:
        """Read a request's record; blocks the calling thread."""
        return self.run(
            self._records.look_up(request_id),
            _CONTROL_TIMEOUT,
            Ok(unknown('no reply by the voters')),
        )

    def cancel(self, request_id: str) -> ReplyResult:
        """Cancel a request; blocks the calling thread."""
        return self.run(
            self._records.cancel(request_id),
            _CONTROL_TIMEOUT,
            Ok(unknown('no reply by the voters')),
        )

    def run(
        self,
        work: Coroutine[object, object, ResultT],
        limit: timedelta,
        fallback: ResultT,
    ) -> ResultT:
        """Run a coroutine on the loop; return ``fallback`` after ``limit``."""
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            return future.result(limit.total_seconds())
        except FutureTimeoutError:
            future.cancel()
            return fallback

    async def _serve(self, request: SteeredRequest) -> ReplyResult:
        if not self._activity.is_accepting:
            # A non-idempotent request may run at another VM under the same id.
            is_idempotent = self._is_idempotent(request.service)
            refuse = not_run if is_idempotent else unknown
            return Ok(refuse('this VM is leaving; ask /v1/entries'))
        started_at = self._clock.monotonic()
        with self._activity.track():
            if self._is_idempotent(request.service):
                result: ReplyResult = Ok(await self._engine.steer(request))
            else:
                result = await self._records.serve(request)
        self._count_request(request.service, result, started_at)
        return result

    def _count_request(
        self,
        service: ServiceId,
        result: ReplyResult,
        started_at: timedelta,
    ) -> None:
        outcome = 'refused'
        if isinstance(result, Ok):
            reply: Reply = result.ok_value
            outcome = reply.outcome.value
        self._metrics.count('requests_total', service=service, outcome=outcome)
        if outcome == RequestOutcome.ANSWERED.value:
            spent = self._clock.monotonic() - started_at
            self._metrics.observe(
                'request_seconds',
                spent.total_seconds(),
                service=service,
            )


def entry_lister(
    snapshot: Callable[[], EntrySnapshot],
) -> Callable[[str, AvailabilityZoneId], bytes]:
    """Return a thread-safe function that encodes the entry list of a caller.

    ``rank_entries`` returns the same object for equal answers until the
    snapshot is replaced, so each answer is encoded once.
    """

    @lru_cache(maxsize=4096)
    def encode(key: _IdentityKey) -> bytes:
        return _encode_answer(key.answer)

    def list_entries(caller: str, zone: AvailabilityZoneId) -> bytes:
        answer = rank_entries(snapshot(), caller, zone or None)
        return encode(_IdentityKey(answer))

    return list_entries


class _IdentityKey:
    """Cache key that compares answers by identity.

    Comparing the contents would cost more.
    """

    def __init__(self, answer: EntryAnswer) -> None:
        self.answer = answer

    def __hash__(self) -> int:
        return id(self.answer)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, _IdentityKey) and self.answer is other.answer


def _encode_answer(answer: EntryAnswer) -> bytes:
    return msgspec.json.encode(
        {
            'version': answer.version,
            'lifetime_ms': answer.lifetime // _MILLISECOND,
            'entries': [
                {
                    'vm': entry.vm,
                    'url': f'http://{entry.host}:{entry.port}',
                    'availability_zone': entry.availability_zone,
                }
                for entry in answer.entries
            ],
        }
    )
