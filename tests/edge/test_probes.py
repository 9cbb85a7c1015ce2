"""Guards what a VM concludes from the answers of probed targets."""

import asyncio
import unittest
from datetime import timedelta
from typing import cast

from plantainstand_core import ManualClock
from plantainstand_desired import DesiredView
from plantainstand_edge._node import METRIC_HELP
from plantainstand_edge._probes import TargetProbes
from plantainstand_edge._target_limits import TargetLimits
from plantainstand_http import TargetConnectionPool, TargetResponse
from plantainstand_placement import ListReading
from plantainstand_telemetry import Metrics
from result import Ok

from tests.desired.builders import service_item
from tests.edge.builders import BROKEN, HEADER_CODEC, Outcome
from tests.placement.builders import NOW, SERVICE, idle_targets

_OLD = ListReading(NOW - timedelta(seconds=9), timedelta())


class _Pool:
    def __init__(self, outcome: Outcome):
        self.sent: list[bytes] = []
        self.foreign_headers: list[bytes] = []
        self._outcome = outcome

    async def fetch(
        self,
        _address: str,
        payload: bytes,
        _timeout: timedelta,
        _limit: int,
        *,
        foreign_header: bytes,
    ) -> Outcome:
        """See ``TargetConnectionPool.fetch``."""
        self.sent.append(payload)
        self.foreign_headers.append(foreign_header)
        await asyncio.sleep(0)
        return self._outcome


def _answer(status: int, target: bytes = b't1', cold: bytes = b'0') -> Outcome:
    headers = ((b'target', target), (b'cold', cold))
    return Ok(TargetResponse(status, headers, b''))


class TargetProbeTests(unittest.IsolatedAsyncioTestCase):
    """A wrong conclusion floods a cold target or leaves a warm one idle."""

    async def test_answers(self) -> None:
        """Only its own answer with 200 and without a cold time means warm."""
        cases = (
            (_answer(200), True, False),
            (_answer(200, cold=b'3'), False, True),
            (_answer(503, cold=b'3'), False, True),
            (_answer(503), False, False),
            (_answer(200, target=b'other'), False, False),
            (_answer(200, target=b''), False, False),
            (BROKEN, False, False),
        )
        for outcome, warm, cold in cases:
            with self.subTest(outcome=outcome):
                clock = ManualClock()
                now = clock.monotonic()
                state = idle_targets('t1')[0]
                pool = _Pool(outcome)
                probes = _probes(pool, clock)
                probes.start(SERVICE, [state])
                self.assertTrue(await probes.wait(timedelta(seconds=1)))
                await asyncio.sleep(0)
                self.assertFalse(await probes.wait(timedelta(seconds=1)))
                known = state.knowledge.is_known(now, _OLD)
                self.assertEqual((known, state.is_cold(now)), (warm, cold))
                gone = outcome == _answer(200, target=b'other')
                self.assertEqual(state.is_backing_off(now), gone)
                self.assertIn(b'GET /health HTTP/1.1', pool.sent[0])
                header = HEADER_CODEC.request_id_header
                self.assertEqual(pool.foreign_headers, [header])

    async def test_service_without_a_policy(self) -> None:
        """There is no path to ask on."""
        pool = _Pool(BROKEN)
        probes = _probes(pool, ManualClock(), DesiredView())
        probes.start(SERVICE, idle_targets('t1'))
        self.assertFalse(await probes.wait(timedelta(seconds=1)))


def _probes(
    pool: _Pool, clock: ManualClock, view: DesiredView | None = None
) -> TargetProbes:
    if view is None:
        view = DesiredView()
        view.merge((service_item(),), (), view.index)
    limits = TargetLimits(Metrics(METRIC_HELP), clock, lambda: None)
    return TargetProbes(
        cast(TargetConnectionPool, pool), HEADER_CODEC, view, limits, clock
    )
