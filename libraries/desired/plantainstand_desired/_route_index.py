"""Check that routes and services are consistent with each other.

The check covers only the items that a change affects. A check of all items for
each change takes seconds when a VM catches up on 500 changes with some thousand
routes.
"""

from collections.abc import Iterable, Iterator, Mapping

from plantainstand_core import ServiceId

from plantainstand_desired._items import Item, ItemKey, ItemKind, Route

_HostPrefix = tuple[str, str]


class RouteIndex:
    """Current routes by host and path prefix, and by the services they use."""

    def __init__(self, items: Iterable[Item] = ()):
        """Index items that are consistent with each other."""
        self._route_by_host_prefix: dict[_HostPrefix, str] = {}
        self._routes_by_service: dict[ServiceId, set[str]] = {}
        for name, route in _routes_in(items):
            self._add_route(name, route)

    def find_problem(
        self,
        current: Mapping[ItemKey, Item],
        changes: Mapping[ItemKey, Item],
    ) -> str | None:
        """Return why changes are inconsistent with the current items, or None.

        Every service of a route must exist, and two routes must not share host
        and path prefix.
        """
        return (
            self._service_problem(current, changes)
            or self._removal_problem(changes)
            or self._prefix_problem(changes)
        )

    def apply_changes(
        self,
        current: Mapping[ItemKey, Item],
        changes: Mapping[ItemKey, Item],
    ) -> None:
        """Index changes for which :meth:`find_problem` returned None.

        ``current`` holds the items before the changes.
        """
        replaced = (current[key] for key in changes if key in current)
        # Routes may swap their prefixes in one change, so all old routes are
        # removed before the new ones are added.
        for name, route in _routes_in(replaced):
            self._route_by_host_prefix.pop(_host_prefix(route))
            for part in route.parts:
                self._routes_by_service[part.service].discard(name)
        for changed_name, changed_route in _routes_in(changes.values()):
            self._add_route(changed_name, changed_route)

    def _add_route(self, name: str, route: Route) -> None:
        self._route_by_host_prefix[_host_prefix(route)] = name
        for part in route.parts:
            self._routes_by_service.setdefault(part.service, set()).add(name)

    def _service_problem(
        self,
        current: Mapping[ItemKey, Item],
        changes: Mapping[ItemKey, Item],
    ) -> str | None:
        for name, route in _routes_in(changes.values()):
            for part in route.parts:
                key = (ItemKind.SERVICE, part.service)
                service = changes.get(key, current.get(key))
                if service is None or service.body is None:
                    return _unknown_service_message(name, part.service)
        return None

    def _removal_problem(self, changes: Mapping[ItemKey, Item]) -> str | None:
        removed = [
            ServiceId(item.name)
            for item in changes.values()
            if item.kind is ItemKind.SERVICE and item.body is None
        ]
        for service in removed:
            for route in sorted(self._routes_by_service.get(service, ())):
                if (ItemKind.ROUTE, route) not in changes:
                    return _unknown_service_message(route, service)
        return None

    def _prefix_problem(self, changes: Mapping[ItemKey, Item]) -> str | None:
        changed_routes: dict[_HostPrefix, str] = {}
        for name, route in _routes_in(changes.values()):
            host_prefix = _host_prefix(route)
            current_route = self._route_by_host_prefix.get(host_prefix)
            if (
                current_route is not None
                and (ItemKind.ROUTE, current_route) in changes
            ):
                current_route = None
            other = changed_routes.setdefault(
                host_prefix, current_route or name
            )
            if other != name:
                return f'routes {other} and {name} share a prefix'
        return None


def _routes_in(items: Iterable[Item]) -> Iterator[tuple[str, Route]]:
    for item in items:
        if isinstance(item.body, Route):
            yield item.name, item.body


def _host_prefix(route: Route) -> _HostPrefix:
    return (route.host.lower(), route.path_prefix)


def _unknown_service_message(route: str, service: ServiceId) -> str:
    return f'route {route} names unknown service {service}'
