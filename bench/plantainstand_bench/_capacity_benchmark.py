"""Slopes from which docs/CAPACITY.md works out the load of each role.

All parts share one machine, calls go over loopback, and both sides of a call
share one interpreter; processor time is counted for each side's thread.
"""

import logging
import tempfile
from collections.abc import Mapping
from pathlib import Path

import structlog

from plantainstand_bench._capacity_control import (
    measure_following,
    measure_heartbeats,
)
from plantainstand_bench._capacity_exchange import measure_exchanges
from plantainstand_bench._capacity_requests import (
    measure_health_reports,
    measure_look_ups,
)
from plantainstand_bench._capacity_state import measure_state
from plantainstand_bench._log_benchmark import measure_log
from plantainstand_bench._membership_benchmark import measure_membership


def measure_capacity(seed: int) -> Mapping[str, float]:
    """Return medians, spreads and fitted lines by name.

    Names end with the unit, or with the unit and a size after ``at``. A
    spread is the largest sample minus the smallest; a residual is the
    largest distance from the line as a fraction of the largest median.
    """
    # Lost streams are part of ending each measurement.
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    figures = {
        **measure_heartbeats(seed),
        **measure_following(seed),
        **measure_exchanges(seed),
        **measure_health_reports(seed),
        **measure_look_ups(),
        **measure_state(),
    }
    with tempfile.TemporaryDirectory() as folder:
        log = measure_log(Path(folder))
    membership = measure_membership()
    return {
        **figures,
        **{f'log: {name}': figure for name, figure in log.items()},
        **{
            f'membership: {name}': figure for name, figure in membership.items()
        },
    }
