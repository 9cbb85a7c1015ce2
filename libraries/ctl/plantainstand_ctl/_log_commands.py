"""Command ``logs explain``: the story of one request from collected logs."""

from collections.abc import Iterator, Sequence
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

import msgspec
from result import Err, Ok, Result

from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report

CONTEXT_TIME = timedelta(seconds=5)
"""How far before the request changes of belief are shown: longer than a
change or a lost dependency takes to show in requests."""

_REQUEST_EVENTS = frozenset(
    ('attempt failed', 'request', 'request without a route'),
)
_HIDDEN_FIELDS = frozenset(('event', 'level', 'timestamp', 'request'))

LogLine = dict[str, Any]


def explain_request(request_id: str, paths: Sequence[Path]) -> CommandResult:
    """Show a request's lines and what its process learned just before."""
    story: list[LogLine] = []
    for path in paths:
        lines = _read_lines(path)
        if isinstance(lines, Err):
            return lines
        story.extend(_story(request_id, lines.ok_value))
    if not story:
        message = f'no line about request {request_id}'
        return Err(Failure(ExitCode.NOT_FOUND, message))
    return Ok(Report(story, [_describe(line) for line in story]))


def _read_lines(path: Path) -> Result[list[LogLine], Failure]:
    try:
        text = path.read_text(encoding='utf-8', errors='replace')
    except OSError as problem:
        return Err(Failure(ExitCode.INVALID, f'{path}: {problem}'))
    return Ok(list(_decode(text)))


def _decode(text: str) -> Iterator[LogLine]:
    for line in text.splitlines():
        # Collectors put their own time and host before the JSON.
        start = line.find('{')
        if start < 0:
            continue
        try:
            decoded = msgspec.json.decode(line[start:], type=LogLine)
        except msgspec.DecodeError:
            # The last line of a file that is being written is cut.
            continue
        yield decoded


def _story(request_id: str, lines: Sequence[LogLine]) -> list[LogLine]:
    own = [line for line in lines if line.get('request') == request_id]
    if not own:
        return []
    end = _time_of(own[-1])
    context = [
        line
        for line in lines
        if line.get('event') not in _REQUEST_EVENTS
        and timedelta() <= end - _time_of(line) <= CONTEXT_TIME
    ]
    return sorted((*context, *own), key=_time_of)


def _time_of(line: LogLine) -> datetime:
    return datetime.fromisoformat(line['timestamp'])


def _describe(line: LogLine) -> str:
    fields = ' '.join(
        f'{name}={content}'
        for name, content in line.items()
        if name not in _HIDDEN_FIELDS
    )
    return f'{line["timestamp"]} {line["event"]}: {fields}'
