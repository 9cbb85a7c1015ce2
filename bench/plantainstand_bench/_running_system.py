"""A running deployment for benchmarks that need no arrivals."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import AsyncExitStack
from pathlib import Path

import msgspec
from result import Err, Result

from plantainstand_bench._deployment import (
    Deployment,
    TargetPlan,
    load_deployment,
)
from plantainstand_bench._run_files import RunFolder
from plantainstand_bench._system import Commands, StartProblem, System
from plantainstand_bench._system_map import load_system_map
from plantainstand_bench._target_settings import ColdStart, ServiceTime

_DEPLOYMENT = Path(__file__).parent.parent / 'deployments' / 'trefila.jsonc'
_FAST = TargetPlan(
    service_time=ServiceTime(median_ms=1, sigma=0.01, tail_fraction=0),
    cold_start=ColdStart(),
)

Measure = Callable[[Deployment, System], Mapping[str, float]]


def measure_running(
    out: Path,
    commands: Commands,
    seed: int,
    measure: Measure,
) -> Result[Mapping[str, float], StartProblem]:
    """Start Trefila's deployment with targets of 1 ms, measure, and stop."""
    deployment = load_deployment(_DEPLOYMENT).unwrap()
    fast = {service: _FAST for service in deployment.targets}
    quick = msgspec.structs.replace(deployment, targets=fast)
    return asyncio.run(_run(quick, RunFolder(out), commands, (seed, measure)))


async def _run(
    deployment: Deployment,
    folder: RunFolder,
    commands: Commands,
    run: tuple[int, Measure],
) -> Result[Mapping[str, float], StartProblem]:
    seed, measure = run
    system_map = load_system_map(Path(deployment.catalogue)).unwrap()
    system = System(deployment, system_map, folder, commands, seed)
    async with AsyncExitStack() as stack:
        stack.push_async_callback(system.stop)
        for start in (system.start_targets, system.start_daemons):
            started = await start()
            if isinstance(started, Err):
                return started
        figures = await asyncio.to_thread(measure, deployment, system)
    return started.map(lambda _none: figures)
