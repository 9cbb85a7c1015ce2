"""A local dispatcher before a client and threads that the test controls."""

from collections import deque
from collections.abc import Callable
from concurrent.futures import Executor, Future
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any, cast

from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    RequestId,
    ServiceId,
    TargetId,
)
from plantainstand_daemon._admission import SlotAdmission
from plantainstand_daemon._dispatch import (
    AttemptLimits,
    DispatchOutcome,
    DispatchReport,
    TargetAddress,
    TargetClient,
)
from plantainstand_daemon._holding import create_incarnation_state
from plantainstand_daemon._local import LocalDispatcher
from plantainstand_daemon._messages import Answer, SteeredRequest
from plantainstand_daemon._services import (
    ServiceRuntime,
    ServiceTable,
    VmLocation,
)
from plantainstand_shares import SupportTiming

from tests.catalogue import examples
from tests.consensus.simulated_loop import SimulatedLoop
from tests.daemon.deployment import OWN, Deployment, slots
from tests.daemon.fakes import make_instruments

SERVICE = ServiceId('catalogue')
PLACE = VmLocation(OWN.vm, AvailabilityZoneId('bajio-a'), RegionId('bajio'))


class HeldExecutor(Executor):
    """Runs each call when the test says so."""

    def __init__(self) -> None:
        """Start without calls."""
        self._calls: deque[Callable[[], None]] = deque()

    def submit(
        self,
        fn: Callable[..., Any],
        /,
        *arguments: Any,
        **named: Any,
    ) -> Future[Any]:
        """Keep a call."""
        future: Future[Any] = Future()

        def call() -> None:
            future.set_result(fn(*arguments, **named))

        self._calls.append(call)
        return future

    def run_next(self) -> None:
        """Run the oldest call."""
        self._calls.popleft()()


class InlineExecutor(HeldExecutor):
    """Runs each call at once."""

    def submit(
        self,
        fn: Callable[..., Any],
        /,
        *arguments: Any,
        **named: Any,
    ) -> Future[Any]:
        """Run a call."""
        future = super().submit(fn, *arguments, **named)
        self.run_next()
        return future


@dataclass
class FakeClient:
    """Targets that answer, or lose the requests named to it."""

    loop: SimulatedLoop
    lost: set[str] = field(default_factory=set)
    state: str = ''
    """What targets say to a cancellation."""

    sent: list[tuple[str, TargetId]] = field(default_factory=list)
    sent_at: dict[str, timedelta] = field(default_factory=dict)

    def send(
        self,
        address: TargetAddress,
        request: SteeredRequest,
        time_left: Callable[[], timedelta],
        _limits: AttemptLimits,
    ) -> DispatchReport:
        """See :meth:`TargetClient.send`."""
        if time_left() <= timedelta(0):
            return DispatchReport(DispatchOutcome.UNREACHABLE)
        self.sent.append((request.path, address.target))
        self.sent_at[request.path] = self.loop.monotonic()
        if request.path in self.lost:
            return DispatchReport(DispatchOutcome.UNKNOWN)
        answer = Answer(200, (), request.path.encode())
        return DispatchReport(DispatchOutcome.ANSWERED, answer)

    def cancel(self, _address: TargetAddress, _request_id: str) -> str:
        """See :meth:`TargetClient.cancel`."""
        return self.state


class Bench:
    """One VM with targets of one slot each."""

    def __init__(
        self,
        loop: SimulatedLoop,
        *,
        idempotent: bool = True,
        targets: int = 1,
        vms: tuple[str, ...] = (OWN.vm,),
        executor: HeldExecutor | None = None,
    ) -> None:
        """Give the VM authority at the start of the loop."""
        self.loop = loop
        self.client = FakeClient(loop)
        self.executor = executor or InlineExecutor()
        self.admission = SlotAdmission(loop)
        entries = (
            *examples.ENTRIES[:6],
            examples.service(SERVICE, idempotent=idempotent),
            *(
                # Each VM of the zone owns one slot.
                slots(
                    examples.target(f't-{number}', port=21000 + number),
                    len(vms),
                )
                for number in range(targets)
            ),
        )
        view = Deployment(entries, vms).view
        self.holding = create_incarnation_state(*OWN, loop, SupportTiming())
        self.holding.apply(view.shares, loop.monotonic())
        self.holding.support.record_leader_support(loop.monotonic())
        table = ServiceTable(PLACE, loop, Random(1))
        table.apply(view, OWN, self.holding.ledger)
        self.runtime: ServiceRuntime = table.runtimes[SERVICE]
        self.admission.apply(table.runtimes, self.holding)
        self.local = LocalDispatcher(
            self.admission,
            cast(TargetClient, self.client),
            self.executor,
            loop,
            make_instruments(loop).metrics,
        )

    @property
    def taken(self) -> int:
        """Slots in use."""
        return sum(map(self.runtime.view.in_flight, self.runtime.targets))

    def request(
        self,
        path: str,
        seconds: float = 10,
        request_id: str | None = None,
    ) -> SteeredRequest:
        """Build a request that is told apart by its path."""
        return SteeredRequest(
            RequestId(request_id or path),
            SERVICE,
            'GET',
            path,
            (),
            b'',
            self.loop.monotonic() + timedelta(seconds=seconds),
        )
