"""Commands of plantainstandctl: outputs, exit codes and resends."""

import contextlib
import io
import json
import tempfile
import unittest
from collections.abc import Mapping, Sequence
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType
from typing import Any

import msgspec
from plantainstand_core import load_settings
from plantainstand_ctl import ExitCode, run_command

from tests.catalogue import examples
from tests.ctl.fake_daemon import (
    LOSE_RESPONSE,
    NO_MAJORITY,
    OUTCOME_UNKNOWN,
    FakeDaemon,
    serve,
)

# Nothing listens on port 9 (discard) of the loopback address.
_CLOSED = '127.0.0.1:9'

_ENTRY = json.loads(msgspec.json.encode(examples.region('sul')))
_ENTRIES = json.loads(msgspec.json.encode(examples.ENTRIES))

_DOCUMENTS: Mapping[str, object] = MappingProxyType(
    {
        '-': None,
        'new': _ENTRY,
        'old': _ENTRIES[0],
        'bad': {**_ENTRY, 'zone_delay_ms': -1, 'ower': 'x'},
        'all+new': {'entries': [_ENTRY, *_ENTRIES]},
        'all': {'entries': _ENTRIES},
        'one': {'entries': _ENTRIES[:1]},
        'none': {'entries': []},
        'partial': {'entries': _ENTRIES[2:]},
        'setting': {'limit': 5},
        'misspelt': {'limits': 5},
    }
)

# Command line | document in FILE | exit code | part of the text output
_COMMANDS = """
catalogue list | - | 0 | target/catalogue-2  revision 9
catalogue get region/bajio | - | 0 | revision 1
catalogue get region/x | - | 5 | no entry region/x
catalogue put FILE | new | 0 | put, revision 101
catalogue put FILE --expected-revision 7 | new | 3 | does not exist
catalogue put FILE --expected-revision 0 | old | 3 | "id":"bajio"
catalogue put FILE | bad | 4 | did you mean `owner`?
catalogue put MISSING | - | 4 | MISSING
catalogue remove target/catalogue-1 | - | 0 | removed, revision 101
catalogue remove region/bajio | - | 4 | bajio-a refers to it; remove
catalogue remove region/sul | - | 5 | there is no entry region/sul
catalogue apply FILE | all+new | 0 | put region/sul, revision 101
catalogue apply FILE | all | 0 | as in the file
catalogue apply FILE --prune | one | 0 | remove region/norte, revision 108
catalogue apply FILE --prune --dry-run | none | 0 | would remove region/bajio
catalogue check FILE | partial | 4 | there is no entry region/bajio; add
catalogue check FILE | none | 0 | 0 entries
settings check FILE | setting | 0 | valid
settings check FILE | misspelt | 4 | did you mean
drain announce vm/vm-1 | - | 0 | revision 101
drain announce region/x | - | 4 | no such entry
drain withdraw vm/vm-1 | - | 4 | no drain is announced
drain list | - | 0 |
drain wait vm/vm-1 | - | 0 | drained
drain wait vm/vm-1 --timeout-s 0 | - | 9 | 3 requests in flight, waiting
status vms | - | 0 | vm-2  bajio-a  live, heard  index 3
status vms | - | 0 | vm-3  bajio-a  live, not heard  index unknown
status changes | - | 9 | pending at: vm-2
status changes 5 | - | 9 | revision 5
explain --host h --path /p/ | - | 0 | decision: reject with 404: no route
explain --host h --path /p/ --object k | - | 0 | send to catalogue-1: warm
explain --host h --path /p/ --account a | - | 0 | account denied: unknown key
request show 201 | - | 0 | 201: answered, 20 bytes with status 201
request show 503 | - | 0 | 503: not-run, reason
request show 504 | - | 0 | 504: unknown, reason
request show 410 | - | 0 | 410: expired
request show 400 | - | 4 | reason
request show 404 | - | 5 | reason
request cancel 503 | - | 0 | never will
request cancel 504 | - | 10 | the outcome is unknown
request cancel 201 | - | 10 | the outcome is answered
request cancel 410 | - | 10 | the outcome is expired
request cancel 400 | - | 4 | reason
"""

# Injected faults, exit code, and number of changes that arrive.
_FAULTS: tuple[tuple[Sequence[str], ExitCode, int], ...] = (
    ((LOSE_RESPONSE,), ExitCode.DONE, 2),
    ((OUTCOME_UNKNOWN, LOSE_RESPONSE), ExitCode.DONE, 3),
    ((NO_MAJORITY,), ExitCode.DONE, 2),
    ((NO_MAJORITY,) * 3, ExitCode.NO_MAJORITY, 3),
    ((NO_MAJORITY, LOSE_RESPONSE, NO_MAJORITY), ExitCode.UNKNOWN, 3),
)

