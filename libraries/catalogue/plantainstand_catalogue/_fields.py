"""Checks of the fields of a single entry."""

import difflib
import re
from collections.abc import Iterator, Mapping, Sequence

import msgspec
from result import Err, Ok, Result

from plantainstand_catalogue._entries import ENTRY_TYPES, AnyEntry
from plantainstand_catalogue._problems import CatalogueProblem

_KIND_FIELD = 'kind'
# msgspec ends its messages with the path inside the checked value.
_MESSAGE_PATH = re.compile(r' - at `\$(?P<path>[^`]*)`\Z')


def parse_entry(
    document: object,
    position: str = 'entry',
) -> Result[AnyEntry, Sequence[CatalogueProblem]]:
    """Convert a decoded JSON object to an entry, or report every bad field.

    ``position`` identifies the entry in problems if it has no valid kind or id.
    """
    if not isinstance(document, Mapping):
        return Err([_problem(position, '', 'is not an object', 'write {...}')])
    entry_type = ENTRY_TYPES.get(str(document.get(_KIND_FIELD)))
    if entry_type is None:
        return Err([_kind_problem(document, position)])
    name = _entry_name(document, position)
    problems = tuple(_struct_problems(document, entry_type, name, ''))
    if problems:
        return Err(problems)
    return Ok(msgspec.convert(document, entry_type))


def check_fields(entry: AnyEntry) -> Sequence[CatalogueProblem]:
    """Check an entry built in code, where no type enforces its bounds."""
    document = msgspec.to_builtins(entry)
    name = entry.entry_id
    return tuple(_struct_problems(document, type(entry), name, ''))


def _entry_name(document: Mapping[str, object], position: str) -> str:
    name = document.get('id')
    return (
        f'{document[_KIND_FIELD]}/{name}' if isinstance(name, str) else position
    )


def _kind_problem(
    document: Mapping[str, object],
    position: str,
) -> CatalogueProblem:
    known = ', '.join(ENTRY_TYPES)
    kind = document.get(_KIND_FIELD)
    message = f'{kind!r} is not an entry kind' if kind else 'is missing'
    return _problem(position, _KIND_FIELD, message, f'use one of {known}')


def _struct_problems(
    document: Mapping[str, object],
    struct_type: type[msgspec.Struct],
    name: str,
    prefix: str,
) -> Iterator[CatalogueProblem]:
    fields = msgspec.structs.fields(struct_type)
    known = [field.encode_name for field in fields]
    # The kind is the tag of an entry; nested structures have no tag.
    allowed = known if prefix else [*known, _KIND_FIELD]
    for unknown in sorted(set(document).difference(allowed)):
        yield _unknown_field(name, prefix, unknown, known)
    for field in fields:
        yield from _field_problems(document, field, name, prefix)


def _field_problems(
    document: Mapping[str, object],
    field: msgspec.structs.FieldInfo,
    name: str,
    prefix: str,
) -> Iterator[CatalogueProblem]:
    path = f'{prefix}{field.encode_name}'
    if field.encode_name not in document:
        if field.required:
            yield _problem(name, path, 'is missing', 'add the field')
        return
    member = document[field.encode_name]
    if _is_struct(field.type) and isinstance(member, Mapping):
        yield from _struct_problems(member, field.type, name, f'{path}.')
        return
    try:
        msgspec.convert(member, field.type)
    except msgspec.ValidationError as problem:
        text = _MESSAGE_PATH.sub(r' (at \g<path>)', str(problem))
        yield _problem(
            name, path, f'{member!r} is refused: {text}', 'change it'
        )


def _is_struct(field_type: object) -> bool:
    return isinstance(field_type, type) and issubclass(
        field_type,
        msgspec.Struct,
    )


def _unknown_field(
    name: str,
    prefix: str,
    unknown: str,
    known: Sequence[str],
) -> CatalogueProblem:
    matches = difflib.get_close_matches(unknown, known, n=1)
    remedy = f'did you mean `{matches[0]}`?' if matches else 'remove it'
    return _problem(name, f'{prefix}{unknown}', 'is an unknown field', remedy)


def _problem(
    name: str,
    field: str,
    message: str,
    remedy: str,
) -> CatalogueProblem:
    return CatalogueProblem(name, field, message, remedy)
