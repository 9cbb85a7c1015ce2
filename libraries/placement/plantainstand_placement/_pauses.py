"""Pauses that targets ask of one entry VM."""

from datetime import timedelta

from plantainstand_placement._target import TargetState

RETURN_TIME = timedelta(seconds=1)
"""Time after a pause in which a target gets what a cold one may get, since all
VMs may end their pauses at once."""


def pause_target(state: TargetState, until: timedelta) -> bool:
    """Send nothing to a target until a time; the latest one counts.

    Return whether this makes its pause longer.
    """
    if until <= state.paused_until:
        return False
    state.paused_until = until
    state.cold_until = max(state.cold_until, until + RETURN_TIME)
    return True
