"""Validity checks of single items."""

from plantainstand_desired._items import (
    ClientAccount,
    Item,
    Route,
    ServicePolicy,
)

MAX_OBJECTIVE_EXCESS_SECONDS = 60
"""An objective this far above the timeout indicates a wrong unit."""


def item_problem(item: Item) -> str | None:
    """Return why an item is invalid on its own, or None.

    :class:`DesiredState` also checks items against each other.
    """
    body = item.body
    if isinstance(body, Route):
        return _route_problem(body)
    if isinstance(body, ServicePolicy) and body.cold_seconds < 0:
        return 'the cold start of a service is negative'
    if isinstance(body, ClientAccount) and (
        body.requests_per_second < 0 or body.burst < 0
    ):
        return 'the rate or the burst of an account is negative'
    return None


def _route_problem(route: Route) -> str | None:
    excess = route.objective_seconds - route.timeout_seconds
    weights = [part.weight for part in route.parts]
    checks = (
        (not route.host, 'the host is empty'),
        (
            not route.path_prefix.startswith('/'),
            'the path prefix does not begin with a slash',
        ),
        (route.timeout_seconds <= 0, 'the timeout is not positive'),
        (
            excess >= MAX_OBJECTIVE_EXCESS_SECONDS,
            'the latency objective is far above the timeout',
        ),
        (not weights or min(weights) < 0, 'a weight is missing or negative'),
        (sum(weights) <= 0, 'all weights are zero'),
        (route.max_attempts < 1, 'no attempt is allowed'),
    )
    return next(
        (problem for is_violated, problem in checks if is_violated), None
    )
