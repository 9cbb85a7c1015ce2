"""Keys of objects, in a form that may be remembered."""

import xxhash

MAX_KEY_BYTES = 64
"""Longest key that is kept as it is. Clients choose keys as long as a head may
be, and a VM remembers thousands of them."""


def bounded_key(stated: bytes) -> bytes:
    """Return a key that takes at most ``MAX_KEY_BYTES``.

    A longer key is replaced by its digest. Clients can make up keys that share
    a digest; these then share a target, as if they named one object.
    """
    if len(stated) <= MAX_KEY_BYTES:
        return stated
    return xxhash.xxh3_128_digest(stated)
