"""Mapping of client address blocks to availability zones."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import TypeAlias

from plantainstand_core import AvailabilityZoneId

_Network: TypeAlias = ipaddress.IPv4Network | ipaddress.IPv6Network
_Address: TypeAlias = ipaddress.IPv4Address | ipaddress.IPv6Address
_Ranges: TypeAlias = tuple[Sequence[int], Sequence[int]]
_NO_ZONE = -1
_IPV4 = 4
_LAST_IPV4 = int(ipaddress.IPv4Address('255.255.255.255'))
_IPV6 = 6


class ClientBlockTable:
    """Longest prefix match from an address to a zone.

    Nested blocks are flattened into ranges without overlap once, so a
    look-up is one binary search.
    """

    def __init__(
        self,
        blocks: Iterable[tuple[_Network, AvailabilityZoneId]],
    ):
        """Build the table; of equal blocks, the last one counts."""
        numbers: dict[AvailabilityZoneId, int] = {}
        by_version: dict[int, dict[_Network, int]] = {_IPV4: {}, _IPV6: {}}
        for network, zone in blocks:
            number = numbers.setdefault(zone, len(numbers))
            by_version[network.version][network] = number
        self._zones: Sequence[AvailabilityZoneId] = tuple(numbers)
        starts, zones = _flatten(by_version[_IPV4])
        if starts and starts[-1] > _LAST_IPV4:
            # The end of a block that reaches the end of the address space.
            starts.pop()
        # Four bytes hold an IPv4 address; IPv6 starts stay whole numbers.
        self._ipv4: _Ranges = (array('I', starts), zones)
        self._ipv6: _Ranges = _flatten(by_version[_IPV6])

    @property
    def range_count(self) -> int:
        """Number of ranges over both versions."""
        return len(self._ipv4[0]) + len(self._ipv6[0])

    def find(self, address: _Address) -> AvailabilityZoneId | None:
        """Return the zone of the longest block that holds the address."""
        is_ipv4 = address.version == _IPV4
        starts, zones = self._ipv4 if is_ipv4 else self._ipv6
        place = bisect_right(starts, int(address)) - 1
        number = zones[place] if place >= 0 else _NO_ZONE
        return None if number == _NO_ZONE else self._zones[number]


def _flatten(blocks: dict[_Network, int]) -> tuple[list[int], 'array[int]']:
    """Return the starts of ranges without overlap and their zones.

    Walks the blocks from the outer to the inner ones with a stack of those
    that are open at the current address.
    """
    starts: list[int] = []
    zones = array('h')
    open_blocks: list[tuple[int, int]] = []

    def close_before(address: int | None) -> None:
        while open_blocks and (
            address is None or open_blocks[-1][0] <= address
        ):
            end = open_blocks.pop()[0]
            outer = open_blocks[-1][1] if open_blocks else _NO_ZONE
            _append(starts, zones, end, outer)

    for network, number in sorted(blocks.items(), key=_by_start):
        start = int(network.network_address)
        close_before(start)
        _append(starts, zones, start, number)
        open_blocks.append((start + _size(network), number))
    close_before(None)
    return starts, zones


def _append(
    starts: list[int],
    zones: 'array[int]',
    start: int,
    number: int,
) -> None:
    if starts and starts[-1] == start:
        zones[-1] = number
    elif not zones or zones[-1] != number:
        starts.append(start)
        zones.append(number)


def _size(network: _Network) -> int:
    # The property of the network keeps an address object for each block.
    return 1 << (network.max_prefixlen - network.prefixlen)


def _by_start(block: tuple[_Network, int]) -> tuple[int, int]:
    network = block[0]
    return int(network.network_address), network.prefixlen
