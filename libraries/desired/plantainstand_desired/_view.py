"""Desired state as an entry VM sees it: merged from many sources."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import AvailabilityZoneId, LogIndex, RegionId, ServiceId

from plantainstand_desired._items import (
    EvacuationItem,
    IngressLimits,
    Item,
    ItemKey,
    ItemKind,
    Route,
    ServicePolicy,
    Version,
)


@dataclass(frozen=True, slots=True)
class RouteMatch:
    """The route of a request."""

    name: str
    version: Version
    """Version of the route's item, for the log."""

    route: Route

    @property
    def timeout(self) -> timedelta:
        """Longest time for which the request may be kept waiting."""
        return timedelta(seconds=self.route.timeout_seconds)


class DesiredView:
    """Keeps the highest version of each item; never goes back.

    Merging is independent of order, so updates of several control VMs may
    arrive late and twice.
    """

    def __init__(self) -> None:
        """Start without items."""
        self._items: dict[ItemKey, Item] = {}
        self._evacuations: dict[AvailabilityZoneId, EvacuationItem] = {}
        self._routes_by_host: dict[str, tuple[RouteMatch, ...]] = {}
        self._index = LogIndex(0)

    @property
    def index(self) -> LogIndex:
        """Newest log index whose change is merged."""
        return self._index

    @property
    def has_routes(self) -> bool:
        """Whether any route has arrived."""
        return bool(self._routes_by_host)

    @property
    def limits(self) -> IngressLimits | None:
        """Limits for clients, if set."""
        for key, item in self._items.items():
            if key[0] is ItemKind.LIMITS:
                body = item.body
                return body if isinstance(body, IngressLimits) else None
        return None

    def evacuated_availability_zones(self) -> frozenset[AvailabilityZoneId]:
        """Return the availability zones whose targets get nothing."""
        return frozenset(
            zone for zone, order in self._evacuations.items() if order.active
        )

    def service_policy(self, service: ServiceId) -> ServicePolicy | None:
        """Return what a service's targets bear."""
        item = self._items.get((ItemKind.SERVICE, service))
        body = None if item is None else item.body
        return body if isinstance(body, ServicePolicy) else None

    def homes_of_host(self, host: str) -> frozenset[RegionId]:
        """Return the home regions of a host's routes; empty if one has none."""
        matches = self._routes_by_host.get(host.lower(), ())
        homes = [match.route.home_regions for match in matches]
        if not all(homes):
            return frozenset()
        return frozenset(region for regions in homes for region in regions)

    def merge(
        self,
        items: Iterable[Item],
        evacuations: Iterable[EvacuationItem],
        through: LogIndex,
    ) -> bool:
        """Take what a control VM sent; tell whether anything changed."""
        changed = [each for each in items if self._is_newer(each)]
        for item in changed:
            self._items[item.key] = item
        if ItemKind.ROUTE in {each.kind for each in changed}:
            self._index_routes()
        moved = [each for each in evacuations if self._is_later(each)]
        for order in moved:
            self._evacuations[order.zone] = order
        self._index = max(self._index, through)
        return bool(changed or moved)

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route with the longest prefix that begins the path."""
        for candidate in self._routes_by_host.get(host.lower(), ()):
            if path.startswith(candidate.route.path_prefix):
                return candidate
        return None

    def _is_newer(self, item: Item) -> bool:
        held = self._items.get(item.key)
        return held is None or item.version > held.version

    def _is_later(self, order: EvacuationItem) -> bool:
        held = self._evacuations.get(order.zone)
        return held is None or order.index > held.index

    def _index_routes(self) -> None:
        by_host: dict[str, list[RouteMatch]] = {}
        for item in self._items.values():
            if isinstance(item.body, Route):
                match = RouteMatch(item.name, item.version, item.body)
                by_host.setdefault(item.body.host.lower(), []).append(match)
        self._routes_by_host = {
            host: tuple(sorted(found, key=_prefix_length, reverse=True))
            for host, found in by_host.items()
        }


def _prefix_length(match: RouteMatch) -> int:
    return len(match.route.path_prefix)
