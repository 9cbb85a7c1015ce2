"""Validity checks of single items."""

import re

from plantainstand_desired._items import (
    ClientAccount,
    Item,
    Route,
    ServicePolicy,
)

_CONTROL_CHARACTER = re.compile('[\x00-\x1f\x7f-\x9f]')

MAX_ACCOUNT_NAME_CHARACTERS = 256
"""Targets get the name in a header."""

MAX_ACCOUNT_FIGURE = 1e12
"""Largest rate and burst: totals over a window stay exact in 64 bits."""

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
    if isinstance(body, ClientAccount):
        return _account_problem(item.name, body)
    return None


def _account_problem(name: str, account: ClientAccount) -> str | None:
    figures = (account.requests_per_second, account.burst)
    checks = (
        (
            not 0 < len(name) <= MAX_ACCOUNT_NAME_CHARACTERS,
            'the name of an account is empty or too long',
        ),
        # Such a name could end the header that states it, or change in it.
        (
            name != name.strip() or _CONTROL_CHARACTER.search(name) is not None,
            'the name of an account has control characters or outer spaces',
        ),
        # No comparison with NaN holds.
        (
            not all(0 <= figure <= MAX_ACCOUNT_FIGURE for figure in figures),
            'the rate or the burst of an account is negative or too large',
        ),
        (
            account.rank is not None and account.rank < 0,
            'the priority of an account is negative',
        ),
    )
    return next(
        (problem for is_violated, problem in checks if is_violated), None
    )


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
