"""Plot of the latencies and outcomes of a run."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import matplotlib as mpl
from matplotlib import pyplot
from plantainstand_core import TrafficClass

from plantainstand_bench._records import CallerRecord, Outcome, RunLog

_SIZE_INCHES = (10, 7)
_MARKER_SIZE = 3


def plot_run(title: str, log: RunLog, path: Path) -> None:
    """Write a PNG: latency of each request, and failures for each second."""
    mpl.use('Agg')
    figure, (latencies, failures) = pyplot.subplots(
        2,
        1,
        sharex=True,
        figsize=_SIZE_INCHES,
    )
    start = min((record.scheduled for record in log.records), default=0)
    _plot_latencies(latencies, log.records, start)
    _plot_failures(failures, log.records, start)
    for stop in log.planned_stops:
        latencies.axvline(stop.started - start, linestyle=':')
    latencies.set_title(title)
    figure.savefig(path)
    pyplot.close(figure)


def _plot_latencies(
    axes: Any,
    records: Sequence[CallerRecord],
    start: float,
) -> None:
    for traffic_class in TrafficClass:
        chosen = [
            record
            for record in records
            if record.traffic_class is traffic_class
            and record.outcome is Outcome.ANSWERED
        ]
        if chosen:
            axes.plot(
                [record.scheduled - start for record in chosen],
                [record.latency_ms for record in chosen],
                '.',
                markersize=_MARKER_SIZE,
                label=traffic_class.value,
            )
    axes.set_yscale('log')
    axes.set_ylabel('latency of answered requests, ms')
    if records:
        axes.legend(loc='upper right')


def _plot_failures(
    axes: Any,
    records: Sequence[CallerRecord],
    start: float,
) -> None:
    outcomes = {
        record.outcome
        for record in records
        if record.outcome is not Outcome.ANSWERED
    }
    for outcome in sorted(outcomes, key=lambda member: member.value):
        moments = [
            record.scheduled - start
            for record in records
            if record.outcome is outcome
        ]
        seconds = range(int(max(moments)) + 2)
        axes.hist(moments, seconds, histtype='step', label=outcome.value)
    axes.set_xlabel('time of arrival, s')
    axes.set_ylabel('requests per second not answered')
    if outcomes:
        axes.legend(loc='upper right')
