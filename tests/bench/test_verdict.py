"""Counting of broken promises by the load tool."""

import io
import unittest
from collections.abc import Sequence
from contextlib import redirect_stdout
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from plantainstand_bench import load_main
from plantainstand_bench._journal import JournalEvent, JournalKind
from plantainstand_bench._records import (
    Attempt,
    CallerRecord,
    Drain,
    Outcome,
    PlannedStop,
    RunLog,
    write_run_log,
)
from plantainstand_core import RequestId, ServiceId, TargetId, TrafficClass

_SLOTS = 2


def _record(
    outcome: Outcome = Outcome.ANSWERED,
    answered_id: str = 'r',
    *,
    is_idempotent: bool = False,
) -> CallerRecord:
    attempt = Attempt(
        request_id=RequestId('r'),
        via='vm-1',
        started=100,
        ended=101,
        outcome=outcome,
        answered_id=answered_id,
    )
    return CallerRecord(
        caller='caller',
        service=ServiceId('order'),
        traffic_class=TrafficClass.NORMAL,
        is_idempotent=is_idempotent,
        scheduled=100,
        begun=100,
        deadline_ms=2000,
        ended=101,
        outcome=outcome,
        attempts=[attempt],
    )


def _event(
    kind: JournalKind,
    time: float = 100.5,
    in_use: int = 1,
    target: str = 't',
) -> JournalEvent:
    return JournalEvent(
        event=kind,
        time=time,
        target=TargetId(target),
        service=ServiceId('order'),
        request_id=RequestId('r'),
        in_use=in_use,
        slots=_SLOTS,
    )


def _drain(withdrawn: float | None = None) -> Drain:
    return Drain(
        subject='target/t',
        targets=['t'],
        announced=96,
        withdrawn=withdrawn,
    )


def _stop(exited: float | None) -> PlannedStop:
    return PlannedStop(vm='vm-1', started=99, exited=exited)


@dataclass(frozen=True)
class _Case:
    name: str
    broken: str
    """Row of the table that must not be zero; empty for a good run."""

    log: RunLog
    events: Sequence[JournalEvent]


_START = _event(JournalKind.START)
_END = _event(JournalKind.END)
_ONCE = (_START, _END)
_CASES = (
    _Case('whole', '', RunLog(records=[_record()]), _ONCE),
    _Case(
        'two executions of an order',
        'executed twice',
        RunLog(records=[_record()]),
        (*_ONCE, _event(JournalKind.START, target='u')),
    ),
    _Case(
        'two executions of a look-up',
        '',
        RunLog(records=[_record(is_idempotent=True)]),
        (*_ONCE, _event(JournalKind.START, target='u')),
    ),
    _Case(
        'execution after "not run"',
        'executed after not run',
        RunLog(records=[_record(Outcome.NOT_RUN)]),
        _ONCE,
    ),
    _Case(
        '"not run" kept',
        '',
        RunLog(records=[_record(Outcome.NOT_RUN)]),
        (_event(JournalKind.REFUSE),),
    ),
    _Case(
        'answer of another request',
        'foreign answers',
        RunLog(records=[_record(answered_id='s')]),
        _ONCE,
    ),
    _Case(
        'more work than slots',
        'above slots',
        RunLog(records=[_record()]),
        (_event(JournalKind.QUEUE, in_use=_SLOTS + 1), *_ONCE),
    ),
    _Case(
        'cut while stopping',
        'cut by planned stop',
        RunLog(records=[_record(Outcome.CUT)], planned_stops=[_stop(102)]),
        (),
    ),
    _Case(
        'cut by a daemon that never exited',
        'cut by planned stop',
        RunLog(records=[_record(Outcome.CUT)], planned_stops=[_stop(None)]),
        (),
    ),
    _Case(
        'cut at a later process of the VM',
        '',
        RunLog(records=[_record(Outcome.CUT)], planned_stops=[_stop(99.5)]),
        (),
    ),
    _Case(
        'work 4.5 s after the announcement',
        'new work after drain',
        RunLog(records=[_record()], drains=[_drain()]),
        _ONCE,
    ),
    _Case(
        'work after the drain was withdrawn',
        '',
        RunLog(records=[_record()], drains=[_drain(withdrawn=100)]),
        _ONCE,
    ),
    _Case(
        'accepted in time, started later',
        '',
        RunLog(records=[_record()], drains=[_drain()]),
        (_event(JournalKind.QUEUE, time=98, in_use=_SLOTS), *_ONCE),
    ),
)


class VerdictTest(unittest.TestCase):
    """Guards against a broken promise that a run does not report."""

    def test_cases(self) -> None:
        """Each broken promise gives its count and a non-zero exit."""
        for case in _CASES:
            with self.subTest(case.name):
                code, table = self._check(case)
                self.assertEqual(code, 1 if case.broken else 0, table)
                broken = [
                    name
                    for name in _PROMISES
                    if not _row(table, name).endswith(' 0')
                ]
                self.assertEqual(broken, [case.broken] if case.broken else [])

    def test_missing_files(self) -> None:
        """A folder without a run is no good run."""
        with TemporaryDirectory() as name:
            arguments = ['--check', '--out', name]
            self.assertEqual(load_main(arguments), 2)

    def _check(self, case: _Case) -> tuple[int, str]:
        output = io.StringIO()
        with TemporaryDirectory() as name:
            folder = Path(name)
            write_run_log(folder, case.log)
            journals = folder / 'journals'
            journals.mkdir()
            lines = msgspec.json.Encoder().encode_lines(case.events)
            (journals / 't.jsonl').write_bytes(lines)
            with redirect_stdout(output):
                code = load_main(['--check', '--out', name])
        return code, output.getvalue()


_PROMISES = (
    'executed twice',
    'executed after not run',
    'foreign answers',
    'above slots',
    'cut by planned stop',
    'new work after drain',
)


def _row(table: str, name: str) -> str:
    rows = [line for line in table.splitlines() if line.startswith(name)]
    return rows[0]
