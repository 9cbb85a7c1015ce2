"""Command line of ``plantainstandd``."""

import argparse
import asyncio
import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn

from plantainstand_consensus import format_voter
from plantainstand_telemetry import configure_logs
from result import Err

from plantainstand_daemon._daemon import ListenProblem, run_daemon
from plantainstand_daemon._settings import DaemonSettings, load_daemon_settings

EXIT_OK = 0
EXIT_SETTINGS = 2
EXIT_STORAGE = 3
EXIT_LISTEN = 4


def run() -> NoReturn:
    """Run the daemon as a program.

    Exits without joining threads, because threads that still read from a silent
    connection would delay the exit after a graceful stop.
    """
    code = main()
    sys.stderr.flush()
    os._exit(code)


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the daemon and return its exit code.

    0 after a graceful stop, 2 for bad arguments or settings, 3 when the data
    folder cannot be used, 4 when an address cannot be listened on.
    """
    options = _parser().parse_args(arguments)
    loaded = load_daemon_settings(options.settings)
    if isinstance(loaded, Err):
        return _fail(EXIT_SETTINGS, str(loaded.err_value))
    settings = loaded.ok_value
    if options.check:
        return EXIT_OK
    if options.format:
        return _format(settings)
    configure_logs(settings.logs.format, settings.logs.level)
    ended = asyncio.run(run_daemon(settings))
    if isinstance(ended, Err):
        is_listen = isinstance(ended.err_value, ListenProblem)
        code = EXIT_LISTEN if is_listen else EXIT_STORAGE
        return _fail(code, str(ended.err_value))
    return EXIT_OK


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='plantainstandd',
        description='Daemon of the plantainstand traffic steering system.',
        epilog='Exit codes: 0 stopped gracefully, 2 bad arguments or '
        'settings, 3 the data folder cannot be used, 4 an address cannot be '
        'listened on.',
    )
    parser.add_argument(
        '--settings',
        type=Path,
        required=True,
        help='settings file, JSON with comments',
    )
    parser.add_argument(
        '--format',
        action='store_true',
        help='prepare the empty data folder of a voter of a new deployment, '
        'and exit; never for the repair of a lost disk',
    )
    parser.add_argument(
        '--check',
        action='store_true',
        help='check the settings file and exit',
    )
    return parser


def _format(settings: DaemonSettings) -> int:
    if not settings.is_voter or settings.data_folder is None:
        return _fail(EXIT_SETTINGS, '--format is only for voters')
    members = [voter.vm for voter in settings.voters]
    formatted = format_voter(Path(settings.data_folder), settings.vm, members)
    if isinstance(formatted, Err):
        return _fail(EXIT_STORAGE, str(formatted.err_value))
    return EXIT_OK


def _fail(code: int, message: str) -> int:
    sys.stderr.write(f'plantainstandd: {message}\n')
    return code
