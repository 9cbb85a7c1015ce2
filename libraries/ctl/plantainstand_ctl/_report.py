"""Results of commands, and how they are printed."""

import sys
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeAlias

import msgspec
from plantainstand_catalogue import CatalogueProblem
from result import Err, Result

from plantainstand_ctl._exit_codes import ExitCode, Failure


@dataclass(frozen=True)
class Report:
    """Result of a command for both output formats."""

    document: object
    """Printed by ``--output json``."""

    lines: Sequence[str]
    """Printed by ``--output text``."""

    code: ExitCode = ExitCode.DONE


CommandResult: TypeAlias = Result[Report, Failure]


def print_result(outcome: CommandResult, output: str) -> ExitCode:
    """Print a result or failure and return the exit code.

    JSON, also that of a failure, goes to the standard output; the text of a
    failure goes to the standard error.
    """
    failure = outcome.err()
    if failure is None:
        report = outcome.unwrap()
        _print_report(report, output)
        return report.code
    if output == 'json':
        print(render_json({'error': _failure_document(failure)}))
        return failure.code
    print(f'plantainstandctl: {failure.message}', file=sys.stderr)
    for detail in failure.details:
        print(f'  {_detail_line(detail)}', file=sys.stderr)
    return failure.code


def render_json(document: object) -> str:
    """Return indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document)).decode()


def render_line(document: object) -> str:
    """Return JSON on one line."""
    return msgspec.json.encode(document).decode()


def make_report(
    outcome: Result[object, Failure],
    describe: Callable[..., Sequence[str]],
) -> CommandResult:
    """Convert a decoded body to a report with the lines of ``describe``."""
    if isinstance(outcome, Err):
        return outcome
    return outcome.map(lambda body: Report(body, describe(body)))


def _print_report(report: Report, output: str) -> None:
    if output == 'json':
        print(render_json(report.document))
        return
    for line in report.lines:
        print(line)


def _failure_document(failure: Failure) -> object:
    return {
        'exit_code': int(failure.code),
        'name': failure.code.name.lower(),
        'message': failure.message,
        'details': failure.details,
    }


def _detail_line(detail: object) -> str:
    if isinstance(detail, str | CatalogueProblem):
        return str(detail)
    return render_line(detail)
