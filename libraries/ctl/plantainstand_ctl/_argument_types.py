"""Values on the command line."""

import argparse

from plantainstand_catalogue import ENTRY_TYPES, DrainSubjectKind
from plantainstand_core import EntryId, Revision
from urllib3.exceptions import LocationParseError
from urllib3.util import parse_url

_MAX_WAIT_S = 86400


def revision(text: str) -> Revision:
    """Read a revision."""
    number = int(text)
    if number < 0:
        raise argparse.ArgumentTypeError(f'{text} is below 0')
    return Revision(number)


def seconds(text: str) -> float:
    """Read a time to wait, in seconds."""
    seconds = float(text)
    if 0 <= seconds <= _MAX_WAIT_S:
        return seconds
    raise argparse.ArgumentTypeError(f'{text} is not in 0 to {_MAX_WAIT_S}')


def address(text: str) -> str:
    """Read the address of a daemon."""
    try:
        url = parse_url(text if '://' in text else f'http://{text}')
    except LocationParseError as problem:
        raise argparse.ArgumentTypeError(str(problem)) from problem
    if url.scheme != 'http' or not url.host or not url.port or url.path:
        raise argparse.ArgumentTypeError(f'{text!r} is not HOST:PORT')
    return f'http://{url.netloc}'


def entry_id(text: str) -> EntryId:
    """Read ``KIND/ID`` of an entry."""
    return EntryId(_qualified(text, tuple(ENTRY_TYPES)))


def subject(text: str) -> str:
    """Read ``KIND/ID`` of a drain subject."""
    return _qualified(text, tuple(kind.value for kind in DrainSubjectKind))


def _qualified(text: str, kinds: tuple[str, ...]) -> str:
    kind, _, name = text.partition('/')
    if kind not in kinds or not name or set(name) & set('/?#% '):
        raise argparse.ArgumentTypeError(
            f'{text!r} is not KIND/ID with a kind of {", ".join(kinds)}',
        )
    return text
