"""What almost every part of the daemon measures and decides with."""

from dataclasses import dataclass
from random import Random

from plantainstand_core import Clock
from plantainstand_telemetry import Metrics, Tracing


@dataclass(frozen=True)
class Instruments:
    """Clock, metrics, traces and random numbers of one daemon."""

    clock: Clock
    metrics: Metrics
    tracing: Tracing
    random_source: Random
