"""The plantainstandd daemon."""

from plantainstand_daemon._main import main, run
from plantainstand_daemon._settings import (
    DaemonSettings,
    Role,
    load_daemon_settings,
)

__all__ = (
    'DaemonSettings',
    'Role',
    'load_daemon_settings',
    'main',
    'run',
)
