"""Check that no two client accounts share a key.

Like the check of routes, it covers only the accounts that a change affects:
there may be thousands of accounts with tens of keys each.
"""

from collections.abc import Iterable, Iterator, Mapping

from plantainstand_desired._items import (
    AccountName,
    ClientAccount,
    Item,
    ItemKey,
    ItemKind,
    KeyDigest,
)


class AccountIndex:
    """Current accounts by the digests of their keys."""

    def __init__(self, items: Iterable[Item] = ()):
        """Index accounts that share no key."""
        self._account_by_key: dict[KeyDigest, AccountName] = {}
        for name, account in _accounts_in(items):
            self._add_account(name, account)

    def find_problem(self, changes: Mapping[ItemKey, Item]) -> str | None:
        """Return which accounts would share a key after changes, or None.

        A key may move between accounts that one change replaces or removes.
        """
        changed_holders: dict[KeyDigest, AccountName] = {}
        for name, account in _accounts_in(changes.values()):
            for digest in account.key_digests:
                holder = self._account_by_key.get(digest)
                if (
                    holder is not None
                    and holder != name
                    and (ItemKind.ACCOUNT, holder) not in changes
                ):
                    return _shared_key_message(holder, name)
                other = changed_holders.setdefault(digest, name)
                if other != name:
                    return _shared_key_message(other, name)
        return None

    def apply_changes(
        self,
        current: Mapping[ItemKey, Item],
        changes: Mapping[ItemKey, Item],
    ) -> None:
        """Index changes for which :meth:`find_problem` returned None.

        ``current`` holds the items before the changes.
        """
        replaced = (current[key] for key in changes if key in current)
        for _name, account in _accounts_in(replaced):
            for digest in account.key_digests:
                self._account_by_key.pop(digest, None)
        for changed_name, changed in _accounts_in(changes.values()):
            self._add_account(changed_name, changed)

    def _add_account(self, name: AccountName, account: ClientAccount) -> None:
        self._account_by_key.update(dict.fromkeys(account.key_digests, name))


def _accounts_in(
    items: Iterable[Item],
) -> Iterator[tuple[AccountName, ClientAccount]]:
    for item in items:
        if isinstance(item.body, ClientAccount):
            yield AccountName(item.name), item.body


def _shared_key_message(holder: AccountName, name: AccountName) -> str:
    return f'accounts {holder} and {name} share a key'
