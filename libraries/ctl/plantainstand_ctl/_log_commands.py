"""Command ``logs explain``: timeline of a request from collected logs."""

from collections.abc import Iterator, Sequence
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report

CONTEXT_TIME = timedelta(seconds=5)
"""Time before the last line of a request from which other lines are shown.

Longer than a state change or a lost dependency takes to affect requests.
"""

_REQUEST_EVENTS = frozenset(
    (
        'attempt failed',
        'client connection cut',
        'request',
        'request without a route',
    ),
)
_HIDDEN_FIELDS = frozenset(('event', 'level', 'timestamp', 'request'))

LogLine = dict[str, Any]


def explain_request(request_id: str, paths: Sequence[Path]) -> CommandResult:
    """Show the log lines of a request and the events shortly before.

    Only events from the files that mention the request are shown.
    """
    timeline: list[LogLine] = []
    for path in paths:
        lines = _read_lines(path)
        if isinstance(lines, Err):
            return lines
        timeline.extend(_request_timeline(request_id, lines.ok_value))
    if not timeline:
        message = f'no log line about request {request_id}'
        return Err(Failure(ExitCode.NOT_FOUND, message))
    return Ok(Report(timeline, [_describe(line) for line in timeline]))


def _read_lines(path: Path) -> Result[list[LogLine], Failure]:
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as problem:
        return Err(Failure(ExitCode.INVALID, f'{path}: {problem}'))
    return Ok(list(_decode(text)))


def _decode(text: str) -> Iterator[LogLine]:
    for line in text.splitlines():
        # Log collectors put their own time and host before the JSON.
        start = line.find('{')
        if start < 0:
            continue
        try:
            decoded = msgspec.json.decode(line[start:], type=LogLine)
        except msgspec.DecodeError:
            # The last line may be incomplete if the file is being written.
            continue
        yield decoded


def _request_timeline(
    request_id: str, lines: Sequence[LogLine]
) -> list[LogLine]:
    request_lines = [
        line for line in lines if request_id in _named_requests(line)
    ]
    if not request_lines:
        return []
    last_time = _time_of(request_lines[-1])
    context = [
        line
        for line in lines
        if line.get('event') not in _REQUEST_EVENTS
        and timedelta() <= last_time - _time_of(line) <= CONTEXT_TIME
    ]
    return sorted((*context, *request_lines), key=_time_of)


def _named_requests(line: LogLine) -> Sequence[object]:
    """Return the ids of the requests that a line is about."""
    unanswered = line.get('unanswered', ())
    return (line.get('request'), line.get('last_answered'), *unanswered)


def _time_of(line: LogLine) -> datetime:
    return datetime.fromisoformat(line['timestamp'])


def _describe(line: LogLine) -> str:
    fields = ' '.join(
        f'{name}={content}'
        for name, content in line.items()
        if name not in _HIDDEN_FIELDS
    )
    return f'{line["timestamp"]} {line["event"]}: {fields}'
