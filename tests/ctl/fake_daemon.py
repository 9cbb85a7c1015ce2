"""Fake operators' API on a loopback address, with a real catalogue state."""

import threading
from collections.abc import Iterator, Mapping, Sequence
from contextlib import ExitStack, contextmanager
from functools import partial
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from types import MappingProxyType
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import plantainstand_catalogue as catalogue
import plantainstand_ctl as ctl
from plantainstand_core import EntryId, LogIndex, OperationId, Revision, VmId

from tests.catalogue import examples

# Faults that a test can inject, one for each change that arrives.
LOSE_RESPONSE = 'the change is applied and the connection closed'
OUTCOME_UNKNOWN = 'the change is applied and 504 returned'
NO_MAJORITY = 'nothing is applied and 503 returned'

Reply = tuple[int, object]

# A request id in a test is the status of the response about that request.
_OUTCOMES_BY_STATUS: Mapping[int, str] = MappingProxyType(
    {
        201: 'answered',
        503: 'not-run',
        504: 'unknown',
    }
)


class FakeDaemon:
    """Handles requests with a catalogue state and a list of faults."""

    def __init__(self, faults: Sequence[str] = ()):
        """Start with the example catalogue."""
        self.state = examples.filled_state()
        self.faults = list(faults)
        self.index = 100
        self.operation_ids: list[str] = []
        self.progress = [ctl.DrainState.DRAINING, ctl.DrainState.DRAINED]
        self.pending = ['vm-2']

    def reply(self, method: str, path: str, body: bytes) -> Reply | None:
        """Return status and body; None to close the connection."""
        url = urlsplit(path)
        if url.path == '/explain':
            return _explain(parse_qs(url.query))
        if '/v1/requests/' in url.path:
            status = int(url.path.rpartition('/')[2])
            return status, ctl.ErrorBody('reason')
        if method == 'GET':
            return self._read(url.path.split('/')[3:])
        query = {name: found[0] for name, found in parse_qs(url.query).items()}
        command = _command(method, url.path.split('/')[3:], query, body)
        return self._change(command)

    def _change(self, command: catalogue.CatalogueCommand) -> Reply | None:
        fault = self.faults.pop(0) if self.faults else None
        self.operation_ids.append(command.operation_id)
        if fault == NO_MAJORITY:
            return 503, ctl.ErrorBody('no majority')
        self.index += 1
        outcome = self.state.apply(command, LogIndex(self.index))
        if fault == OUTCOME_UNKNOWN:
            return 504, ctl.ErrorBody('not known yet')
        return None if fault == LOSE_RESPONSE else _outcome_reply(outcome)

    def _read(self, parts: Sequence[str]) -> Reply:
        view = self.state.view()
        match parts:
            case ['entries']:
                items = [ctl.EntryItem(*row) for row in view.entries.values()]
                return 200, ctl.EntryList(view.revision, items)
            case ['entries', kind, name]:
                found = view.entries.get(EntryId(f'{kind}/{name}'))
                if found is None:
                    return 404, ctl.ErrorBody(f'no entry {kind}/{name}')
                return 200, ctl.EntryItem(*found)
            case ['drains']:
                return 200, {
                    'drains': [_drain(*row) for row in view.drains.items()]
                }
            case ['drains', _, _]:
                return 200, ctl.DrainProgress(self.progress.pop(0), 3, ['vm-1'])
        return self._read_status(parts)

    def _read_status(self, parts: Sequence[str]) -> Reply:
        zone = examples.target('any').availability_zone
        pending = [VmId(vm) for vm in self.pending]
        match parts:
            case ['vms']:
                vm = ctl.VmItem(VmId('vm-2'), zone, 'live', True, LogIndex(3))
                new = ctl.VmItem(VmId('vm-3'), zone, 'live', False)
                return 200, ctl.VmList('vm-1', LogIndex(4), ['vm-1'], [vm, new])
            case ['changes', revision]:
                number = Revision(int(revision))
                return 200, ctl.ChangeStatus(number, [], pending)
        return 200, 'not the expected body'


