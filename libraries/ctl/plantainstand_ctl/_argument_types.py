"""Parsers of command-line values."""

import argparse

from plantainstand_catalogue import ENTRY_TYPES, DrainSubjectKind
from plantainstand_core import EntryId, Revision
from urllib3.exceptions import LocationParseError
from urllib3.util import parse_url

_MAX_WAIT_SECONDS = 86400


def revision(text: str) -> Revision:
    """Parse a revision."""
    number = int(text)
    if number < 0:
        raise argparse.ArgumentTypeError(f'{text} is below 0')
    return Revision(number)


def seconds(text: str) -> float:
    """Parse a waiting time in seconds."""
    seconds = float(text)
    if 0 <= seconds <= _MAX_WAIT_SECONDS:
        return seconds
    raise argparse.ArgumentTypeError(
        f'{text} is not in 0 to {_MAX_WAIT_SECONDS}'
    )


def address(text: str) -> str:
    """Parse the address of a daemon, ``HOST:PORT``, and return its URL."""
    try:
        url = parse_url(text if '://' in text else f'http://{text}')
    except LocationParseError as problem:
        raise argparse.ArgumentTypeError(str(problem)) from problem
    if url.scheme != 'http' or not url.host or not url.port or url.path:
        raise argparse.ArgumentTypeError(f'{text!r} is not HOST:PORT')
    return f'http://{url.netloc}'


def request_path(text: str) -> str:
    """Parse the path of a request."""
    if not text.startswith('/'):
        raise argparse.ArgumentTypeError(f'{text!r} does not begin with /')
    return text


def entry_id(text: str) -> EntryId:
    """Parse the ``KIND/ID`` of an entry."""
    return EntryId(_check_qualified_id(text, tuple(ENTRY_TYPES)))


def subject(text: str) -> str:
    """Parse the ``KIND/ID`` of a drain subject."""
    return _check_qualified_id(
        text, tuple(kind.value for kind in DrainSubjectKind)
    )


def _check_qualified_id(text: str, kinds: tuple[str, ...]) -> str:
    kind, _, name = text.partition('/')
    if kind not in kinds or not name or set(name) & set('/?#% '):
        raise argparse.ArgumentTypeError(
            f'{text!r} is not KIND/ID with a kind of {", ".join(kinds)}',
        )
    return text
