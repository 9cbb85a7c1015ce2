"""Commands ``catalogue ...`` except ``apply``."""

import sys
from pathlib import Path

from plantainstand_catalogue import NO_REVISION, AnyEntry, parse_entry
from plantainstand_core import EntryId, OperationId, Revision, parse_settings
from result import Err, Ok, Result

from plantainstand_ctl._api import ENTRIES_PATH, EntryItem, EntryList
from plantainstand_ctl._catalogue_steps import (
    entry_path,
    invalid_file,
    load_file,
    send_put,
    send_removal,
)
from plantainstand_ctl._client import OperatorClient
from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import (
    CommandResult,
    Report,
    make_report,
    render_json,
    render_line,
)


def list_entries(client: OperatorClient, kind: str | None) -> CommandResult:
    """List the entries of a kind, or all entries."""
    listed = client.get(ENTRIES_PATH, EntryList)
    if isinstance(listed, Err):
        return listed
    selected = [
        item
        for item in listed.ok_value.entries
        if kind in {None, item.entry.kind}
    ]
    lines = [_entry_line(item) for item in selected]
    document = EntryList(listed.ok_value.revision, selected)
    return Ok(Report(document, lines))


def get_entry(client: OperatorClient, entry_id: EntryId) -> CommandResult:
    """Show one entry and its revision."""
    return make_report(
        client.get(entry_path(entry_id), EntryItem),
        lambda item: (f'revision {item.revision}', render_json(item.entry)),
    )


def put_entry(
    client: OperatorClient,
    file_name: str,
    expected: Revision | None,
    operation_id: OperationId,
) -> CommandResult:
    """Add or replace the entry in a file; ``-`` is the standard input."""
    entry = _read_entry(file_name)
    if isinstance(entry, Err):
        return entry
    entry_id = entry.ok_value.entry_id
    revision = _expected_revision(client, entry_id, expected)
    if isinstance(revision, Err):
        return revision
    return make_report(
        send_put(client, entry.ok_value, revision.ok_value, operation_id),
        lambda done: (f'{entry_id}: put, revision {done.revision}',),
    )


def remove_entry(
    client: OperatorClient,
    entry_id: EntryId,
    expected: Revision | None,
    operation_id: OperationId,
) -> CommandResult:
    """Remove an entry."""
    revision = _expected_revision(client, entry_id, expected)
    if isinstance(revision, Err):
        return revision
    if not revision.ok_value:
        message = f'there is no entry {entry_id}; check the kind and the name'
        return Err(Failure(ExitCode.NOT_FOUND, message))
    return make_report(
        send_removal(client, entry_id, revision.ok_value, operation_id),
        lambda done: (f'{entry_id}: removed, revision {done.revision}',),
    )


def check_file(path: Path) -> CommandResult:
    """Check a catalogue file without a daemon."""
    loaded = load_file(path)
    if isinstance(loaded, Err):
        return loaded
    count = len(loaded.ok_value)
    return Ok(Report({'entries': count}, (f'{path}: {count} entries, valid',)))


def _expected_revision(
    client: OperatorClient,
    entry_id: EntryId,
    stated: Revision | None,
) -> Result[Revision, Failure]:
    if stated is not None:
        return Ok(stated)
    item = client.get(entry_path(entry_id), EntryItem)
    if isinstance(item, Ok):
        return Ok(item.ok_value.revision)
    if item.err_value.code is ExitCode.NOT_FOUND:
        return Ok(NO_REVISION)
    return item


def _read_entry(file_name: str) -> Result[AnyEntry, Failure]:
    try:
        text = _read_text(file_name)
    except (OSError, UnicodeDecodeError) as problem:
        return Err(Failure(ExitCode.INVALID, f'{file_name}: {problem}'))
    document = parse_settings(text, dict[str, object], file_name)
    if isinstance(document, Err):
        return Err(Failure(ExitCode.INVALID, str(document.err_value)))
    entry = parse_entry(document.ok_value, file_name)
    return entry.map_err(
        lambda problems: invalid_file(f'{file_name} is not valid', problems),
    )


def _read_text(file_name: str) -> str:
    if file_name == '-':
        return sys.stdin.read()
    return Path(file_name).read_text(encoding='utf-8')


def _entry_line(item: EntryItem) -> str:
    entry = item.entry
    return f'{entry.entry_id}  revision {item.revision}  {render_line(entry)}'
