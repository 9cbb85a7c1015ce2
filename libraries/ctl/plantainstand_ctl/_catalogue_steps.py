"""Operations that the catalogue commands share."""

from collections.abc import Sequence
from pathlib import Path

from plantainstand_catalogue import AnyEntry, load_catalogue_file
from plantainstand_core import EntryId, OperationId, Revision
from result import Result

from plantainstand_ctl._api import ENTRIES_PATH, ChangeBody, PutEntryBody
from plantainstand_ctl._client import OperatorClient
from plantainstand_ctl._exit_codes import ExitCode, Failure


def send_put(
    client: OperatorClient,
    entry: AnyEntry,
    expected: Revision,
    operation_id: OperationId,
) -> Result[ChangeBody, Failure]:
    """Add an entry, or replace the entry at revision ``expected``."""
    return client.change(
        'PUT',
        entry_path(entry.entry_id),
        _repeat_options(expected, operation_id),
        PutEntryBody(operation_id, expected, entry),
    )


def send_removal(
    client: OperatorClient,
    entry_id: EntryId,
    expected: Revision,
    operation_id: OperationId,
) -> Result[ChangeBody, Failure]:
    """Remove the entry at revision ``expected``."""
    query = f'operation_id={operation_id}&expected_revision={expected}'
    return client.change(
        'DELETE',
        f'{entry_path(entry_id)}?{query}',
        _repeat_options(expected, operation_id),
    )


def _repeat_options(expected: Revision, operation_id: OperationId) -> str:
    # The repeated command must also expect the same revision: if the change was
    # made, the entry has another revision now, and the same operation id with
    # another expected revision would be refused as another change.
    return f'--operation-id {operation_id} --expected-revision {expected}'


def load_file(path: Path) -> Result[Sequence[AnyEntry], Failure]:
    """Load and check a catalogue file."""
    return load_catalogue_file(path).map_err(
        lambda problems: invalid_file(f'{path} is not valid', problems),
    )


def invalid_file(message: str, problems: Sequence[object]) -> Failure:
    """Return the failure that lists the problems of a file."""
    return Failure(ExitCode.INVALID, message, problems)


def entry_path(entry_id: EntryId) -> str:
    """Return the path of an entry in the HTTP API."""
    return f'{ENTRIES_PATH}/{entry_id}'
