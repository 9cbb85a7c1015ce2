"""Changes of the desired state, and what has to be read back."""

import json
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

from review import harness

Route = Mapping[str, Any]

SMALL_ROUTES = 40
BULK_ROUTES = 350
"""Routes of the largest change that an operator sends."""

_SERVICE = 'pedidos'
_BULK_SHARE = 0.1
_REMOVED_SHARE = 0.15


class Ledger:
    """Versions of each route that were sent, and those acknowledged."""

    def __init__(self) -> None:
        """Start without routes."""
        self._sent: dict[str, dict[int, Route | None]] = {}
        self._acknowledged: dict[str, int] = {}
        self._version = 0

    def send(self, names: Sequence[str], removed: Sequence[str] = ()) -> 'Sent':
        """Return a change with a version of its own; note it as sent."""
        self._version += 1
        version = self._version
        routes = {name: _route(name, version) for name in names}
        for name in (*names, *removed):
            versions = self._sent.setdefault(name, {})
            versions[version] = routes.get(name)
        return Sent(version, routes, removed)

    def acknowledge(self, change: 'Sent') -> None:
        """Note that the change has to be read back from now on."""
        for name in (*change.routes, *change.removed):
            known = self._acknowledged.get(name, 0)
            self._acknowledged[name] = max(known, change.version)

    def problems(self, routes: Mapping[str, Route]) -> Sequence[str]:
        """Return what is missing, older, or was never sent."""
        unknown = [
            f'{name}: never sent' for name in set(routes) - set(self._sent)
        ]
        wrong = [
            f'{name}: version {self._acknowledged.get(name, 0)} acknowledged,'
            f' read back {routes.get(name)}'
            for name in self._sent
            if not self._is_allowed(name, routes.get(name))
        ]
        return (*unknown, *wrong)

    def _is_allowed(self, name: str, found: Route | None) -> bool:
        oldest = self._acknowledged.get(name, 0)
        if found is None and not oldest:
            return True
        return any(
            found == content
            for version, content in self._sent[name].items()
            if version >= oldest
        )


class Sent:
    """One change, as it goes to the operator's API."""

    def __init__(
        self,
        version: int,
        routes: Mapping[str, Route],
        removed: Sequence[str],
    ):
        """Set ``routes`` and remove the routes named ``removed``."""
        self.version = version
        self.routes = routes
        self.removed = removed

    def document(self) -> Mapping[str, Any]:
        """Return the body of the call."""
        version = f'r{self.version}'
        removed = [{'name': name, 'version': version} for name in self.removed]
        return {
            'upsert': {'routes': self.routes},
            'remove': {'routes': removed},
        }


def first_document(change: Sent) -> Mapping[str, Any]:
    """Return the first change of a day, which brings all items."""
    upsert = {
        'routes': change.routes,
        'services': {_SERVICE: harness.service('r1')},
        'limits': harness.LIMITS,
    }
    return {'upsert': upsert, 'remove': {'routes': []}}


def small_names() -> Sequence[str]:
    """Return the names of the routes that small changes set."""
    return [f'r-small{number}' for number in range(SMALL_ROUTES)]


def bulk_names() -> Sequence[str]:
    """Return the names of the routes that a large change sets at once."""
    return [f'r-bulk{number}' for number in range(BULK_ROUTES)]


def random_change(ledger: Ledger, rng: Random) -> Sent:
    """Return a change of a few routes or of many, or a removal."""
    draw = rng.random()
    if draw < _BULK_SHARE:
        return ledger.send(bulk_names())
    names = rng.sample(small_names(), rng.randint(1, 3))
    if draw < _BULK_SHARE + _REMOVED_SHARE:
        return ledger.send(names[1:], names[:1])
    return ledger.send(names)


def read_routes(body: bytes) -> Mapping[str, Route]:
    """Return the routes of the body of ``/config/get``."""
    routes: Mapping[str, Route] = json.loads(body)['routes']
    return routes


def _route(name: str, version: int) -> Route:
    route: Route = harness.route(
        f'{name}.example',
        f'/{name}/',
        _SERVICE,
        f'r{version}',
        timeoutS=1 + version / 1000,
    )
    return route
