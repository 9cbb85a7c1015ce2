"""The check of a change against the check of everything."""

import unittest
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_desired import Item, ItemKind, Route, Verdict

from tests.desired.builders import Log, removal, route_item, service_item

_NAMES = ('r1', 'r2', 'r3')
_PREFIXES = ('/a/', '/b/')
_SERVICES = ('s1', 's2')

Change = tuple[str, str, str | None]


def _item(change: Change, version: int) -> Item:
    name, prefix, service = change
    if name in _SERVICES:
        if service is None:
            marker = removal(name, version)
            return Item(ItemKind.SERVICE, name, marker.version, None)
        return service_item(name, version)
    if service is None:
        return removal(name, version)
    return route_item(name, version, prefix=prefix, service=service)


def _fits(items: Sequence[Item]) -> bool:
    """Check everything, as the definition of what is valid."""
    services = {
        item.name
        for item in items
        if item.kind is ItemKind.SERVICE and item.body is not None
    }
    routes = [item.body for item in items if isinstance(item.body, Route)]
    named = {part.service for route in routes for part in route.parts}
    places = {(route.host, route.path_prefix) for route in routes}
    return named <= services and len(places) == len(routes)


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
    """A check of what a change touches must miss nothing."""

    @given(calls=_CHANGES, restored=st.booleans())
    def test_agrees_with_a_check_of_everything(
        self,
        calls: Sequence[Sequence[Change]],
        restored: bool,  # noqa: FBT001
    ) -> None:
        """Also after a restart from a snapshot."""
        log = Log()
        held: dict[str, Item] = {}
        for version, call in enumerate(calls, start=1):
            items = [_item(change, version) for change in call]
            merged = {**held, **{item.name: item for item in items}}
            expected = _fits(list(merged.values()))
            outcome = log.change(*items)
            self.assertEqual(outcome.verdict is Verdict.ACCEPTED, expected)
            if expected:
                held = merged
            if restored:
                log.state.restore(log.state.snapshot())
