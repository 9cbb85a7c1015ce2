"""Command ``settings check``."""

import importlib
from collections.abc import Callable
from pathlib import Path

from plantainstand_core import load_settings
from result import Err, Ok

from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report

_DAEMON_PACKAGE = 'plantainstand_daemon'
_SETTINGS_TYPE = 'DaemonSettings'

FindSettingsType = Callable[[], type[object] | None]


def find_settings_type() -> type[object] | None:
    """Return the daemon's settings type, if the daemon is installed.

    The tool does not depend on the daemon: operators' machines have no need
    of its servers.
    """
    try:
        package = importlib.import_module(_DAEMON_PACKAGE)
    except ImportError:
        return None
    return getattr(package, _SETTINGS_TYPE, None)


def check_settings(path: Path, find: FindSettingsType) -> CommandResult:
    """Check a daemon's settings file without starting it."""
    settings_type = find()
    if settings_type is None:
        message = (
            'settings are checked by the plantainstand-daemon package, which '
            + 'is not installed here; install it or check on a VM that has it'
        )
        return Err(Failure(ExitCode.UNEXPECTED, message))
    loaded = load_settings(path, settings_type)
    if isinstance(loaded, Err):
        return Err(Failure(ExitCode.INVALID, str(loaded.err_value)))
    return Ok(Report({'valid': True}, (f'{path}: valid',)))
