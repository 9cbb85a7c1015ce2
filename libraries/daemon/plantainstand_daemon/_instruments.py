"""Clock, metrics, traces and random numbers for the daemon's components."""

from contextlib import AsyncExitStack, ExitStack
from dataclasses import dataclass
from pathlib import Path
from random import Random, SystemRandom

from plantainstand_core import Clock, SystemClock
from plantainstand_telemetry import Metrics
from plantainstand_telemetry.traces import Tracing, open_tracing

from plantainstand_daemon._metrics import HELP_TEXTS
from plantainstand_daemon._settings import DaemonSettings


@dataclass(frozen=True)
class Instruments:
    """Clock, metrics, traces and random numbers of one daemon."""

    clock: Clock
    metrics: Metrics
    tracing: Tracing
    random_source: Random


def open_instruments(
    stack: AsyncExitStack,
    settings: DaemonSettings,
) -> Instruments:
    """Create a daemon's instruments; ``stack`` closes the trace file."""
    traces = settings.traces
    tracing = open_tracing(
        stack.enter_context(ExitStack()),
        settings.vm,
        Path(traces.folder) if traces else None,
        traces.sample_ratio if traces else 0,
    )
    metrics = Metrics(HELP_TEXTS)
    return Instruments(SystemClock(), metrics, tracing, SystemRandom())
