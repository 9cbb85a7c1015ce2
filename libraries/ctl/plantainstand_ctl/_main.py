"""Entry point: reads the command line and runs one command."""

import argparse
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from types import MappingProxyType

from plantainstand_core import OperationId, RequestId

from plantainstand_ctl import (
    _catalogue_commands,
    _drain_commands,
    _log_commands,
    _request_commands,
    _status_commands,
)
from plantainstand_ctl._apply_command import apply_file
from plantainstand_ctl._arguments import build_parser
from plantainstand_ctl._client import OperatorClient, Pause, new_operation_id
from plantainstand_ctl._report import CommandResult, print_result
from plantainstand_ctl._settings_commands import (
    FindLoader,
    check_settings,
    find_loader,
)


@dataclass(frozen=True)
class _Call:
    """What a command works with."""

    arguments: argparse.Namespace
    client: OperatorClient
    pause: Pause
    find_loader: FindLoader

    @property
    def operation_id(self) -> OperationId:
        """Operation id of the command line, or a new one."""
        stated = self.arguments.operation_id
        return OperationId(stated) if stated else new_operation_id()


def run_command(
    arguments: Sequence[str],
    pause: Pause,
    find_loader: FindLoader,
) -> int:
    """Run a command line; return its exit code.

    Raises :exc:`SystemExit` with code 2 for a wrong command line.
    """
    parser = build_parser()
    parsed = parser.parse_args(arguments)
    name = f'{parsed.group} {parsed.action}'
    if name not in _OFFLINE and not parsed.address:
        parser.error('--address is missing; give the address of any daemon')
    client = OperatorClient(parsed.address, pause)
    call = _Call(parsed, client, pause, find_loader)
    return int(print_result(_COMMANDS[name](call), parsed.output))


def main() -> int:
    """Run the command line of the process."""
    return run_command(
        sys.argv[1:],
        lambda wait: time.sleep(wait.total_seconds()),
        find_loader,
    )


def _catalogue_list(call: _Call) -> CommandResult:
    return _catalogue_commands.list_entries(call.client, call.arguments.kind)


def _catalogue_get(call: _Call) -> CommandResult:
    return _catalogue_commands.get_entry(call.client, call.arguments.entry)


def _catalogue_put(call: _Call) -> CommandResult:
    return _catalogue_commands.put_entry(
        call.client,
        call.arguments.file,
        call.arguments.expected_revision,
        call.operation_id,
    )


def _catalogue_remove(call: _Call) -> CommandResult:
    return _catalogue_commands.remove_entry(
        call.client,
        call.arguments.entry,
        call.arguments.expected_revision,
        call.operation_id,
    )


def _catalogue_apply(call: _Call) -> CommandResult:
    return apply_file(
        call.client,
        Path(call.arguments.file),
        prune=call.arguments.prune,
        dry_run=call.arguments.dry_run,
    )


def _drain_wait(call: _Call) -> CommandResult:
    return _drain_commands.wait_for_drain(
        call.client,
        call.arguments.subject,
        timedelta(seconds=call.arguments.timeout_s),
        call.pause,
    )


def _drain_change(
    change: Callable[[OperatorClient, str, OperationId], CommandResult],
) -> Callable[[_Call], CommandResult]:
    return lambda call: change(
        call.client,
        call.arguments.subject,
        call.operation_id,
    )


def _request(
    command: Callable[[OperatorClient, RequestId], CommandResult],
) -> Callable[[_Call], CommandResult]:
    return lambda call: command(call.client, RequestId(call.arguments.id))


_OFFLINE = frozenset(
    ('catalogue check', 'settings check', 'logs explain'),
)

_COMMANDS: Mapping[str, Callable[[_Call], CommandResult]] = MappingProxyType(
    {
        'catalogue list': _catalogue_list,
        'catalogue get': _catalogue_get,
        'catalogue put': _catalogue_put,
        'catalogue remove': _catalogue_remove,
        'catalogue apply': _catalogue_apply,
        'catalogue check': lambda call: _catalogue_commands.check_file(
            Path(call.arguments.file),
        ),
        'settings check': lambda call: check_settings(
            Path(call.arguments.file),
            call.find_loader,
        ),
        'drain announce': _drain_change(_drain_commands.announce_drain),
        'drain withdraw': _drain_change(_drain_commands.withdraw_drain),
        'drain list': lambda call: _drain_commands.list_drains(call.client),
        'drain wait': _drain_wait,
        'status vms': lambda call: _status_commands.show_vms(call.client),
        'status changes': lambda call: _status_commands.show_change(
            call.client,
            call.arguments.revision,
        ),
        'logs explain': lambda call: _log_commands.explain_request(
            call.arguments.id,
            [Path(name) for name in call.arguments.files],
        ),
        'request show': _request(_request_commands.show_request),
        'request cancel': _request(_request_commands.cancel_request),
    }
)
