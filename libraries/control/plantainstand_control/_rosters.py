"""Rosters that a control VM sends to entry VMs and other control VMs."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import msgspec
from plantainstand_core import Clock, VmId
from plantainstand_fleet import (
    Roster,
    SharingRegion,
    encode_fleet_message,
)
from plantainstand_links import Link

from plantainstand_control._entries import EntryRegistry
from plantainstand_control._limits import LimitExchange
from plantainstand_control._peers import Peers
from plantainstand_control._sharing import SharingRegistry


@dataclass(frozen=True)
class RosterInputs:
    """State from which rosters are built."""

    peers: Peers
    entries: EntryRegistry
    limits: LimitExchange
    has_leader_contact: Callable[[], bool]
    is_first_start: bool
    """Whether the whole system starts for the first time."""


@dataclass(frozen=True)
class _SentRoster:
    """What a link carried last."""

    frame: bytes
    """Encoded roster without ``sharing``."""

    sharing: tuple[SharingRegion, ...]


class RosterSender:
    """Sends a roster on each link on which it has changed."""

    def __init__(self, inputs: RosterInputs, clock: Clock):
        """Start without entry VMs that share limits."""
        self._inputs = inputs
        self._clock = clock
        self._sharing = SharingRegistry(
            clock.monotonic(), is_first_start=inputs.is_first_start
        )
        self._sent: dict[Link, _SentRoster] = {}

    def send(self, entry_links: Mapping[Link, VmId]) -> None:
        """Send rosters to the control VMs and on the links of entry VMs."""
        inputs = self._inputs
        live_vms = inputs.peers.live_vms()
        is_authoritative = inputs.has_leader_contact()
        self._sharing.update(
            inputs.entries.regions(),
            inputs.entries.counted_digests(),
            self._clock.monotonic(),
            may_shrink=is_authoritative,
        )
        roster = Roster(
            tuple(live_vms[vm] for vm in sorted(live_vms)),
            len(inputs.entries.entry_vms()),
            limits=inputs.limits.for_control_vms(),
            is_authoritative=is_authoritative,
        )
        inputs.peers.broadcast(roster)
        roster = msgspec.structs.replace(
            roster, limits=inputs.limits.for_entry_vms()
        )
        sharing = self._sharing.regions()
        for link, vm in entry_links.items():
            self._send_to_entry(link, self._personal(roster, vm), sharing)

    def forget(self, link: Link) -> None:
        """Forget a link that was closed."""
        self._sent.pop(link, None)

    def _personal(self, roster: Roster, vm: VmId) -> Roster:
        """Return the roster for one entry VM.

        Entry VMs of earlier builds split limits by the positions.
        """
        entries = self._inputs.entries
        place, count = entries.regional_positions().get(vm, (None, None))
        return msgspec.structs.replace(
            roster,
            entry_position=entries.positions().get(vm),
            region_entry_count=count,
            region_entry_position=place,
            receiver_is_settled=self._sharing.is_settled(
                vm, self._clock.monotonic()
            ),
        )

    def _send_to_entry(
        self, link: Link, roster: Roster, sharing: tuple[SharingRegion, ...]
    ) -> None:
        frame = encode_fleet_message(roster)
        sent = self._sent.get(link)
        if sent == _SentRoster(frame, sharing):
            return
        self._sent[link] = _SentRoster(frame, sharing)
        if sent is None or sent.sharing != sharing:
            roster = msgspec.structs.replace(roster, sharing=sharing)
            frame = encode_fleet_message(roster)
        link.send(frame)
