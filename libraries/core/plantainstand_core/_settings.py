"""Loads JSON documents with comments into typed structures."""

import difflib
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

import jsonc
import msgspec
from result import Err, Ok, Result

SettingsT = TypeVar('SettingsT')


@dataclass(frozen=True)
class SettingsProblem:
    """Why a document was rejected."""

    source: str
    """File name or other name of the document."""

    message: str
    """What is wrong and where, in one sentence."""

    def __str__(self) -> str:
        """Return the text shown to an operator."""
        return f'{self.source}: {self.message}'


def load_settings(
    path: Path,
    settings_type: type[SettingsT],
) -> Result[SettingsT, SettingsProblem]:
    """Read a JSON file with comments into ``settings_type``.

    Unknown and missing fields and values of a wrong type or outside their
    range are rejected.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as problem:
        return Err(SettingsProblem(str(path), f'cannot be read: {problem}'))
    return parse_settings(text, settings_type, str(path))


def parse_settings(
    text: str,
    settings_type: type[SettingsT],
    source: str = 'settings',
) -> Result[SettingsT, SettingsProblem]:
    """Parse JSON text with comments into ``settings_type``."""
    try:
        document = jsonc.loads(text)
    except ValueError as problem:
        return Err(SettingsProblem(source, f'is not valid JSON: {problem}'))
    return convert_settings(document, settings_type, source)


def convert_settings(
    document: object,
    settings_type: type[SettingsT],
    source: str = 'settings',
) -> Result[SettingsT, SettingsProblem]:
    """Convert a parsed document to ``settings_type``, checking every field."""
    try:
        return Ok(msgspec.convert(document, settings_type, strict=True))
    except msgspec.ValidationError as problem:
        hint = _nearest_name_hint(str(problem), settings_type)
        return Err(SettingsProblem(source, f'{problem}{hint}'))


def _nearest_name_hint(message: str, settings_type: type[object]) -> str:
    prefix = 'Object contains unknown field `'
    if not message.startswith(prefix):
        return ''
    unknown = message.removeprefix(prefix).split('`', 1)[0]
    known = _known_names(msgspec.json.schema(settings_type))
    matches = difflib.get_close_matches(unknown, known, n=1)
    return f'; did you mean `{matches[0]}`?' if matches else ''


def _known_names(schema: Mapping[str, Any]) -> Sequence[str]:
    names: set[str] = set()
    for definition in (schema, *schema.get('$defs', {}).values()):
        names.update(definition.get('properties', ()))
    return sorted(names)
