"""Table, JSON and plot of a run."""

import importlib
from collections.abc import Iterable, Mapping, Sequence
from pathlib import Path

import msgspec

from plantainstand_bench._journal import JournalEvent
from plantainstand_bench._measures import Measures, measure
from plantainstand_bench._records import RunLog
from plantainstand_bench._verdict import (
    BrokenPromises,
    Outcomes,
    count_broken_promises,
    count_outcomes,
)

_INDENT = 2
# A tool that sends later than this adds its own delay to the latencies.
_LATE_SENDING_MS = 50


class Report(msgspec.Struct, frozen=True, kw_only=True):
    """``report.json``."""

    title: str
    settings: Mapping[str, object]
    outcomes: Outcomes
    broken_promises: BrokenPromises
    measures: Measures


def make_report(
    title: str,
    settings: Mapping[str, object],
    log: RunLog,
    events: Sequence[JournalEvent],
) -> Report:
    """Count and measure a run."""
    return Report(
        title=title,
        settings=settings,
        outcomes=count_outcomes(log),
        broken_promises=count_broken_promises(log, events),
        measures=measure(log, events),
    )


def render_table(report: Report) -> str:
    """Return the report as text, one line for each figure."""
    rows = (
        *_rows_of(report.outcomes),
        *_rows_of(report.broken_promises),
        *_latency_rows(report.measures),
        *_headroom_rows(report.measures),
        *_drain_rows(report.measures),
    )
    width = max(len(name) for name, _text in rows)
    lines = [f'{name:{width}}  {text}' for name, text in rows]
    return '\n'.join((report.title, *lines))


def write_report(report: Report, folder: Path) -> None:
    """Write ``report.json``."""
    encoded = msgspec.json.encode(report)
    formatted = msgspec.json.format(encoded, indent=_INDENT)
    (folder / 'report.json').write_bytes(formatted)


def write_plot(report: Report, log: RunLog, path: Path) -> None:
    """Write the plot; matplotlib is loaded only here, it takes a second."""
    plotting = importlib.import_module('plantainstand_bench._plot')
    plotting.plot_run(report.title, log, path)


def _rows_of(counts: msgspec.Struct) -> Iterable[tuple[str, str]]:
    return [
        (name.replace('_', ' '), str(count))
        for name, count in msgspec.structs.asdict(counts).items()
    ]


def _latency_rows(measures: Measures) -> Iterable[tuple[str, str]]:
    for name, latency in measures.latency.items():
        percentiles = ', '.join(
            f'{percentile} {milliseconds:.1f}'
            for percentile, milliseconds in latency.percentiles_ms.items()
        )
        maximum = f'max {latency.maximum_ms:.1f}'
        failures = f'p99 with failures {latency.p99_with_failures_ms:.1f}'
        yield (f'latency {name} (ms)', f'{percentiles}, {maximum}, {failures}')
    delay = measures.sending_delay_p99_ms
    warning = '; machine too busy' if delay > _LATE_SENDING_MS else ''
    yield ('sending delay, p99 (ms)', f'{delay:.1f}{warning}')


def _headroom_rows(measures: Measures) -> Iterable[tuple[str, str]]:
    headroom = measures.headroom
    shed = 'nothing shed' if headroom.first_shed is None else 'then shed'
    yield ('highest use of critical slots', _share(headroom.highest_share))
    yield ('critical class', shed)


def _share(share: float) -> str:
    return f'{share * 100:.1f} %'


def _drain_rows(measures: Measures) -> Iterable[tuple[str, str]]:
    for drain in measures.drain_times:
        has_ended = drain.seconds is not None
        text = f'{drain.seconds:.2f} s' if has_ended else 'not ended'
        yield (f'drain time, {drain.subject}', text)
