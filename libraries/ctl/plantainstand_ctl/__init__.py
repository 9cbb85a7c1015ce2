"""The plantainstandctl command-line tool for operators.

Exit codes:

== ====================================================================
0  done
2  the command line is wrong; nothing was sent
3  another change came first; nothing was changed
4  the file or the change is not valid; every problem is listed
5  there is no such entry, drain, change or request
6  the voters have no majority; nothing was changed
7  the response to a change was lost: it may be in force or not; repeat
   the command with the options that are printed
8  no address could be reached; nothing was changed
9  not yet: a drain has not ended in time, or a change is not in force
   everywhere
10 the request was not cancelled: it ran or may have run
11 a response of a daemon cannot be read
== ====================================================================
"""

# Flake8 applies only the longest matching entry of per-file-ignores: here that
# of the whole tool, which lacks the exception for re-exporting modules.
# flake8: noqa: WPS412

from plantainstand_ctl._api import (
    CANCEL_PATH,
    CHANGES_PATH,
    DRAINS_PATH,
    ENTRIES_PATH,
    REQUESTS_PATH,
    VMS_PATH,
    ChangeBody,
    ChangeStatus,
    ConflictBody,
    DrainItem,
    DrainList,
    DrainProgress,
    DrainState,
    EntryItem,
    EntryList,
    ErrorBody,
    InvalidBody,
    PutEntryBody,
    RequestReport,
    VmItem,
    VmList,
)
from plantainstand_ctl._exit_codes import ExitCode
from plantainstand_ctl._main import main, run_command

__all__ = (
    'CANCEL_PATH',
    'CHANGES_PATH',
    'DRAINS_PATH',
    'ENTRIES_PATH',
    'REQUESTS_PATH',
    'VMS_PATH',
    'ChangeBody',
    'ChangeStatus',
    'ConflictBody',
    'DrainItem',
    'DrainList',
    'DrainProgress',
    'DrainState',
    'EntryItem',
    'EntryList',
    'ErrorBody',
    'ExitCode',
    'InvalidBody',
    'PutEntryBody',
    'RequestReport',
    'VmItem',
    'VmList',
    'main',
    'run_command',
)
