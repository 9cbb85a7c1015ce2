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
class _Plan:
    """A change that brings the catalogue nearer to a file."""

    entry: AnyEntry
    change: str
    expected: Revision

    def report(self, revision: Revision | None = None) -> ChangeReport:
        """Describe the change, with its revision once it is made."""
        return ChangeReport(self.entry.entry_id, self.change, revision)


def apply_file(
    client: OperatorClient,
    path: Path,
    *,
    prune: bool,
    dry_run: bool,
) -> CommandResult:
    """Bring the catalogue to the state of a file, change by change."""
    loaded = load_file(path)
    if isinstance(loaded, Err):
        return loaded
    listed = client.get(ENTRIES_PATH, EntryList)
    if isinstance(listed, Err):
        return listed
    current = listed.ok_value.entries
    plans = list(_puts(loaded.ok_value, current))
    if prune:
        plans.extend(_removals(loaded.ok_value, current))
    if dry_run:
        return Ok(_apply_report([plan.report() for plan in plans]))
    return _carry_out_all(client, plans)


def _puts(
    wanted: Sequence[AnyEntry],
    current: Sequence[EntryItem],
) -> Iterator[_Plan]:
    known = {item.entry.entry_id: item for item in current}
    for entry in wanted:
        item = known.get(entry.entry_id)
        if item is None:
            yield _Plan(entry, 'put', NO_REVISION)
        elif item.entry != entry:
            yield _Plan(entry, 'put', item.revision)


def _removals(
    wanted: Sequence[AnyEntry],
    current: Sequence[EntryItem],
) -> Iterator[_Plan]:
    kept = {entry.entry_id for entry in wanted}
    revisions = {item.entry.entry_id: item.revision for item in current}
    present = in_reference_order([item.entry for item in current])
    # An entry goes after those that refer to it.
    for entry in reversed(present):
        if entry.entry_id not in kept:
            yield _Plan(entry, 'remove', revisions[entry.entry_id])


def _carry_out_all(
    client: OperatorClient,
    plans: Sequence[_Plan],
) -> CommandResult:
    done: list[ChangeReport] = []
    for plan in plans:
        outcome = _carry_out(client, plan)
        if isinstance(outcome, Err):
            return Err(_stopped(plan, outcome.err_value, len(done), len(plans)))
        done.append(plan.report(outcome.ok_value.revision))
    return Ok(_apply_report(done))


def _stopped(plan: _Plan, failure: Failure, done: int, all_: int) -> Failure:
    return Failure(
        failure.code,
        f'{plan.change} {plan.entry.entry_id}, after {done} of {all_} changes: '
        + f'{failure.message}; applying the file again makes the rest',
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


def _carry_out(
    client: OperatorClient,
    plan: _Plan,
) -> Result[ChangeBody, Failure]:
    entry = plan.entry
    operation_id = new_operation_id()
    if plan.change == 'put':
        return send_put(client, entry, plan.expected, operation_id)
    return send_removal(client, entry.entry_id, plan.expected, operation_id)
