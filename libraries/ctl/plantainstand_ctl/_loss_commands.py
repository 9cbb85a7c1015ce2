"""Command ``logs causes``: why requests were not answered in time."""

from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import datetime
from enum import Enum
from http import HTTPStatus
from pathlib import Path
from types import MappingProxyType

import msgspec
from result import Err, Ok, Result

from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report

INTERVAL_SECONDS = 2
"""Length of an interval of the table over time."""


class LossCause(Enum):
    """Why a request brought its client less than a response in time."""

    NO_CAPACITY = 'rejected: no capacity'
    REJECTED_BY_TARGETS = 'rejected: by targets'
    NOT_SENT = 'rejected: other'
    """No target, or the VM was stopping."""

    NO_ANSWER = 'no answer from the target'
    TARGET_FAILED = 'failure of the target'
    CLIENT_LEFT = 'client left'
    LATE_RETRY = 'late: sent more than once'
    LATE_FIRST_RUN = 'late: first run at the target'
    LATE_QUEUE = 'late: expected wait'
    LATE_SLOW = 'late: slower than expected'


class RequestLine(msgspec.Struct):
    """Fields of the line ``request`` from which the cause follows."""

    event: str = ''
    timestamp: datetime | None = None
    route: str = ''
    status: int = 0
    outcome: str = ''
    sends: int = 0
    ms: int = 0
    objective_ms: int | None = None
    expected_wait_ms: int = 0
    familiarity: str | None = None


@dataclass
class _Tally:
    """Counts of one pass over all files."""

    by_route: dict[str, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    by_interval: dict[int, Counter[str]] = field(
        default_factory=lambda: defaultdict(Counter)
    )
    skipped_lines: int = 0


_IN_TIME = 'in time'
_REJECTIONS = MappingProxyType(
    {
        'no capacity': LossCause.NO_CAPACITY,
        'targets rejected it': LossCause.REJECTED_BY_TARGETS,
    }
)
_REPEATED = 'repeated'


def count_causes(paths: Sequence[Path]) -> CommandResult:
    """Count the requests of all files by route, interval and cause."""
    tally = _Tally()
    for path in paths:
        outcome = _read_file(path, tally)
        if isinstance(outcome, Err):
            return outcome
    document = {
        'skipped_lines': tally.skipped_lines,
        'interval_seconds': INTERVAL_SECONDS,
        'routes': tally.by_route,
        'intervals': _relative_intervals(tally.by_interval),
    }
    return Ok(Report(document, list(_describe(tally))))


def loss_cause(line: RequestLine) -> LossCause | None:
    """Return the cause of a loss; None for a response in time.

    The first cause that applies is named: a late response of a request that
    was sent twice counts as such, however long it waited.
    """
    if line.status == 0:
        return LossCause.CLIENT_LEFT
    if line.status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _REJECTIONS.get(line.outcome, LossCause.NOT_SENT)
    if line.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
        passed_on = line.outcome in {'answered', 'passed on a failure'}
        return LossCause.TARGET_FAILED if passed_on else LossCause.NO_ANSWER
    if line.objective_ms is None or line.ms <= line.objective_ms:
        return None
    return _cause_of_lateness(line)


def _cause_of_lateness(line: RequestLine) -> LossCause:
    if line.sends > 1:
        return LossCause.LATE_RETRY
    if line.familiarity is not None and line.familiarity != _REPEATED:
        return LossCause.LATE_FIRST_RUN
    if line.expected_wait_ms > 0:
        return LossCause.LATE_QUEUE
    return LossCause.LATE_SLOW


def _read_file(path: Path, tally: _Tally) -> Result[None, Failure]:
    decoder = msgspec.json.Decoder(RequestLine)
    try:
        with path.open(encoding='utf-8', errors='replace') as stream:
            for text in stream:
                _count_line(text, decoder, tally)
    except OSError as problem:
        return Err(Failure(ExitCode.INVALID, f'{path}: {problem}'))
    return Ok(None)


def _count_line(
    text: str, decoder: msgspec.json.Decoder[RequestLine], tally: _Tally
) -> None:
    # Log collectors put their own time and host before the JSON.
    start = text.find('{')
    if start < 0:
        return
    try:
        line = decoder.decode(text[start:])
    except msgspec.DecodeError:
        tally.skipped_lines += 1
        return
    if line.event != 'request':
        return
    cause = loss_cause(line)
    name = _IN_TIME if cause is None else cause.value
    tally.by_route[line.route][name] += 1
    if line.timestamp is not None:
        second = int(line.timestamp.timestamp())
        tally.by_interval[second // INTERVAL_SECONDS][name] += 1


def _relative_intervals(
    by_interval: dict[int, Counter[str]],
) -> dict[int, Counter[str]]:
    """Return the counts by seconds since the first interval."""
    first = min(by_interval, default=0)
    return {
        (interval - first) * INTERVAL_SECONDS: by_interval[interval]
        for interval in sorted(by_interval)
    }


def _describe(tally: _Tally) -> Iterator[str]:
    routes = sorted(tally.by_route.items(), key=lambda item: -item[1].total())
    for route, counts in routes:
        yield from _describe_counts(f'route {route}', counts)
    by_second = _relative_intervals(tally.by_interval)
    for second, interval_counts in by_second.items():
        yield from _describe_counts(f'from second {second}', interval_counts)
    yield f'lines that could not be read: {tally.skipped_lines}'


def _describe_counts(title: str, counts: Counter[str]) -> Iterator[str]:
    total = counts.total()
    yield f'{title}: {total} requests'
    for name, count in counts.most_common():
        yield f'  {count:7} {count / total:6.1%}  {name}'
