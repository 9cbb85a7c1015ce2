"""Command ``settings check``."""

import importlib
from collections.abc import Callable
from pathlib import Path
from typing import Any

from plantainstand_core import SettingsProblem
from result import Err, Ok, Result

from plantainstand_ctl._exit_codes import ExitCode, Failure
from plantainstand_ctl._report import CommandResult, Report

_DAEMON_PACKAGE = 'plantainstand_daemon'
_LOADER_NAME = 'load_daemon_settings'

LoadSettings = Callable[[Path], Result[Any, SettingsProblem]]
FindLoader = Callable[[], LoadSettings | None]


def find_loader() -> LoadSettings | None:
    """Return the daemon's settings loader; None if it is not installed.

    The tool does not depend on the daemon package, because operators'
    computers do not need its servers.
    """
    try:
        package = importlib.import_module(_DAEMON_PACKAGE)
    except ImportError:
        return None
    return getattr(package, _LOADER_NAME, None)


def check_settings(path: Path, find: FindLoader) -> CommandResult:
    """Check a daemon's settings file without starting it."""
    load = find()
    if load is None:
        message = (
            'settings are checked by the plantainstand-daemon package, which '
            + 'is not installed here; install it or check on a VM that has it'
        )
        return Err(Failure(ExitCode.UNEXPECTED, message))
    loaded = load(path)
    if isinstance(loaded, Err):
        return Err(Failure(ExitCode.INVALID, str(loaded.err_value)))
    return Ok(Report({'valid': True}, (f'{path}: valid',)))
