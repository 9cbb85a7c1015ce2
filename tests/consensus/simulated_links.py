"""Links between simulated VMs, which may be cut, slow or lossy."""

import random
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import timedelta
from typing import TypeVar

from plantainstand_core import VmId
from plantainstand_links import LinkTimings

_TIMINGS = LinkTimings()
_RECONNECT_MAX = _TIMINGS.connect_timeout + _TIMINGS.reconnect_delay
_RETRANSMIT_DELAY = timedelta(milliseconds=300)
_NO_TIME = timedelta(0)

PayloadT = TypeVar('PayloadT')

LinkKey = tuple[VmId, VmId]
Schedule = Callable[[timedelta, Callable[[], None]], None]


@dataclass
class _Link:
    """Messages in one direction, which arrive in order."""

    cuts: set[int] = field(default_factory=set)
    cut_since: timedelta | None = None
    held: list[Callable[[], None]] = field(default_factory=list)
    usable_from: timedelta = _NO_TIME
    last_arrival: timedelta = _NO_TIME
    connection: int = 0
    """Number of the connection; its messages are lost with it."""


class SimulatedLinks:
    """Delivers messages in the order sent, or loses them with a connection."""

    def __init__(
        self,
        schedule: Schedule,
        clock: Callable[[], timedelta],
        random_source: random.Random,
    ):
        """Start with all links open; ``schedule`` runs an action later."""
        self._schedule = schedule
        self._clock = clock
        self._random = random_source
        self._links: dict[LinkKey, _Link] = {}
        self.loss_probability: float = 0
        """Probability that a message waits for a retransmission."""

        self.extra_delays: dict[VmId, timedelta] = {}
        """Added to each message from or to a VM; of two, the longer one."""

    def send(
        self, key: LinkKey, delay: timedelta, arrive: Callable[[], None]
    ) -> None:
        """Call ``arrive`` after the delay, unless the message is lost."""
        link = self._link(key)
        now = self._clock()
        if link.cut_since is not None:
            if now - link.cut_since < _TIMINGS.silence_timeout:
                link.held.append(arrive)
            return
        if now < link.usable_from:
            return
        delays = [self.extra_delays.get(vm, _NO_TIME) for vm in key]
        delay += max(delays)
        if self._random.random() < self.loss_probability:
            delay += _RETRANSMIT_DELAY * self._random.uniform(1, 3)
        self._send_at(key, now + delay, arrive)

    def cut(self, number: int, keys: Collection[LinkKey]) -> None:
        """Cut links; :meth:`heal` with the same number ends this."""
        for key in keys:
            link = self._link(key)
            link.cuts.add(number)
            if link.cut_since is None:
                link.cut_since = self._clock()

    def heal(self, number: int) -> None:
        """End a cut. Long ones have cost the connection."""
        for key, link in self._links.items():
            if number in link.cuts:
                link.cuts.remove(number)
                if not link.cuts:
                    self._reopen(key, link)

    def reset(self, vm: VmId) -> None:
        """Lose all connections of a VM, and open new ones."""
        for key, link in self._links.items():
            if vm in key:
                link.connection += 1
                link.held.clear()
                self._delay_use(link)

    def _link(self, key: LinkKey) -> _Link:
        return self._links.setdefault(key, _Link())

    def _reopen(self, key: LinkKey, link: _Link) -> None:
        since = link.cut_since
        held = link.held
        link.cut_since = None
        link.held = []
        now = self._clock()
        if since is not None and now - since < _TIMINGS.silence_timeout:
            delay = _RETRANSMIT_DELAY * self._random.random()
            for arrive in held:
                self._send_at(key, now + delay, arrive)
        else:
            link.connection += 1
            self._delay_use(link)

    def _delay_use(self, link: _Link) -> None:
        delay = _RECONNECT_MAX * self._random.random()
        link.usable_from = max(link.usable_from, self._clock() + delay)

    def _send_at(
        self, key: LinkKey, when: timedelta, arrive: Callable[[], None]
    ) -> None:
        link = self._link(key)
        connection = link.connection
        link.last_arrival = max(link.last_arrival, when)

        def arrive_unless_lost() -> None:
            if link.connection != connection:
                return
            if link.cut_since is None:
                arrive()
            else:
                link.held.append(arrive)

        self._schedule(link.last_arrival, arrive_unless_lost)
