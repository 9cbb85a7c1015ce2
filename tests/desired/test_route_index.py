"""Comparison of the incremental consistency check with a full check."""

import unittest
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_desired import Item, ItemKind, Route, Verdict

from tests.desired.builders import (
    AppliedCommands,
    removal,
    route_item,
    service_item,
)

_NAMES = ('r1', 'r2', 'r3')
_PREFIXES = ('/a/', '/b/')
_SERVICES = ('s1', 's2')

Change = tuple[str, str, str | None]


def _item(change: Change, version: int) -> Item:
    name, prefix, service = change
    if name in _SERVICES:
        if service is None:
            tombstone = removal(name, version)
            return Item(ItemKind.SERVICE, name, tombstone.version, None)
        return service_item(name, version)
    if service is None:
        return removal(name, version)
    return route_item(name, version, prefix=prefix, service=service)


def _is_consistent(items: Sequence[Item]) -> bool:
    """Check all items: the definition of a consistent state."""
    services = {
        item.name
        for item in items
        if item.kind is ItemKind.SERVICE and item.body is not None
    }
    routes = [item.body for item in items if isinstance(item.body, Route)]
    used_services = {part.service for route in routes for part in route.parts}
    host_prefixes = {(route.host, route.path_prefix) for route in routes}
    return used_services <= services and len(host_prefixes) == len(routes)


_CHANGES = st.lists(
    st.lists(
        st.tuples(
            st.sampled_from(_NAMES + _SERVICES),
            st.sampled_from(_PREFIXES),
            st.sampled_from((*_SERVICES, None)),
        ),
        min_size=1,
        max_size=4,
        unique_by=lambda change: change[0],
    ),
    max_size=12,
)


class RouteIndexTests(unittest.TestCase):
    """Guards against inconsistencies that the incremental check misses."""

    @given(calls=_CHANGES, restored=st.booleans())
    def test_agrees_with_a_full_check(
        self,
        calls: Sequence[Sequence[Change]],
        restored: bool,  # noqa: FBT001
    ) -> None:
        """Both checks agree for all changes, also after a restored snapshot."""
        applied = AppliedCommands()
        accepted_items: dict[str, Item] = {}
        for version, call in enumerate(calls, start=1):
            items = [_item(change, version) for change in call]
            merged = {**accepted_items, **{item.name: item for item in items}}
            expected = _is_consistent(list(merged.values()))
            outcome = applied.change(*items)
            self.assertEqual(outcome.verdict is Verdict.ACCEPTED, expected)
            if expected:
                accepted_items = merged
            if restored:
                applied.state.restore(applied.state.snapshot())
