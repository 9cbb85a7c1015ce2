"""Loads of targets that entry VMs exchange.

Load pattern: with about a hundred entry VMs, each sends to a target once in
several seconds, and what it learned from a response has faded by then.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta

from plantainstand_core import TargetId
from plantainstand_fleet import TargetLoad

from plantainstand_placement._other_load import LoadReport
from plantainstand_placement._target import TargetState

MAX_REPORTED_LOADS = 64
"""Loads in one report, the newest ones: a few times the number of responses
between two reports of a VM with a hundredth of the load."""

_PERCENT = 100
_MILLISECOND = timedelta(milliseconds=1)


def take_unreported_loads(
    states: Iterable[TargetState], now: timedelta
) -> tuple[TargetLoad, ...]:
    """Return the newest own loads that no report has contained yet."""
    loads: list[TargetLoad] = []
    for state in states:
        unreported = state.other_load.take_unreported()
        if unreported is not None:
            loads.append(_target_load(state, *unreported, now))
    loads.sort(key=lambda load: load.age_ms)
    return tuple(loads[:MAX_REPORTED_LOADS])


def record_shared_loads(
    states: Mapping[TargetId, TargetState],
    loads: Iterable[TargetLoad],
    now: timedelta,
) -> int:
    """Take over the loads that are newer; return their number.

    Loads of targets that are not listed, or of their process before the last
    start, are ignored.
    """
    taken = 0
    for load in loads:
        state = states.get(load.target)
        if state is None or state.entry.started_ms != load.started_ms:
            continue
        report = LoadReport(
            max(0, load.running),
            max(0, load.waiting),
            state.entry.slots,
            load.slowdown_percent / _PERCENT,
            states_speed=True,
        )
        taken += record_shared_load(state, report, load.read_at(now))
    return taken


def record_shared_load(
    state: TargetState, report: LoadReport, read_at: timedelta
) -> bool:
    """Take over what another VM read; return False if it is not newer.

    The requests that this VM had in flight at ``read_at`` are part of the load;
    those that it has sent since are not.
    """
    counted = max(0, state.in_flight - state.sends.count(read_at))
    if not state.other_load.record_shared(read_at, report, counted):
        return False
    state.slowdown.record(read_at, report.slowdown)
    return True


def _target_load(
    state: TargetState,
    read_at: timedelta,
    report: LoadReport,
    now: timedelta,
) -> TargetLoad:
    return TargetLoad(
        state.entry.target,
        state.entry.started_ms,
        report.running,
        report.waiting,
        round(report.slowdown * _PERCENT),
        (now - read_at) // _MILLISECOND,
    )
