"""Checks across the fields of an entry and across entries."""

import ipaddress
from collections.abc import Callable, Container, Iterator, Mapping, Sequence
from types import MappingProxyType

from plantainstand_core import EntryId

from plantainstand_catalogue._entries import AnyEntry, Link, Service, Target
from plantainstand_catalogue._fields import check_fields
from plantainstand_catalogue._problems import CatalogueProblem
from plantainstand_catalogue._references import (
    ReferenceIndex,
    references_of,
    unique_value_of,
)


def check_entry(entry: AnyEntry) -> Sequence[CatalogueProblem]:
    """Check an entry's fields, and then the rules across them."""
    problems = check_fields(entry)
    if problems:
        return problems
    return tuple(_broken_rules(entry))


def check_put(
    entry: AnyEntry,
    known: Container[EntryId],
    index: ReferenceIndex,
) -> Sequence[CatalogueProblem]:
    """Check whether ``entry`` may be put.

    ``known`` holds the ids of all entries and ``index`` is their index.
    """
    return (
        *check_entry(entry),
        *_missing_references(entry, known),
        *_duplicate_values(entry, index),
    )


def check_removal(
    entry_id: EntryId,
    index: ReferenceIndex,
) -> Sequence[CatalogueProblem]:
    """Check that no entry refers to ``entry_id``."""
    return tuple(
        CatalogueProblem(
            entry_id,
            '',
            f'{referrer} refers to it',
            f'remove {referrer} first or let it refer to another entry',
        )
        for referrer in index.referrers(entry_id)
    )


def _missing_references(
    entry: AnyEntry,
    known: Container[EntryId],
) -> Iterator[CatalogueProblem]:
    for reference in references_of(entry):
        if reference.entry_id not in known:
            yield CatalogueProblem(
                entry.entry_id,
                reference.field,
                f'there is no entry {reference.entry_id}',
                'add that entry first or correct the name',
            )


def _duplicate_values(
    entry: AnyEntry,
    index: ReferenceIndex,
) -> Iterator[CatalogueProblem]:
    unique_value = unique_value_of(entry)
    if unique_value is None:
        return
    for other in index.entries_with_value(unique_value):
        if other != entry.entry_id:
            yield CatalogueProblem(
                entry.entry_id,
                unique_value.field,
                f'{other} already has {unique_value.text}',
                f'change this entry, or change or remove {other} first',
            )


def _broken_rules(entry: AnyEntry) -> Iterator[CatalogueProblem]:
    rules = _RULES.get(entry.kind)
    if rules is None:
        return
    for is_broken, field, message, remedy in rules(entry):
        if is_broken:
            yield CatalogueProblem(entry.entry_id, field, message, remedy)


_Rules = Iterator[tuple[bool, str, str, str]]


def _link_rules(link: Link) -> _Rules:
    yield (
        link.from_region == link.to_region,
        'to_region',
        f'the link leads from {link.from_region} to itself',
        'name two different regions; delays inside a region are its '
        + 'zone_delay_ms',
    )


def _service_rules(service: Service) -> _Rules:
    yield (
        service.hedge.enabled and not service.idempotent,
        'hedge.enabled',
        'a hedge could run a non-idempotent request twice',
        'disable the hedge, or set idempotent if every request may be '
        + 'repeated without harm',
    )


def _target_rules(target: Target) -> _Rules:
    limits = target.limits
    yield (
        limits.connections < limits.slots,
        'limits.connections',
        f'{limits.connections} connections cannot fill {limits.slots} slots',
        'allow at least one connection for each slot',
    )
    yield (
        not _is_canonical_address(target.host),
        'host',
        f'{target.host!r} is not an IP address in its usual form',
        'write the address like 10.0.0.7 or 2001:db8::7',
    )


def _is_canonical_address(host: str) -> bool:
    # Addresses are compared as text to find duplicates.
    try:
        return str(ipaddress.ip_address(host)) == host
    except ValueError:
        return False


_RULES: Mapping[str, Callable[..., _Rules]] = MappingProxyType(
    {
        Link.kind: _link_rules,
        Service.kind: _service_rules,
        Target.kind: _target_rules,
    }
)
