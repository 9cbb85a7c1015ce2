"""Fingerprint of a request's content."""

import hashlib
from typing import NewType

Fingerprint = NewType('Fingerprint', bytes)

FINGERPRINT_BYTES = 16
_LENGTH_BYTES = 8


def content_fingerprint(method: str, path: str, body: bytes) -> Fingerprint:
    """Return a digest that tells a resend from other content under one id.

    ``path`` includes the service and the query. Headers are left out: a
    caller's resend may carry another deadline or trace.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (method.encode(), path.encode(), body):
        # With the length in front, no two lists of parts give equal bytes.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return Fingerprint(digest.digest())
