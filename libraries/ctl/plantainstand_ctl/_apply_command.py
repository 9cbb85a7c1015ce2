"""Command ``catalogue apply``."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

from plantainstand_catalogue import NO_REVISION, AnyEntry, in_reference_order
from plantainstand_core import Revision
from result import Err, Ok, Result

from plantainstand_ctl._api import (
    ENTRIES_PATH,
    ChangeBody,
    ChangeReport,
    EntryItem,
    EntryList,
)
from plantainstand_ctl._catalogue_steps import (
    load_file,
    send_put,
    send_removal,
)
from plantainstand_ctl._client import OperatorClient, new_operation_id
from plantainstand_ctl._exit_codes import Failure
from plantainstand_ctl._report import CommandResult, Report


@dataclass(frozen=True)
class _PlannedChange:
    """A change that the catalogue needs to match a file."""

    entry: AnyEntry
    action: str
    expected_revision: Revision

    def report(self, revision: Revision | None = None) -> ChangeReport:
        """Return the report of the change; it has a revision once applied."""
        return ChangeReport(self.entry.entry_id, self.action, revision)


def apply_file(
    client: OperatorClient,
    path: Path,
    *,
    prune: bool,
    dry_run: bool,
) -> CommandResult:
    """Change the catalogue entry by entry until it matches a file.

    ``prune`` also removes entries that the file does not have. ``dry_run``
    reports the changes without sending them.
    """
    loaded = load_file(path)
    if isinstance(loaded, Err):
        return loaded
    listed = client.get(ENTRIES_PATH, EntryList)
    if isinstance(listed, Err):
        return listed
    current = listed.ok_value.entries
    changes = list(_planned_puts(loaded.ok_value, current))
    if prune:
        changes.extend(_planned_removals(loaded.ok_value, current))
    if dry_run:
        return Ok(_apply_report([change.report() for change in changes]))
    return _send_all(client, changes)


def _planned_puts(
    desired: Sequence[AnyEntry],
    current: Sequence[EntryItem],
) -> Iterator[_PlannedChange]:
    known = {item.entry.entry_id: item for item in current}
    for entry in desired:
        item = known.get(entry.entry_id)
        if item is None:
            yield _PlannedChange(entry, 'put', NO_REVISION)
        elif item.entry != entry:
            yield _PlannedChange(entry, 'put', item.revision)


def _planned_removals(
    desired: Sequence[AnyEntry],
    current: Sequence[EntryItem],
) -> Iterator[_PlannedChange]:
    kept = {entry.entry_id for entry in desired}
    revisions = {item.entry.entry_id: item.revision for item in current}
    present = in_reference_order([item.entry for item in current])
    # An entry can be removed only after the entries that refer to it.
    for entry in reversed(present):
        if entry.entry_id not in kept:
            yield _PlannedChange(entry, 'remove', revisions[entry.entry_id])


def _send_all(
    client: OperatorClient,
    changes: Sequence[_PlannedChange],
) -> CommandResult:
    done: list[ChangeReport] = []
    for change in changes:
        outcome = _send_change(client, change)
        if isinstance(outcome, Err):
            return Err(
                _partial_failure(
                    change, outcome.err_value, len(done), len(changes)
                )
            )
        done.append(change.report(outcome.ok_value.revision))
    return Ok(_apply_report(done))


def _partial_failure(
    change: _PlannedChange, failure: Failure, done: int, total: int
) -> Failure:
    return Failure(
        failure.code,
        f'{change.action} {change.entry.entry_id}, after {done} of {total} '
        + f'changes: {failure.message}; apply the file again to make the rest',
        failure.details,
    )


def _apply_report(changes: Sequence[ChangeReport]) -> Report:
    lines = [_change_line(change) for change in changes]
    return Report(
        {'changes': changes},
        lines or ('the catalogue is as in the file',),
    )


def _change_line(change: ChangeReport) -> str:
    if change.revision is None:
        return f'would {change.change} {change.entry}'
    return f'{change.change} {change.entry}, revision {change.revision}'


def _send_change(
    client: OperatorClient,
    change: _PlannedChange,
) -> Result[ChangeBody, Failure]:
    entry = change.entry
    operation_id = new_operation_id()
    if change.action == 'put':
        return send_put(client, entry, change.expected_revision, operation_id)
    return send_removal(
        client, entry.entry_id, change.expected_revision, operation_id
    )
