"""Fingerprint of the content of a request."""

import hashlib
from typing import NewType

Fingerprint = NewType('Fingerprint', bytes)

FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 8


def content_fingerprint(method: str, path: str, body: bytes) -> Fingerprint:
    """Return a digest that distinguishes resends from reused request ids.

    ``path`` includes the service and the query. Headers are not included,
    because a resend may have another deadline or trace id.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode(), body):
        # The length prefix prevents different parts from having the same
        # concatenation.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.digest())
