"""Polling of the health of this VM's targets."""

import asyncio
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from datetime import timedelta

from plantainstand_core import ServiceId

from plantainstand_daemon._dispatch import TargetClient
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._local import update_ejections
from plantainstand_daemon._services import LocalTarget, ServiceRuntime
from plantainstand_daemon._tasks import sleep

_POLL_INTERVAL = timedelta(seconds=1)
_HEALTHY_STATE = 'ready'


class HealthPoll:
    """Polls each target's health.

    A report can lag or be wrong, so it only speeds up the ejection of a failing
    target and serves as the probe of an ejected target. Not thread-safe: used
    on the event loop only.
    """

    def __init__(
        self,
        client: TargetClient,
        executor: Executor,
        runtimes: Callable[[], Mapping[ServiceId, ServiceRuntime]],
        instruments: Instruments,
    ) -> None:
        """Call targets on threads of ``executor``."""
        self._client = client
        self._executor = executor
        self._runtimes = runtimes
        self._clock = instruments.clock

    async def run(self) -> None:
        """Poll all targets at each interval, until cancelled."""
        while True:  # noqa: WPS457
            polls = [
                self._poll(runtime, local)
                for runtime in self._runtimes().values()
                for local in runtime.targets.values()
            ]
            await asyncio.gather(*polls, sleep(_POLL_INTERVAL))

    async def _poll(self, runtime: ServiceRuntime, local: LocalTarget) -> None:
        target = local.target.target_id
        health = runtime.health
        is_probe = health.begin_probe(target)
        asked_at = self._clock.monotonic()
        document = await asyncio.get_running_loop().run_in_executor(
            self._executor,
            self._client.read_json,
            local.address,
            '/health',
        )
        state = '' if document is None else str(document.get('state', ''))
        is_healthy = state == _HEALTHY_STATE
        health.accept_report(target, is_healthy, asked_at)
        if is_probe:
            health.record(target, succeeded=is_healthy)
            update_ejections(runtime)
