"""Loads and checks whole catalogues."""

from collections.abc import Sequence
from pathlib import Path
from typing import Any

import msgspec
from plantainstand_core import EntryId, load_settings
from result import Err, Ok, Result

from plantainstand_catalogue._entries import ENTRY_TYPES, AnyEntry
from plantainstand_catalogue._fields import parse_entry
from plantainstand_catalogue._problems import CatalogueProblem
from plantainstand_catalogue._references import ReferenceIndex
from plantainstand_catalogue._rules import check_put


class _Document(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    entries: Sequence[Any]


def load_catalogue_file(
    path: Path,
) -> Result[Sequence[AnyEntry], Sequence[CatalogueProblem]]:
    """Load and check a file ``{"entries": [...]}``, JSON with comments.

    Each returned entry follows those to which it refers, so that the entries
    can be put one by one into an empty catalogue. Otherwise all problems of
    all entries are reported.
    """
    document = load_settings(path, _Document)
    if isinstance(document, Err):
        problem = document.err_value
        return Err(
            [
                CatalogueProblem(
                    problem.source, '', problem.message, _FILE_REMEDY
                ),
            ]
        )
    parsed = [
        parse_entry(entry, f'entries[{position}]')
        for position, entry in enumerate(document.ok_value.entries)
    ]
    entries = [entry.ok_value for entry in parsed if isinstance(entry, Ok)]
    parse_problems = [
        problem
        for entry in parsed
        if isinstance(entry, Err)
        for problem in entry.err_value
    ]
    # References are checked only if all entries are valid: an invalid entry
    # would be reported as missing wherever another entry refers to it.
    problems = parse_problems or check_catalogue(entries)
    return Err(problems) if problems else Ok(in_reference_order(entries))


def check_catalogue(
    entries: Sequence[AnyEntry],
) -> Sequence[CatalogueProblem]:
    """Return every problem of a whole catalogue; empty if it is valid."""
    known: set[EntryId] = set()
    problems: list[CatalogueProblem] = []
    for entry in entries:
        if entry.entry_id in known:
            problems.append(_duplicate(entry))
        known.add(entry.entry_id)
    index = ReferenceIndex(entries)
    for checked in entries:
        problems.extend(check_put(checked, known, index))
    return tuple(problems)


def in_reference_order(entries: Sequence[AnyEntry]) -> Sequence[AnyEntry]:
    """Sort entries so that each follows those to which it refers."""
    kinds = tuple(ENTRY_TYPES)
    return sorted(entries, key=lambda entry: kinds.index(entry.kind))


_FILE_REMEDY = 'correct the file'


def _duplicate(entry: AnyEntry) -> CatalogueProblem:
    return CatalogueProblem(
        entry.entry_id,
        'id',
        'another entry of this kind has the same id',
        'rename or remove one of them',
    )
