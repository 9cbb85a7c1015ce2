"""Entry point: parses the command line and runs a command."""

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
    _explain_command,
    _log_commands,
    _loss_commands,
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
class _CommandContext:
    """Arguments and dependencies of a command."""

    arguments: argparse.Namespace
    client: OperatorClient
    pause: Pause
    find_loader: FindLoader

    @property
    def operation_id(self) -> OperationId:
        """Operation id from the command line, or a new one."""
        stated = self.arguments.operation_id
        return OperationId(stated) if stated else new_operation_id()


def run_command(
    arguments: Sequence[str],
    pause: Pause,
    find_loader: FindLoader,
) -> int:
    """Run a command line and return its exit code.

    ``pause`` is called with a time to wait; ``find_loader`` returns the loader
    of daemon settings, or None. Raises :exc:`SystemExit` with code 2 for an
    invalid command line.
    """
    parser = build_parser()
    parsed = parser.parse_args(arguments)
    name = f'{parsed.group} {parsed.action}'.rstrip()
    if name not in _OFFLINE_COMMANDS and not parsed.address:
        parser.error('--address is missing; give the address of any daemon')
    client = OperatorClient(parsed.address, pause)
    context = _CommandContext(parsed, client, pause, find_loader)
    return int(print_result(_COMMANDS[name](context), parsed.output))


def main() -> int:
    """Run the command line of the process and return the exit code."""
    return run_command(
        sys.argv[1:],
        lambda wait: time.sleep(wait.total_seconds()),
        find_loader,
    )


def _catalogue_list(context: _CommandContext) -> CommandResult:
    return _catalogue_commands.list_entries(
        context.client, context.arguments.kind
    )


def _catalogue_get(context: _CommandContext) -> CommandResult:
    return _catalogue_commands.get_entry(
        context.client, context.arguments.entry
    )


def _catalogue_put(context: _CommandContext) -> CommandResult:
    return _catalogue_commands.put_entry(
        context.client,
        context.arguments.file,
        context.arguments.expected_revision,
        context.operation_id,
    )


def _catalogue_remove(context: _CommandContext) -> CommandResult:
    return _catalogue_commands.remove_entry(
        context.client,
        context.arguments.entry,
        context.arguments.expected_revision,
        context.operation_id,
    )


def _catalogue_apply(context: _CommandContext) -> CommandResult:
    return apply_file(
        context.client,
        Path(context.arguments.file),
        prune=context.arguments.prune,
        dry_run=context.arguments.dry_run,
    )


def _drain_wait(context: _CommandContext) -> CommandResult:
    return _drain_commands.wait_for_drain(
        context.client,
        context.arguments.subject,
        timedelta(seconds=context.arguments.timeout_s),
        context.pause,
    )


def _drain_change_command(
    change: Callable[[OperatorClient, str, OperationId], CommandResult],
) -> Callable[[_CommandContext], CommandResult]:
    return lambda context: change(
        context.client,
        context.arguments.subject,
        context.operation_id,
    )


def _explain(context: _CommandContext) -> CommandResult:
    arguments = context.arguments
    return _explain_command.explain_request(
        context.client,
        arguments.host,
        arguments.path,
        object_key=arguments.object,
        account=arguments.account,
    )


def _request_command(
    command: Callable[[OperatorClient, RequestId], CommandResult],
) -> Callable[[_CommandContext], CommandResult]:
    return lambda context: command(
        context.client, RequestId(context.arguments.id)
    )


_OFFLINE_COMMANDS = frozenset(
    ('catalogue check', 'settings check', 'logs explain', 'logs causes'),
)

_COMMANDS: Mapping[str, Callable[[_CommandContext], CommandResult]] = (
    MappingProxyType(
        {
            'catalogue list': _catalogue_list,
            'catalogue get': _catalogue_get,
            'catalogue put': _catalogue_put,
            'catalogue remove': _catalogue_remove,
            'catalogue apply': _catalogue_apply,
            'catalogue check': lambda context: _catalogue_commands.check_file(
                Path(context.arguments.file),
            ),
            'settings check': lambda context: check_settings(
                Path(context.arguments.file),
                context.find_loader,
            ),
            'drain announce': _drain_change_command(
                _drain_commands.announce_drain
            ),
            'drain withdraw': _drain_change_command(
                _drain_commands.withdraw_drain
            ),
            'drain list': lambda context: _drain_commands.list_drains(
                context.client
            ),
            'drain wait': _drain_wait,
            'explain': _explain,
            'status vms': lambda context: _status_commands.show_vms(
                context.client
            ),
            'status changes': lambda context: _status_commands.show_change(
                context.client,
                context.arguments.revision,
            ),
            'logs explain': lambda context: _log_commands.explain_request(
                context.arguments.id,
                [Path(name) for name in context.arguments.files],
            ),
            'logs causes': lambda context: _loss_commands.count_causes(
                [Path(name) for name in context.arguments.files],
            ),
            'request show': _request_command(_request_commands.show_request),
            'request cancel': _request_command(
                _request_commands.cancel_request
            ),
        }
    )
)
