"""Builders of items and state for tests."""

from plantainstand_core import LogIndex, RegionId, ServiceId
from plantainstand_desired import (
    ChangeItems,
    ChangeOutcome,
    ClientAccount,
    DesiredState,
    Item,
    ItemKind,
    Route,
    ServicePolicy,
    Version,
    WeightedService,
    decode_outcome,
    digest_key,
    encode_command,
)
from plantainstand_desired._state import Command


def route_item(
    name: str,
    version: int,
    *,
    host: str = 'shop.example',
    prefix: str = '/orders/',
    timeout: float = 1,
    objective: float = 0.5,
    service: str = 'orders',
    weight: float = 1,
) -> Item:
    """Return the item of a route with one service."""
    body = Route(
        host=host,
        path_prefix=prefix,
        idempotent=True,
        timeout_seconds=timeout,
        objective_seconds=objective,
        rank=0,
        max_attempts=2,
        sticky=True,
        home_regions=(),
        parts=(WeightedService(ServiceId(service), weight),),
    )
    document = f'{name} {version} {timeout}'.encode()
    return Item(ItemKind.ROUTE, name, Version(version), body, document)


def service_item(name: str = 'orders', version: int = 1) -> Item:
    """Return the item of a service."""
    body = ServicePolicy('/health', 100, 3, 15)
    return Item(ItemKind.SERVICE, name, Version(version), body, b'service')


def account_item(
    name: str,
    version: int,
    *keys: str,
    rank: int | None = None,
    rate: float = 0,
    burst: float = 0,
    home_regions: tuple[str, ...] = (),
) -> Item:
    """Return the item of a client account with keys."""
    body = ClientAccount(
        tuple(digest_key(key.encode()) for key in keys),
        rank,
        rate,
        burst,
        tuple(RegionId(region) for region in home_regions),
    )
    document = f'{name} {version} {keys}'.encode()
    return Item(ItemKind.ACCOUNT, name, Version(version), body, document)


def account_removal(name: str, version: int) -> Item:
    """Return the tombstone of a client account."""
    return Item(ItemKind.ACCOUNT, name, Version(version), None)


def removal(name: str, version: int) -> Item:
    """Return the tombstone of a route."""
    return Item(ItemKind.ROUTE, name, Version(version), None)


class AppliedCommands:
    """State after commands that are applied at consecutive log indexes."""

    def __init__(self, *commands: Command):
        self.state = DesiredState()
        self.index = LogIndex(0)
        for command in commands:
            self.apply(command)

    def apply(self, command: Command) -> ChangeOutcome:
        """Apply a command at the next log index."""
        self.index = LogIndex(self.index + 1)
        return decode_outcome(
            self.state.apply(self.index, encode_command(command)),
        )

    def change(self, *items: Item) -> ChangeOutcome:
        """Apply one command that changes the items."""
        return self.apply(ChangeItems(items))
