"""Asks targets whether they are cold, where the list does not tell."""

import asyncio
from collections.abc import Iterable, Sequence
from datetime import timedelta
from http import HTTPStatus

import structlog
from plantainstand_core import Clock, ServiceId
from plantainstand_desired import DesiredView
from plantainstand_http import TargetConnectionPool, TargetResponse
from plantainstand_placement import TargetState
from result import Err

from plantainstand_edge._header_codec import HeaderCodec
from plantainstand_edge._target_limits import TargetLimits, record_pause

_log = structlog.get_logger()

PROBE_TIMEOUT = timedelta(milliseconds=300)
"""Longest wait for the answer of a probe."""

MAX_PROBE_BYTES = 64 * 1024
"""Longest answer that is read."""


class TargetProbes:
    """Probes under way; the health path of a service answers them."""

    def __init__(
        self,
        pool: TargetConnectionPool,
        header_codec: HeaderCodec,
        desired_view: DesiredView,
        target_limits: TargetLimits,
        clock: Clock,
    ):
        """Start without probes."""
        self._pool = pool
        self._header_codec = header_codec
        self._desired_view = desired_view
        self._target_limits = target_limits
        self._clock = clock
        self._running: set[asyncio.Task[None]] = set()

    def start(self, service: ServiceId, states: Iterable[TargetState]) -> None:
        """Ask targets of a service; the answers change their state."""
        policy = self._desired_view.service_policy(service)
        if policy is None or not policy.health_path:
            return
        for state in states:
            state.knowledge.record_probe(self._clock.monotonic())
            task = asyncio.create_task(self._probe(state, policy.health_path))
            self._running.add(task)
            task.add_done_callback(self._running.discard)

    def may_help(
        self, service: ServiceId, states: Sequence[TargetState]
    ) -> bool:
        """Tell whether a request waits for probes, of ``states`` or earlier."""
        policy = self._desired_view.service_policy(service)
        has_health_path = policy is not None and bool(policy.health_path)
        return bool(self._running) or (bool(states) and has_health_path)

    async def wait(self, timeout: timedelta) -> bool:
        """Wait for one of the probes; return False if there is none."""
        if not self._running:
            return False
        await asyncio.wait(
            tuple(self._running),
            timeout=timeout.total_seconds(),
            return_when=asyncio.FIRST_COMPLETED,
        )
        return True

    def close(self) -> None:
        """End all probes."""
        for task in self._running:
            task.cancel()

    async def _probe(self, state: TargetState, health_path: str) -> None:
        asked_at = self._clock.monotonic()
        address = state.entry.address
        head = f'GET {health_path} HTTP/1.1\r\nhost: {address}\r\n\r\n'
        outcome = await self._pool.fetch(
            address,
            head.encode(),
            PROBE_TIMEOUT,
            MAX_PROBE_BYTES,
            foreign_header=self._header_codec.request_id_header,
        )
        if isinstance(outcome, Err):
            self._log_answer(state, asked_at, outcome.err_value.detail)
        else:
            self._record_answer(state, asked_at, outcome.ok_value)

    def _record_answer(
        self, state: TargetState, asked_at: timedelta, answer: TargetResponse
    ) -> None:
        now = self._clock.monotonic()
        stated = self._header_codec.read_health_metadata(answer)
        if stated.leaving and stated.target == state.entry.target:
            self._target_limits.record_leaving(state.entry, 'probe')
        if stated.pause and stated.target in {None, state.entry.target}:
            record_pause(state, stated.pause, self._clock, request='probe')
        outcome = f'status {answer.status}'
        if stated.target not in {None, state.entry.target}:
            # The target is gone; the list still shows it.
            state.record_unreachable(now)
            outcome = 'another target answered'
        elif stated.cold_left:
            state.knowledge.record_contact(now)
            state.cold_until = max(state.cold_until, now + stated.cold_left)
            outcome = 'cold'
        elif answer.status == HTTPStatus.OK and stated.target is not None:
            state.knowledge.record_warm(asked_at)
            outcome = 'warm'
        self._log_answer(state, asked_at, outcome)

    def _log_answer(
        self, state: TargetState, asked_at: timedelta, outcome: str
    ) -> None:
        took = self._clock.monotonic() - asked_at
        _log.info(
            'target probed',
            target=state.entry.target,
            outcome=outcome,
            ms=round(took / timedelta(milliseconds=1)),
        )
