"""Simulated cluster: cores with a network and disks that a test controls."""

import random
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_consensus import (
    Command,
    Configuration,
    Effects,
    Entry,
    LogLimits,
    Message,
    Node,
    ReplicaCore,
    Snapshot,
    decode_message,
    encode_message,
)
from plantainstand_core import DiskId, VmId

from tests.consensus.simulated_disk import (
    SimulatedDisk,
    check_durable_claims,
)

ROUND = timedelta(milliseconds=50)

_SEPARATOR = b' '


@dataclass
class SimulatedReplica:
    """Disk of a VM, and its process if it runs."""

    disk: SimulatedDisk
    core: ReplicaCore | None = None
    unsynced: list[Effects] = field(default_factory=list)
    applied: list[bytes] = field(default_factory=list)
    checked_count: int = 0
    """Applied commands that were compared with the committed ones."""


class SimulatedCluster:
    """Replicas, the messages between them, and the entries committed so far.

    Each step checks that committed entries are durable and never replaced, that
    a term has one leader, and that all replicas apply the same commands.
    """

    def __init__(self, vms: Sequence[VmId]):
        """Create a cluster without disks and processes."""
        self.vms = tuple(vms)
        self.now = timedelta(hours=1)
        self.replicas: dict[VmId, SimulatedReplica] = {}
        self.network: list[tuple[VmId, VmId, Message]] = []
        self.committed: dict[int, Entry] = {}
        self.commands: list[bytes] = []
        self.command_counts = {0: 0}
        self.leaders: dict[int, Node] = {}
        self.lost_disks: dict[Node, SimulatedDisk] = {}
        self.limits = LogLimits()
        self._starts = 0

    def form(self, members: Sequence[VmId]) -> None:
        """Create all disks; those of members start with the voter set."""
        for vm in self.vms:
            self.new_disk(vm)
        voters = tuple(self.replicas[vm].disk.node for vm in members)
        formed = Configuration(tuple(members), voters, formed=True)
        for vm in members:
            self.replicas[vm].disk.entries.append(Entry(1, 0, formed))
        self._record_committed(Entry(1, 0, formed))

    def new_disk(self, vm: VmId) -> None:
        """Replace the disk of a stopped VM by an empty one with a new id."""
        self._starts += 1
        node = Node(vm, DiskId(f'{vm}-{self._starts}'))
        self.replicas[vm] = SimulatedReplica(SimulatedDisk(node))

    def start(self, vm: VmId, founding_members: Sequence[VmId] = ()) -> None:
        """Start the process of a VM with its disk."""
        self._starts += 1
        replica = self.replicas[vm]
        log = replica.disk.load_log()
        replica.unsynced = []
        self._restore(replica, log.snapshot)
        replica.core = ReplicaCore(
            replica.disk.node,
            log,
            replica.disk.hard_state,
            peers=self.vms,
            founding_members=founding_members,
            random_source=random.Random(self._starts),
            now=self.now,
            limits=self.limits,
        )

    def crash(self, vm: VmId, kept_writes: int = 0) -> None:
        """Stop a process; ``kept_writes`` of its unsynced writes survive."""
        replica = self.replicas[vm]
        writes = [write for batch in replica.unsynced for write in batch.writes]
        for write in writes[:kept_writes]:
            replica.disk.perform(write)
        replica.unsynced = []
        replica.core = None

    def lose_disk(self, vm: VmId) -> None:
        """Stop a process and replace its disk by an empty one."""
        disk = self.replicas[vm].disk
        self.lost_disks[disk.node] = disk
        self.new_disk(vm)

    def running(self) -> Sequence[VmId]:
        """Return the VMs whose process runs."""
        return [vm for vm in self.vms if self.replicas[vm].core is not None]

    def leader(self) -> VmId | None:
        """Return the VM of the leader with the newest term."""
        leading = [
            (core.state.term, vm)
            for vm in self.vms
            if (core := self.replicas[vm].core) and core.leadership
        ]
        return max(leading)[1] if leading else None

    def collect(self, vm: VmId) -> None:
        """Execute the effects of a core, but leave its writes unsynced."""
        replica = self.replicas[vm]
        if replica.core is None:
            return
        effects = replica.core.take_effects()
        self._send(vm, effects.messages)
        if effects.sequence:
            replica.unsynced.append(effects)
        self._check_single_leader(replica, replica.core)
        self._apply(replica, effects)

    def sync(self, vm: VmId) -> None:
        """Make the oldest batch of unsynced writes durable."""
        replica = self.replicas[vm]
        if replica.core is None or not replica.unsynced:
            return
        effects = replica.unsynced.pop(0)
        for write in effects.writes:
            replica.disk.perform(write)
        replica.core.record_synced(effects.sequence)
        self._send(vm, effects.messages_after_sync)
        self.collect(vm)

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver one message; with ``keep`` it may be delivered again."""
        source, destination, message = self.network[position]
        if not keep:
            self.network.pop(position)
        self.receive(source, destination, message)

    def receive(
        self, source: VmId, destination: VmId, message: Message
    ) -> None:
        """Pass a message to a process, if it runs."""
        replica = self.replicas.get(destination)
        if replica is not None and replica.core is not None:
            replica.core.receive(source, message)
            self.collect(destination)

    def tick(self, vm: VmId) -> None:
        """Advance the time of a core."""
        core = self.replicas[vm].core
        if core is not None:
            core.tick(self.now)
            self.collect(vm)

    def run_rounds(self, count: int, connected: Collection[VmId]) -> None:
        """Advance the time by rounds; drop messages from or to other VMs."""
        end = self.now + count * ROUND
        while self.now < end:
            self.now += ROUND
            for ticking in self.vms:
                self.tick(ticking)
            for syncing in self.vms:
                self.sync(syncing)
            self._deliver_between(connected)

    def compact(self, vm: VmId, retained: int) -> None:
        """Take a snapshot of a state machine and compact the log."""
        replica = self.replicas[vm]
        if replica.core is not None:
            replica.core.compact(_SEPARATOR.join(replica.applied), retained)
            self.collect(vm)

    def may_lose_disk(self, vm: VmId) -> bool:
        """Return whether every voter set in use would keep a majority."""
        lost = {*self.lost_disks, self.replicas[vm].disk.node}
        return all(
            len(set(voter_set.voters) - lost) >= voter_set.quorum
            for voter_set in self._voter_sets_in_use()
        )

    def _deliver_between(self, connected: Collection[VmId]) -> None:
        self.network = [
            sent
            for sent in self.network
            if sent[0] in connected and sent[1] in connected
        ]
        remaining = len(self.network)
        while remaining:
            self.deliver(0)
            remaining -= 1

    def _voter_sets_in_use(self) -> Sequence[Configuration]:
        committed = [
            (index, entry.body)
            for index, entry in self.committed.items()
            if isinstance(entry.body, Configuration)
        ]
        newest, current = max(committed, key=lambda indexed: indexed[0])
        logs = [replica.disk.load_log() for replica in self.replicas.values()]
        logs.extend(
            replica.core.state.log
            for replica in self.replicas.values()
            if replica.core is not None
        )
        later = [
            log.configuration
            for log in logs
            if log.configuration_index > newest
        ]
        return [current, *later]

    def _send(
        self,
        source: VmId,
        outgoing: Sequence[tuple[VmId, Message]],
    ) -> None:
        for destination, message in outgoing:
            check_durable_claims(self.replicas[source].disk, message)
            decoded = decode_message(encode_message(message)).unwrap()
            self._transmit(source, destination, decoded)

    def _transmit(
        self, source: VmId, destination: VmId, message: Message
    ) -> None:
        self.network.append((source, destination, message))

    def _check_single_leader(
        self,
        replica: SimulatedReplica,
        core: ReplicaCore,
    ) -> None:
        if core.leadership is None:
            return
        leader = self.leaders.setdefault(core.state.term, replica.disk.node)
        if leader != replica.disk.node:
            raise AssertionError(
                f'{leader} and {replica.disk.node} lead term {core.state.term}',
            )

    def _apply(self, replica: SimulatedReplica, effects: Effects) -> None:
        core = replica.core
        if effects.restore is not None:
            self._restore(replica, effects.restore)
        for entry in effects.committed:
            self._check_committed(replica, entry)
            if isinstance(entry.body, Command):
                replica.applied.append(entry.body.payload)
        if core is not None and (effects.restore or effects.committed):
            self._check_applied(replica, core.state.delivered_index)

    def _check_committed(
        self,
        replica: SimulatedReplica,
        entry: Entry,
    ) -> None:
        known = self.committed.get(entry.index)
        if known is None:
            self._record_committed(entry)
            self._check_durable(replica, entry)
        elif known != entry:
            raise AssertionError(f'{known} was replaced by {entry}')

    def _check_durable(
        self,
        replica: SimulatedReplica,
        entry: Entry,
    ) -> None:
        # The leader is the first replica to return a committed entry. A disk
        # that was lost since had the entry when it acknowledged it.
        if replica.core is None:
            return
        disks = dict(self.lost_disks)
        for present in self.replicas.values():
            disks[present.disk.node] = present.disk
        voter_set = replica.core.state.log.configuration
        holders = [
            voter
            for voter in voter_set.voters
            if disks[voter].has_entry(entry.index, entry.term)
        ]
        if len(holders) < voter_set.quorum:
            raise AssertionError(f'{entry} is committed on {holders} only')

    def _record_committed(self, entry: Entry) -> None:
        if entry.index - 1 not in self.command_counts:
            raise AssertionError(f'{entry} is committed after a gap')
        self.committed[entry.index] = entry
        if isinstance(entry.body, Command):
            self.commands.append(entry.body.payload)
        self.command_counts[entry.index] = len(self.commands)

    def _restore(
        self, replica: SimulatedReplica, snapshot: Snapshot | None
    ) -> None:
        payload = b'' if snapshot is None else snapshot.payload
        replica.applied = payload.split()
        replica.checked_count = 0

    def _check_applied(self, replica: SimulatedReplica, through: int) -> None:
        # What was compared before is not compared again: long days apply
        # thousands of commands.
        start = replica.checked_count
        expected = self.commands[start : self.command_counts[through]]
        if replica.applied[start:] != expected:
            raise AssertionError(
                f'{replica.disk.node} applied {replica.applied}, '
                f'expected {expected} after {start}',
            )
        replica.checked_count = len(replica.applied)
