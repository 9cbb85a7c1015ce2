"""Slopes from which docs/CAPACITY.md works out the load of each role.

All parts share one machine, calls go over loopback, and both sides of a call
share one interpreter; processor time is counted for each side's thread. The
parts `log` and `membership` measure the log and single look-ups.
"""

import logging
from collections.abc import Mapping

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


def measure_capacity(seed: int) -> Mapping[str, float]:
    """Return medians, spreads and fitted lines by name.

    Names end with the unit, or with the unit and a size after ``at``. A
    spread is the largest sample minus the smallest; a residual is the
    largest distance from the line as a fraction of the largest median.
    """
    # Lost streams are part of ending each measurement.
    quiet = structlog.make_filtering_bound_logger(logging.ERROR)
    structlog.configure(wrapper_class=quiet)
    return {
        **measure_heartbeats(seed),
        **measure_following(seed),
        **measure_exchanges(seed),
        **measure_health_reports(seed),
        **measure_look_ups(),
        **measure_state(),
    }
