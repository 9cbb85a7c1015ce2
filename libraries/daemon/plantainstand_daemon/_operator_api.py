"""HTTP routes for operators, used by ``plantainstandctl``."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from http import HTTPStatus
from typing import Annotated

import msgspec
from plantainstand_catalogue import (
    AnnounceDrain,
    AnyEntry,
    CatalogueCommand,
    CatalogueProblem,
    CatalogueView,
    ChangeAccepted,
    ChangeInvalid,
    ChangeOutcome,
    DrainSubjectKind,
    PutEntry,
    RemoveEntry,
    RevisionConflict,
    WithdrawDrain,
    parse_entry,
)
from plantainstand_core import (
    EntryId,
    OperationId,
    Revision,
    convert_settings,
)
from plantainstand_protocol.steering_pb2 import ReportReply
from result import Err, Ok, Result

from plantainstand_daemon._control_problems import (
    ControlFailure,
    ControlProblem,
)
from plantainstand_daemon._control_state import ControlView
from plantainstand_daemon._http import (
    HttpRequest,
    HttpResponse,
    error_response,
    json_response,
    whole_number,
)
from plantainstand_daemon._progress import (
    change_progress,
    drain_progress,
    vm_reports,
)

_MAX_BODY_BYTES = 65536
_ENTRY_PATH_SEGMENT_COUNT = 2
# 2**53 - 1, the largest integer that every JSON reader represents exactly.
# MessagePack is limited to 64 bits.
_MAX_REVISION = 9007199254740991


class _PutBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    operation_id: Annotated[str, msgspec.Meta(min_length=1)]
    expected_revision: Annotated[int, msgspec.Meta(ge=0, le=_MAX_REVISION)]
    entry: Mapping[str, object]


@dataclass(frozen=True)
class OperatorPort:
    """Functions of the daemon that the operator routes use; thread-safe."""

    view: Callable[[], ControlView]
    change: Callable[
        [CatalogueCommand],
        Result[ChangeOutcome, ControlProblem],
    ]
    report: Callable[[], Result[ReportReply, ControlProblem]]


def handle_entries(port: OperatorPort, request: HttpRequest) -> HttpResponse:
    """Handle ``/operator/v1/entries`` and ``.../<kind>/<id>``."""
    if not request.segments and request.method == 'GET':
        return _list_entries(port.view().catalogue)
    if len(request.segments) != _ENTRY_PATH_SEGMENT_COUNT:
        return error_response(
            HTTPStatus.NOT_FOUND,
            'the path must be /operator/v1/entries/<kind>/<id>',
        )
    entry_id = EntryId('/'.join(request.segments))
    match request.method:
        case 'GET':
            return _get_entry(port.view().catalogue, entry_id)
        case 'PUT':
            return _put_entry(port, entry_id, request)
        case 'DELETE':
            return _remove_entry(port, entry_id, request)
    return error_response(
        HTTPStatus.METHOD_NOT_ALLOWED,
        'use GET, PUT or DELETE',
    )


def handle_drains(port: OperatorPort, request: HttpRequest) -> HttpResponse:
    """Handle ``/operator/v1/drains`` and ``.../<kind>/<id>``."""
    if not request.segments and request.method == 'GET':
        return _list_drains(port.view().catalogue)
    if len(request.segments) != _ENTRY_PATH_SEGMENT_COUNT:
        return error_response(
            HTTPStatus.NOT_FOUND,
            'the path must be /operator/v1/drains/<kind>/<id>',
        )
    try:
        kind = DrainSubjectKind(request.segments[0])
    except ValueError:
        known = ', '.join(member.value for member in DrainSubjectKind)
        return error_response(
            HTTPStatus.NOT_FOUND,
            f'`{request.segments[0]}` cannot be drained; use one of {known}',
        )
    return _handle_drain(port, request, kind, request.segments[1])


def handle_vms(port: OperatorPort, request: HttpRequest) -> HttpResponse:
    """Handle ``GET /operator/v1/vms``."""
    report = port.report()
    if isinstance(report, Err):
        return _control_response(report.err_value)
    return json_response(
        HTTPStatus.OK,
        {
            'leader': report.ok_value.leader,
            'commit_index': report.ok_value.commit_index,
            'voters': list(report.ok_value.voters),
            'vms': vm_reports(port.view(), report.ok_value),
        },
    )


def handle_changes(port: OperatorPort, request: HttpRequest) -> HttpResponse:
    """Handle ``GET /operator/v1/changes/<revision>``."""
    revision = whole_number(request.segments[0]) if request.segments else None
    if len(request.segments) != 1 or revision is None:
        return error_response(
            HTTPStatus.NOT_FOUND,
            'the path must be /operator/v1/changes/<revision>',
        )
    report = port.report()
    if isinstance(report, Err):
        return _control_response(report.err_value)
    return json_response(
        HTTPStatus.OK,
        change_progress(port.view(), report.ok_value, revision),
    )


def _list_entries(catalogue: CatalogueView) -> HttpResponse:
    return json_response(
        HTTPStatus.OK,
        {
            'revision': catalogue.revision,
            'entries': [
                {'revision': found.revision, 'entry': found.entry}
                for found in catalogue.entries.values()
            ],
        },
    )


def _get_entry(catalogue: CatalogueView, entry_id: EntryId) -> HttpResponse:
    found = catalogue.entries.get(entry_id)
    if found is None:
        return error_response(
            HTTPStatus.NOT_FOUND,
            f'the catalogue has no entry `{entry_id}`',
        )
    return json_response(
        HTTPStatus.OK,
        {'revision': found.revision, 'entry': found.entry},
    )


def _put_entry(
    port: OperatorPort,
    entry_id: EntryId,
    request: HttpRequest,
) -> HttpResponse:
    body = request.read_body(_MAX_BODY_BYTES)
    if body is None:
        return error_response(
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            f'the body must not exceed {_MAX_BODY_BYTES} bytes',
        )
    parsed = _parse_put(body, entry_id)
    if isinstance(parsed, Err):
        return _problems_response(parsed.err_value)
    return _propose_change(port, parsed.ok_value)


def _parse_put(
    body: bytes,
    entry_id: EntryId,
) -> Result[PutEntry, Sequence[str]]:
    try:
        document = msgspec.json.decode(body)
    except msgspec.DecodeError as problem:
        return Err([f'the body is not valid JSON: {problem}'])
    converted = convert_settings(document, _PutBody, 'body')
    if isinstance(converted, Err):
        return Err([str(converted.err_value)])
    put = converted.ok_value
    entry = parse_entry(put.entry, entry_id)
    if isinstance(entry, Err):
        return Err([str(problem) for problem in entry.err_value])
    if entry.ok_value.entry_id != entry_id:
        return Err(
            [
                f'the body contains `{entry.ok_value.entry_id}`, '
                f'but the path names `{entry_id}`',
            ]
        )
    return Ok(_put_command(put, entry.ok_value))


def _put_command(put: _PutBody, entry: AnyEntry) -> PutEntry:
    return PutEntry(
        OperationId(put.operation_id),
        entry,
        Revision(put.expected_revision),
    )


def _remove_entry(
    port: OperatorPort,
    entry_id: EntryId,
    request: HttpRequest,
) -> HttpResponse:
    operation_id = request.query.get('operation_id', '')
    expected = whole_number(request.query.get('expected_revision', ''))
    if not operation_id or expected is None:
        return error_response(
            HTTPStatus.BAD_REQUEST,
            'the query must have `operation_id` and a whole number as '
            '`expected_revision`',
        )
    return _propose_change(
        port,
        RemoveEntry(
            OperationId(operation_id),
            entry_id,
            Revision(expected),
        ),
    )


def _list_drains(catalogue: CatalogueView) -> HttpResponse:
    drains = [
        {'kind': subject.kind, 'id': subject.name, 'revision': revision}
        for subject, revision in catalogue.drains.items()
    ]
    return json_response(HTTPStatus.OK, {'drains': drains})


def _handle_drain(
    port: OperatorPort,
    request: HttpRequest,
    kind: DrainSubjectKind,
    name: str,
) -> HttpResponse:
    if request.method == 'GET':
        report = port.report()
        if isinstance(report, Err):
            return _control_response(report.err_value)
        return json_response(
            HTTPStatus.OK,
            drain_progress(port.view(), report.ok_value, kind, name),
        )
    operation_id = OperationId(request.query.get('operation_id', ''))
    if not operation_id:
        return error_response(
            HTTPStatus.BAD_REQUEST,
            'the query must have `operation_id`',
        )
    if request.method == 'PUT':
        return _propose_change(port, AnnounceDrain(operation_id, kind, name))
    if request.method == 'DELETE':
        return _propose_change(port, WithdrawDrain(operation_id, kind, name))
    return error_response(
        HTTPStatus.METHOD_NOT_ALLOWED,
        'use GET, PUT or DELETE',
    )


def _propose_change(
    port: OperatorPort, command: CatalogueCommand
) -> HttpResponse:
    changed = port.change(command)
    if isinstance(changed, Err):
        return _control_response(changed.err_value)
    match changed.ok_value:
        case ChangeAccepted(revision):
            return json_response(HTTPStatus.OK, {'revision': revision})
        case RevisionConflict() as conflict:
            return json_response(
                HTTPStatus.CONFLICT,
                {
                    'error': 'conflict',
                    'message': 'another change was committed first',
                    'current_revision': conflict.current_revision,
                    'current': conflict.current,
                },
            )
        case ChangeInvalid() as invalid:
            return _problems_response(invalid.problems)


def _problems_response(
    problems: Sequence[CatalogueProblem | str],
) -> HttpResponse:
    return json_response(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        {
            'error': 'invalid change',
            'message': 'nothing was changed; correct the listed `problems`',
            'problems': [str(problem) for problem in problems],
        },
    )


def _control_response(problem: ControlProblem) -> HttpResponse:
    status = HTTPStatus.SERVICE_UNAVAILABLE
    advice = 'nothing was changed; try again when a majority is reachable'
    if problem.failure is ControlFailure.OUTCOME_UNKNOWN:
        status = HTTPStatus.GATEWAY_TIMEOUT
        advice = 'the change may be committed; send it again to find out'
    return error_response(status, f'{problem.message}; {advice}')
