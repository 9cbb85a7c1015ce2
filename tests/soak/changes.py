"""Changes of the desired state, and what has to be read back."""

import json
from collections.abc import Mapping, Sequence
from random import Random
from typing import Any

from review import harness

Document = Mapping[str, Any]
"""A route or an account as the operator writes it."""

SMALL_ROUTES = 40
ACCOUNTS = 12
KEYS_PER_ACCOUNT = 3
BULK_ROUTES = 350
"""Routes of the largest change that an operator sends."""

_SERVICE = 'pedidos'
_ACCOUNT_PREFIX = 'a-'
"""Begins the names of accounts; those of routes begin otherwise."""

_BULK_SHARE = 0.1
_REMOVED_SHARE = 0.15
_ACCOUNT_SHARE = 0.2


class Ledger:
    """Versions of each route and account that were sent or acknowledged."""

    def __init__(self) -> None:
        """Start without items."""
        self._sent: dict[str, dict[int, Document | None]] = {}
        self._acknowledged: dict[str, int] = {}
        self._version = 0

    def send(self, names: Sequence[str], removed: Sequence[str] = ()) -> 'Sent':
        """Return a change with a version of its own; note it as sent."""
        self._version += 1
        version = self._version
        items = {name: _document(name, version) for name in names}
        for name in (*names, *removed):
            versions = self._sent.setdefault(name, {})
            versions[version] = items.get(name)
        return Sent(version, items, removed)

    def acknowledge(self, change: 'Sent') -> None:
        """Note that the change has to be read back from now on."""
        for name in (*change.items, *change.removed):
            known = self._acknowledged.get(name, 0)
            self._acknowledged[name] = max(known, change.version)

    def problems(self, items: Mapping[str, Document]) -> Sequence[str]:
        """Return what is missing, older, or was never sent."""
        unknown = [
            f'{name}: never sent' for name in set(items) - set(self._sent)
        ]
        wrong = [
            f'{name}: version {self._acknowledged.get(name, 0)} acknowledged,'
            f' read back {items.get(name)}'
            for name in self._sent
            if not self._is_allowed(name, items.get(name))
        ]
        return (*unknown, *wrong)

    def _is_allowed(self, name: str, found: Document | None) -> bool:
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
        items: Mapping[str, Document],
        removed: Sequence[str],
    ):
        """Set ``items`` and remove the items named ``removed``."""
        self.version = version
        self.items = items
        self.removed = removed

    def document(self) -> Mapping[str, Any]:
        """Return the body of the call."""
        version = f'r{self.version}'
        removed = {
            name: {'name': name, 'version': version} for name in self.removed
        }
        return {
            'upsert': _tables(self.items),
            'remove': {
                table: list(listed.values())
                for table, listed in _tables(removed).items()
            },
        }


def first_document(change: Sent) -> Mapping[str, Any]:
    """Return the first change of a day, which brings all items."""
    upsert = {
        **_tables(change.items),
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
    """Return a change of a few items or of many routes, or a removal.

    A change of accounts gives them new keys, so that all held ones differ.
    """
    draw = rng.random()
    if draw < _BULK_SHARE:
        return ledger.send(bulk_names())
    names = rng.sample(small_names(), rng.randint(1, 3))
    if draw > 1 - _ACCOUNT_SHARE:
        accounts = _accounts_for(names)
        return ledger.send(accounts[1:], accounts[:1])
    if draw < _BULK_SHARE + _REMOVED_SHARE:
        return ledger.send(names[1:], names[:1])
    return ledger.send(names)


def _accounts_for(names: Sequence[str]) -> Sequence[str]:
    """Return accounts in the place of drawn routes.

    Nothing else is drawn, so that a seed plays the same disruptions as before
    there were accounts.
    """
    order = small_names()
    numbers = dict.fromkeys(order.index(name) % ACCOUNTS for name in names)
    return [f'{_ACCOUNT_PREFIX}{number}' for number in numbers]


def read_items(body: bytes) -> Mapping[str, Document]:
    """Return routes and accounts of the body of ``/config/get``."""
    tables = json.loads(body)
    return {**tables['routes'], **tables.get('tenants', {})}


def _tables(items: Mapping[str, Document]) -> Mapping[str, Document]:
    """Return items by the tables to which their names belong."""
    accounts = {
        name: item
        for name, item in items.items()
        if name.startswith(_ACCOUNT_PREFIX)
    }
    routes = {
        name: item for name, item in items.items() if name not in accounts
    }
    return {'routes': routes, 'tenants': accounts}


def _document(name: str, version: int) -> Document:
    if name.startswith(_ACCOUNT_PREFIX):
        keys = [f'{name}-{version}-{key}' for key in range(KEYS_PER_ACCOUNT)]
        return {'apiKeys': keys, 'ratePerS': 5.5, 'version': f'r{version}'}
    route: Document = harness.route(
        f'{name}.example',
        f'/{name}/',
        _SERVICE,
        f'r{version}',
        timeoutS=1 + version / 1000,
    )
    return route
