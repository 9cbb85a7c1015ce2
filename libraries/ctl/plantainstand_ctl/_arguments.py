"""Command-line parser of plantainstandctl."""

import argparse
from typing import Any

from plantainstand_catalogue import ENTRY_TYPES

from plantainstand_ctl import _argument_types as argument_types
from plantainstand_ctl._exit_codes import exit_code_help

_DEFAULT_WAIT_SECONDS = 60

_DESCRIPTION = """\
Changes and shows the catalogue, drains and status of plantainstand.

Every command that talks to daemons needs --address; any daemon will do. The
addresses are tried in order, several times. A change whose response is lost is
sent again with the same operation id, so it takes effect once."""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog='plantainstandctl',
        description=_DESCRIPTION,
        epilog=exit_code_help(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_common(parser, [], 'text')
    groups = parser.add_subparsers(dest='group', required=True)
    _add_catalogue(groups)
    _add_drain(groups)
    _add_settings(groups)
    _add_status(groups)
    _add_request(groups)
    _add_logs(groups)
    _add_explain(groups)
    return parser


def _add_catalogue(groups: Any) -> None:
    actions = _group(groups, 'catalogue', 'show and change catalogue entries')
    listing = _action(actions, 'list', 'list entries')
    listing.add_argument('--kind', choices=tuple(ENTRY_TYPES))
    showing = _action(actions, 'get', 'show an entry and its revision')
    _add_entry_id(showing)
    putting = _action(actions, 'put', 'add or replace an entry')
    putting.add_argument('file', help='JSON with comments; - for stdin')
    _add_change(putting)
    removing = _action(actions, 'remove', 'remove an entry')
    _add_entry_id(removing)
    _add_change(removing)
    applying = _action(actions, 'apply', 'put what differs from a file')
    applying.add_argument('file')
    applying.add_argument(
        '--prune',
        action='store_true',
        help='also remove entries that are not in the file',
    )
    applying.add_argument(
        '--dry-run',
        action='store_true',
        help='only show what would be changed',
    )
    checking = _action(actions, 'check', 'check a file without a daemon')
    checking.add_argument('file')


def _add_drain(groups: Any) -> None:
    actions = _group(groups, 'drain', 'announce and follow planned stops')
    announcing = _action(actions, 'announce', 'give no new work to a subject')
    _add_subject(announcing)
    _add_operation_id(announcing)
    withdrawing = _action(actions, 'withdraw', 'allow new work again')
    _add_subject(withdrawing)
    _add_operation_id(withdrawing)
    _action(actions, 'list', 'list announced drains')
    waiting = _action(actions, 'wait', 'wait until a drain has ended')
    _add_subject(waiting)
    waiting.add_argument(
        '--timeout-s',
        type=argument_types.seconds,
        default=_DEFAULT_WAIT_SECONDS,
    )


def _add_settings(groups: Any) -> None:
    actions = _group(groups, 'settings', 'check settings')
    checking = _action(actions, 'check', "check a daemon's settings file")
    checking.add_argument('file')


def _add_status(groups: Any) -> None:
    actions = _group(groups, 'status', 'show the state of the system')
    _action(actions, 'vms', 'list the VMs')
    changes = _action(actions, 'changes', 'show where a change is in force')
    changes.add_argument(
        'revision',
        nargs='?',
        type=argument_types.revision,
        help='by default the newest change',
    )


def _add_request(groups: Any) -> None:
    actions = _group(groups, 'request', 'show and cancel requests')
    for name, text in (
        ('show', 'show the recorded outcome of a request'),
        ('cancel', 'cancel a request that has not run'),
    ):
        _action(actions, name, text).add_argument('id', metavar='ID')


def _add_logs(groups: Any) -> None:
    actions = _group(groups, 'logs', 'read collected logs without a daemon')
    text = 'show the log lines of a request and of its VM shortly before'
    explaining = _action(actions, 'explain', text)
    explaining.add_argument('id', metavar='ID')
    explaining.add_argument('files', metavar='FILE', nargs='+')
    text = 'count why requests were not answered in time'
    counting = _action(actions, 'causes', text)
    counting.add_argument('files', metavar='FILE', nargs='+')


def _add_explain(groups: Any) -> None:
    text = 'explain where an entry VM would send a request now'
    explaining = _action(groups, 'explain', text)
    explaining.set_defaults(action='')
    explaining.add_argument('--host', required=True)
    explaining.add_argument(
        '--path', required=True, type=argument_types.request_path
    )
    explaining.add_argument(
        '--object',
        metavar='KEY',
        help='key of the object that the request states',
    )
    explaining.add_argument(
        '--account',
        metavar='NAME',
        help='name of the account that holds the key of the request; give '
        + 'no key',
    )
    explaining.add_argument(
        '--json',
        action='store_const',
        dest='output',
        const='json',
        default=argparse.SUPPRESS,
        help='as --output json',
    )


def _group(groups: Any, name: str, text: str) -> Any:
    parser = groups.add_parser(name, help=text, description=text)
    return parser.add_subparsers(dest='action', required=True)


def _action(actions: Any, name: str, text: str) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = actions.add_parser(
        name,
        help=text,
        description=text,
        epilog=exit_code_help(),
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    # A default would replace the value of an option before the command.
    _add_common(parser, argparse.SUPPRESS, argparse.SUPPRESS)
    return parser


def _add_common(
    parser: argparse.ArgumentParser,
    addresses: object,
    output: str,
) -> None:
    parser.add_argument(
        '--address',
        action='append',
        type=argument_types.address,
        default=addresses,
        metavar='HOST:PORT',
        help='a daemon; may be given several times, tried in order',
    )
    parser.add_argument('--output', choices=('text', 'json'), default=output)


def _add_change(parser: argparse.ArgumentParser) -> None:
    _add_operation_id(parser)
    parser.add_argument(
        '--expected-revision',
        type=argument_types.revision,
        help='refuse the change if the entry is at another revision; 0 for '
        + 'a new entry; by default the revision at the start of the command',
    )


def _add_operation_id(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--operation-id',
        help='of an earlier change whose response was lost',
    )


def _add_entry_id(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'entry', type=argument_types.entry_id, metavar='KIND/ID'
    )


def _add_subject(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        'subject', type=argument_types.subject, metavar='KIND/ID'
    )
