"""Client accounts on an entry VM, found by the digests of their keys."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from plantainstand_desired._items import (
    AccountName,
    ClientAccount,
    Item,
    ItemKind,
    KeyDigest,
    Version,
)


@dataclass(frozen=True, slots=True)
class AccountMatch:
    """Account that holds the key of a request."""

    name: AccountName
    version: Version
    """Version of the account's item, for log lines."""

    account: ClientAccount


class AccountView:
    """Newest known versions of the accounts."""

    def __init__(self) -> None:
        """Start without accounts."""
        self._items: dict[AccountName, Item] = {}
        self._match_by_key: dict[KeyDigest, AccountMatch] | None = {}
        self._limited: set[AccountName] = set()
        self._requires_keys = False

    @property
    def requires_keys(self) -> bool:
        """Whether routes that are not public require a key of an account.

        A state whose last account was removed requires keys, and knows none.
        """
        return self._requires_keys

    @property
    def current(self) -> Mapping[AccountName, ClientAccount]:
        """Accounts that are not removed, by their names."""
        return {
            name: item.body
            for name, item in self._items.items()
            if isinstance(item.body, ClientAccount)
        }

    @property
    def has_limits(self) -> bool:
        """Whether an account has a limit."""
        return bool(self._limited)

    def has_limit(self, name: AccountName) -> bool:
        """Tell whether an account has a limit."""
        return name in self._limited

    def find_by_key(self, digest: KeyDigest) -> AccountMatch | None:
        """Return the account that holds a key, if there is one."""
        if self._match_by_key is None:
            self._match_by_key = self._index_keys()
        return self._match_by_key.get(digest)

    def find_by_name(self, name: AccountName) -> AccountMatch | None:
        """Return the account of a name; None also if it has no key."""
        item = self._items.get(name)
        if item is None or not isinstance(item.body, ClientAccount):
            return None
        if not item.body.key_digests:
            return None
        return AccountMatch(name, item.version, item.body)

    def update(self, changed: Iterable[Item]) -> None:
        """Take over the accounts among items that have changed."""
        accounts = {
            AccountName(item.name): item
            for item in changed
            if item.kind is ItemKind.ACCOUNT
        }
        if accounts:
            self._items.update(accounts)
            for name, item in accounts.items():
                self._limited.discard(name)
                if isinstance(item.body, ClientAccount) and item.body.has_limit:
                    self._limited.add(name)
            self._requires_keys = True
            self._match_by_key = None

    def forget(self, removed: Item) -> None:
        """Forget an item that was removed, if it is an account."""
        if removed.kind is ItemKind.ACCOUNT:
            self._items.pop(AccountName(removed.name), None)

    def _index_keys(self) -> dict[KeyDigest, AccountMatch]:
        """Index the accounts by key.

        Two accounts may hold a key while a change in which it moves has
        arrived in part; the one that changed last has it then.
        """
        by_key: dict[KeyDigest, AccountMatch] = {}
        for item in sorted(self._items.values(), key=lambda each: each.index):
            if isinstance(item.body, ClientAccount):
                match = AccountMatch(
                    AccountName(item.name), item.version, item.body
                )
                by_key.update(dict.fromkeys(item.body.key_digests, match))
        return by_key