def _explain(query: Mapping[str, Sequence[str]]) -> Reply:
    route = {'name': query['host'][0], 'version': 3}
    if 'account' in query:
        decision = {'outcome': 'reject', 'reason': 'unknown key', 'status': 401}
        denied = {'denial': 'unknown key', 'requires_keys': True}
        return 200, {'decision': decision, 'route': route, **denied}
    if 'object' not in query:
        decision = {'outcome': 'reject', 'reason': 'no route', 'status': 404}
        return 200, {'decision': decision}
    decision = {'outcome': 'send', 'reason': 'warm', 'target': 'catalogue-1'}
    return 200, {'decision': decision, 'route': route, 'rank': 0}


def _drain(subject: catalogue.DrainSubject, put: Revision) -> ctl.DrainItem:
    kind = catalogue.DrainSubjectKind(subject.kind)
    return ctl.DrainItem(kind, subject.name, put)


def _command(
    method: str,
    parts: Sequence[str],
    query: dict[str, str],
    body: bytes,
) -> catalogue.CatalogueCommand:
    kind, name = parts[1:]
    if parts[0] == 'drains':
        operation_id = OperationId(query['operation_id'])
        subject = catalogue.DrainSubjectKind(kind), name
        if method == 'PUT':
            return catalogue.AnnounceDrain(operation_id, *subject)
        return catalogue.WithdrawDrain(operation_id, *subject)
    if method == 'PUT':
        put = msgspec.json.decode(body, type=ctl.PutEntryBody)
        return examples.put(put.entry, put.operation_id, put.expected_revision)
    return catalogue.RemoveEntry(
        OperationId(query['operation_id']),
        EntryId(f'{kind}/{name}'),
        Revision(int(query['expected_revision'])),
    )


def _outcome_reply(outcome: catalogue.ChangeOutcome) -> Reply:
    match outcome:
        case catalogue.ChangeAccepted():
            return 200, ctl.ChangeBody(outcome.revision)
        case catalogue.RevisionConflict():
            return 409, ctl.ConflictBody(
                outcome.current_revision, outcome.current
            )
        case catalogue.ChangeInvalid():
            return 422, ctl.InvalidBody(tuple(map(str, outcome.problems)))


class _Handler(BaseHTTPRequestHandler):
    def __init__(self, daemon: FakeDaemon, *arguments: Any):
        self._daemon = daemon
        super().__init__(*arguments)

    def log_message(self, *_arguments: object) -> None:
        """Suppress the log lines of the HTTP server."""

    def do_GET(self) -> None:
        self._serve()

    def do_PUT(self) -> None:
        self._serve()

    def do_DELETE(self) -> None:
        self._serve()

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        reply = self._daemon.reply(self.command, self.path, body)
        if reply is None:
            return
        payload = msgspec.json.encode(reply[1])
        self.send_response(reply[0])
        self.send_header('Content-Length', str(len(payload)))
        if reply[0] in _OUTCOMES_BY_STATUS and '/v1/requests/' in self.path:
            self.send_header('Request-Outcome', _OUTCOMES_BY_STATUS[reply[0]])
        self.end_headers()
        self.wfile.write(payload)


@contextmanager
def serve(daemon: FakeDaemon) -> Iterator[str]:
    """Serve a fake daemon on a free port; yield its address."""
    with ExitStack() as stack:
        server = ThreadingHTTPServer(
            ('127.0.0.1', 0),
            partial(_Handler, daemon),
        )
        stack.callback(server.server_close)
        thread = threading.Thread(target=server.serve_forever, args=(0.01,))
        thread.start()
        stack.callback(thread.join)
        stack.callback(server.shutdown)
        yield f'127.0.0.1:{server.server_port}'
