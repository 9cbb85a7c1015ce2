"""Splits whole numbers of requests among entry VMs."""


def split_limit(
    total: int, entry_count: int, position: int | None, target_seed: int
) -> int:
    """Return the part of ``total`` requests that one of the VMs may send.

    What cannot be split evenly goes to some VMs, to others for each target.
    A VM that does not know its position, from 0, gets the even part only.
    """
    even, rest = divmod(total, max(1, entry_count))
    if position is None:
        return even
    turn = (position + target_seed) % max(1, entry_count)
    return even + (turn < rest)