_INVALID_LINES = (
    'catalogue list',
    'catalogue list --address x',
    'catalogue list --address https://x:1',
    'catalogue list --address x:1/path',
    'drain wait vm/a --timeout-s nan --address x:1',
    'catalogue get bajio --address x:1',
    'catalogue get zone/bajio-a --address x:1',
    'drain announce vm/a?b --address x:1',
    'status changes -1 --address x:1',
    'explain --host h --address x:1',
    'explain --host h --path p --address x:1',
    'catalogue remove region/a --expected-revision x --address x:1',
)


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    limit: int


def _load_settings(path: Path) -> Any:
    return load_settings(path, _Settings)


class CommandTest(unittest.TestCase):
    """Guards against wrong exit codes, messages and resends."""

    def test_commands(self) -> None:
        """Each command returns its exit code and prints what happened."""
        for row in _COMMANDS.strip().splitlines():
            line, name, code, expected = map(str.strip, row.split('|'))
            for output in ('text', 'json'):
                with self.subTest(line, document=name, output=output):
                    found, text = _run(line, FakeDaemon(), name, output)
                    self.assertEqual(found, int(code), text)
                    self._check_text(text, output, found, expected)

    def test_change_without_pending_vms(self) -> None:
        """The exit code is 0 once no VM is pending: scripts may wait for it."""
        daemon = FakeDaemon()
        daemon.pending = []
        code, _text = _run('status changes 5', daemon)
        self.assertEqual(code, ExitCode.DONE)

    def test_lost_responses(self) -> None:
        """A change without response is resent with its id and applied once."""
        for faults, code, sent in _FAULTS:
            with self.subTest(faults=faults):
                daemon = FakeDaemon(faults)
                found, text = _run('drain announce vm/vm-1', daemon)
                self.assertEqual(found, code)
                self.assertEqual(len(daemon.operation_ids), sent)
                self.assertEqual(len(set(daemon.operation_ids)), 1)
                hint = f'--operation-id {daemon.operation_ids[0]}'
                self.assertEqual(hint in text, code is ExitCode.UNKNOWN)

    def test_repeat_options(self) -> None:
        """The printed options repeat exactly the change of unknown outcome."""
        daemon = FakeDaemon((LOSE_RESPONSE,) * 3)
        line = 'catalogue remove target/catalogue-1'
        code, text = _run(line, daemon)
        self.assertEqual(code, ExitCode.UNKNOWN)
        options = text.partition('repeat the command with ')[2]
        code, text = _run(f'{line} {options}', daemon)
        self.assertEqual(code, ExitCode.DONE, text)
        self.assertIn('revision 101', text)

    def test_unreachable(self) -> None:
        """Unreachable addresses are tried in three rounds before failure."""
        line = f'drain list --address {_CLOSED} --address {_CLOSED}'
        pauses: list[timedelta] = []
        code, text = _run_line(line.split(), pauses)
        self.assertEqual(code, ExitCode.UNREACHABLE)
        self.assertIn(_CLOSED, text)
        self.assertEqual(len(pauses), 2)

    def test_invalid_command_lines(self) -> None:
        """An invalid command line is refused before any request is sent."""
        for line in _INVALID_LINES:
            with self.subTest(line), self.assertRaises(SystemExit) as raised:
                _run_line(line.split(), [])
            self.assertEqual(raised.exception.code, ExitCode.USAGE)

    def test_help(self) -> None:
        """The help of every command lists the exit codes."""
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            with self.assertRaises(SystemExit):
                run_command(['drain', 'wait', '--help'], print, lambda: None)
        for code in ExitCode:
            self.assertRegex(output.getvalue(), rf'\n +{int(code)}  ')

    def _check_text(
        self,
        text: str,
        output: str,
        code: int,
        expected: str,
    ) -> None:
        if output == 'text':
            self.assertIn(expected, text)
            return
        is_failure = code not in {
            ExitCode.DONE,
            ExitCode.PENDING,
            ExitCode.NOT_CANCELLED,
        }
        self.assertEqual('error' in json.loads(text), is_failure)


def _run(
    line: str,
    daemon: FakeDaemon,
    name: str = '-',
    output: str = 'text',
) -> tuple[int, str]:
    with tempfile.TemporaryDirectory() as folder, serve(daemon) as address:
        path = Path(folder) / 'file.jsonc'
        path.write_text(json.dumps(_DOCUMENTS[name]), encoding='utf-8')
        arguments = line.replace('FILE', str(path)).split()
        # The first address is unreachable, so the second is used.
        options = ['--address', _CLOSED, '--address', address]
        return _run_line([*arguments, *options, '--output', output], [])


def _run_line(
    arguments: Sequence[str],
    pauses: list[Any],
) -> tuple[int, str]:
    output = io.StringIO()
    with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
        code = run_command(arguments, pauses.append, lambda: _load_settings)
    return code, output.getvalue()
