"""The desired state on an entry VM, merged from several control VMs."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta

import msgspec
from plantainstand_core import AvailabilityZoneId, LogIndex, RegionId, ServiceId

from plantainstand_desired._account_view import AccountView
from plantainstand_desired._items import (
    MAX_TOMBSTONES,
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
    """Route that matches a request."""

    name: str
    version: Version
    """Version of the route's item, for log lines."""

    route: Route

    @property
    def timeout(self) -> timedelta:
        """Longest time until the request must have its response."""
        return timedelta(seconds=self.route.timeout_seconds)


class DesiredView:
    """Keeps the highest version of each item, and never an older one.

    The result does not depend on the order of the updates, so those of
    several control VMs may arrive late, repeatedly and in any order.
    """

    def __init__(self) -> None:
        """Start without items."""
        self._items: dict[ItemKey, Item] = {}
        self._evacuations: dict[AvailabilityZoneId, EvacuationItem] = {}
        self._routes_by_host: dict[str, tuple[RouteMatch, ...]] | None = {}
        self.accounts = AccountView()
        """Client accounts and their keys."""

        self._index = LogIndex(0)
        self._forgotten_index = LogIndex(-1)

    @property
    def index(self) -> LogIndex:
        """Newest log index whose change is merged."""
        return self._index

    @property
    def has_routes(self) -> bool:
        """Whether the state of some log index is complete and has routes.

        A state that has arrived in part does not tell which route a request
        has.
        """
        return self._index > 0 and bool(self._routes())

    @property
    def limits(self) -> IngressLimits | None:
        """Limits on clients' requests, if set."""
        for key, item in self._items.items():
            if key[0] is ItemKind.LIMITS:
                body = item.body
                return body if isinstance(body, IngressLimits) else None
        return None

    def evacuated_availability_zones(self) -> frozenset[AvailabilityZoneId]:
        """Return the availability zones whose targets get no requests."""
        return frozenset(
            zone
            for zone, evacuation in self._evacuations.items()
            if evacuation.active
        )

    def service_policy(self, service: ServiceId) -> ServicePolicy | None:
        """Return the policy of a service, if there is one."""
        item = self._items.get((ItemKind.SERVICE, service))
        body = None if item is None else item.body
        return body if isinstance(body, ServicePolicy) else None

    def home_regions_of_host(self, host: str) -> frozenset[RegionId]:
        """Return the home regions of all routes of a host.

        Empty if all regions may serve one of the routes.
        """
        matches = self._routes().get(host.lower(), ())
        home_regions = [match.route.home_regions for match in matches]
        if not all(home_regions):
            return frozenset()
        return frozenset(
            region for regions in home_regions for region in regions
        )

    def merge(
        self,
        items: Iterable[Item],
        evacuations: Iterable[EvacuationItem],
        through: LogIndex,
    ) -> bool:
        """Merge an update of a control VM; return whether anything changed.

        ``through`` is the log index up to which the update is complete.
        """
        changed_items = [each for each in items if self._is_newer_item(each)]
        for item in changed_items:
            self._items[item.key] = item
        self.accounts.update(changed_items)
        self._index = max(self._index, through)
        if any(each.body is None for each in changed_items):
            self._forget_tombstones()
        if ItemKind.ROUTE in {each.kind for each in changed_items}:
            self._routes_by_host = None
        changed_evacuations = [
            each for each in evacuations if self._is_later_evacuation(each)
        ]
        for evacuation in changed_evacuations:
            self._evacuations[evacuation.zone] = evacuation
        return bool(changed_items or changed_evacuations)

    def remove_unlisted(
        self, listed: Collection[ItemKey], through: LogIndex
    ) -> bool:
        """Remove all items up to a log index that are not listed.

        ``listed`` are the items of a whole state at that index. Return whether
        anything was removed.
        """
        removed = [
            msgspec.structs.replace(each, body=None, document=b'')
            for each in self._items.values()
            if each.body is not None
            and each.index <= through
            and each.key not in listed
        ]
        self._items.update((each.key, each) for each in removed)
        self.accounts.update(removed)
        self._routes_by_host = None
        return bool(removed)

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route with the longest path prefix that matches.

        Return None until the state of some log index is complete.
        """
        if not self._index:
            return None
        for candidate in self._routes().get(host.lower(), ()):
            if path.startswith(candidate.route.path_prefix):
                return candidate
        return None

    def _is_newer_item(self, item: Item) -> bool:
        current = self._items.get(item.key)
        if current is None:
            # The view was complete up to this index when it forgot a removed
            # item, so an unknown one of that time is that item.
            return item.index > self._forgotten_index
        return item.version > current.version

    def _forget_tombstones(self) -> None:
        removed = [
            each
            for each in self._items.values()
            if each.body is None and each.index <= self._index
        ]
        if len(removed) <= MAX_TOMBSTONES:
            return
        removed.sort(key=lambda each: each.index)
        for forgotten in removed[: len(removed) - MAX_TOMBSTONES]:
            self._items.pop(forgotten.key)
            self.accounts.forget(forgotten)
            self._forgotten_index = LogIndex(forgotten.index)

    def _is_later_evacuation(self, evacuation: EvacuationItem) -> bool:
        current = self._evacuations.get(evacuation.zone)
        return current is None or evacuation.index > current.index

    def _routes(self) -> dict[str, tuple[RouteMatch, ...]]:
        # Built when it is needed: a large state arrives in many updates.
        if self._routes_by_host is None:
            self._routes_by_host = self._index_routes()
        return self._routes_by_host

    def _index_routes(self) -> dict[str, tuple[RouteMatch, ...]]:
        by_host: dict[str, list[RouteMatch]] = {}
        for item in self._items.values():
            if isinstance(item.body, Route):
                match = RouteMatch(item.name, item.version, item.body)
                by_host.setdefault(item.body.host.lower(), []).append(match)
        return {
            host: tuple(sorted(matches, key=_prefix_length, reverse=True))
            for host, matches in by_host.items()
        }


def _prefix_length(match: RouteMatch) -> int:
    return len(match.route.path_prefix)
