"""Which sets of items are valid together.

The check looks only at what a change touches: with some thousand routes, a
check of all of them for each change made a VM that had missed 500 changes
take seconds to apply them.
"""

from collections.abc import Iterable, Iterator, Mapping

from plantainstand_core import ServiceId

from plantainstand_desired._items import Item, ItemKey, ItemKind, Route

_Place = tuple[str, str]


class RouteIndex:
    """Where the standing routes are, and which services they name."""

    def __init__(self, items: Iterable[Item] = ()):
        """Enter items that are valid together."""
        self._route_at: dict[_Place, str] = {}
        self._routes_to: dict[ServiceId, set[str]] = {}
        for name, route in _standing_routes(items):
            self._enter(name, route)

    def problem(
        self,
        held: Mapping[ItemKey, Item],
        changes: Mapping[ItemKey, Item],
    ) -> str | None:
        """Return why changes do not fit to the held items, or None."""
        return (
            self._service_problem(held, changes)
            or self._removal_problem(changes)
            or self._place_problem(changes)
        )

    def replace(
        self,
        held: Mapping[ItemKey, Item],
        changes: Mapping[ItemKey, Item],
    ) -> None:
        """Enter changes that have no problem."""
        replaced = (held[key] for key in changes if key in held)
        # Routes may trade their places, so all leave before any enters.
        for name, route in _standing_routes(replaced):
            self._route_at.pop(_place(route))
            for part in route.parts:
                self._routes_to[part.service].discard(name)
        for changed_name, changed_route in _standing_routes(changes.values()):
            self._enter(changed_name, changed_route)

    def _enter(self, name: str, route: Route) -> None:
        self._route_at[_place(route)] = name
        for part in route.parts:
            self._routes_to.setdefault(part.service, set()).add(name)

    def _service_problem(
        self,
        held: Mapping[ItemKey, Item],
        changes: Mapping[ItemKey, Item],
    ) -> str | None:
        for name, route in _standing_routes(changes.values()):
            for part in route.parts:
                key = (ItemKind.SERVICE, part.service)
                service = changes.get(key, held.get(key))
                if service is None or service.body is None:
                    return _unknown_service(name, part.service)
        return None

    def _removal_problem(self, changes: Mapping[ItemKey, Item]) -> str | None:
        removed = [
            ServiceId(item.name)
            for item in changes.values()
            if item.kind is ItemKind.SERVICE and item.body is None
        ]
        for service in removed:
            for route in sorted(self._routes_to.get(service, ())):
                if (ItemKind.ROUTE, route) not in changes:
                    return _unknown_service(route, service)
        return None

    def _place_problem(self, changes: Mapping[ItemKey, Item]) -> str | None:
        taken: dict[_Place, str] = {}
        for name, route in _standing_routes(changes.values()):
            place = _place(route)
            holder = self._route_at.get(place)
            if holder is not None and (ItemKind.ROUTE, holder) in changes:
                holder = None
            other = taken.setdefault(place, holder or name)
            if other != name:
                return f'routes {other} and {name} share a prefix'
        return None


def _standing_routes(items: Iterable[Item]) -> Iterator[tuple[str, Route]]:
    for item in items:
        if isinstance(item.body, Route):
            yield item.name, item.body


def _place(route: Route) -> _Place:
    return (route.host.lower(), route.path_prefix)


def _unknown_service(route: str, service: ServiceId) -> str:
    return f'route {route} names unknown service {service}'
