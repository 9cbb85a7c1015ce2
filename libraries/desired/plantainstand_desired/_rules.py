"""Which items and which sets of items are valid."""

from collections.abc import Iterable, Mapping

from plantainstand_desired._items import (
    Item,
    ItemKey,
    ItemKind,
    Route,
    ServicePolicy,
)

MAX_OBJECTIVE_EXCESS_SECONDS = 60
"""An objective this far above the timeout shows that a unit was mistaken."""


def item_problem(item: Item) -> str | None:
    """Return why an item is invalid whatever the others say, or None."""
    body = item.body
    if isinstance(body, Route):
        return _route_problem(body)
    if isinstance(body, ServicePolicy) and body.cold_seconds < 0:
        return 'the cold start of a service is negative'
    return None


def state_problem(items: Mapping[ItemKey, Item]) -> str | None:
    """Return why items do not fit together, or None."""
    places: dict[tuple[str, str], str] = {}
    for route_item in _standing_routes(items.values()):
        name, route = route_item
        for part in route.parts:
            service = items.get((ItemKind.SERVICE, part.service))
            if service is None or service.body is None:
                return f'route {name} names unknown service {part.service}'
        place = (route.host.lower(), route.path_prefix)
        other = places.get(place)
        if other is not None:
            return f'routes {other} and {name} share a prefix'
        places[place] = name
    return None


def _standing_routes(items: Iterable[Item]) -> Iterable[tuple[str, Route]]:
    for item in items:
        if isinstance(item.body, Route):
            yield item.name, item.body


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
    return next((problem for broken, problem in checks if broken), None)
