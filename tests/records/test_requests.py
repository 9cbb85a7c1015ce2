"""Hypothesis drives entry VMs that handle requests through one log."""

from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import TypeAlias

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    invariant,
    rule,
)
from plantainstand_core import Incarnation, LogIndex, RequestId, VmId
from plantainstand_records import (
    Abandon,
    Admission,
    Admit,
    Admitted,
    Answer,
    Answered,
    Complete,
    Expired,
    Fingerprint,
    Forget,
    IdRefused,
    InProgress,
    NotRun,
    RecordCommand,
    RecordOutcome,
    RecordState,
    decode_command,
    encode_command,
    stamp_command,
)

from tests.records.examples import uuid7

_START = datetime(2026, 1, 1, tzinfo=UTC)
_VMS = (VmId('a'), VmId('b'), VmId('c'))
_CONTENT = Fingerprint(b'same content')
# Clocks of successive leaders; all are within what callers are allowed.
_SKEWS = tuple(timedelta(minutes=minutes) for minutes in (-4, 0, 4))
_STEPS = tuple(timedelta(hours=hours) for hours in (1, 12, 24))

_Final: TypeAlias = Answered | NotRun


@dataclass
class _Attempt:
    """A caller's request at one entry VM."""

    request: RequestId
    admission: Admission
    may_dispatch: bool = False
    has_executed: bool = False
    is_over: bool = False
    """It has abandoned, or its deadline is over: it dispatches no more."""

    is_lost: bool = False
    """Its process has crashed."""


@dataclass
class _Vm:
    name: VmId
    incarnation: int = 1
    attempts: int = 0
    handled: list[_Attempt] = field(default_factory=list)


class Requests(RuleBasedStateMachine):
    """Entry VMs, callers that resend, and a log that delays and repeats."""

    request_ids: Bundle[RequestId] = Bundle('request_ids')
    attempts: Bundle[_Attempt] = Bundle('attempts')
    proposals: Bundle[RecordCommand] = Bundle('proposals')

    def __init__(self) -> None:
        """Start three VMs with an empty log."""
        super().__init__()
        self.now = _START
        self.skew = timedelta(0)
        self.index = 0
        self.state = RecordState()
        self.vms = {name: _Vm(name) for name in _VMS}
        self.executions: dict[RequestId, int] = {}
        self.told: dict[RequestId, _Final] = {}
        self.expired: set[RequestId] = set()

    @rule(target=request_ids, ahead=st.sampled_from((-60, 0, 4)))
    def new_request(self, ahead: int) -> RequestId:
        """A caller chooses an id; its clock may be a little off."""
        moment = self.now + timedelta(minutes=ahead)
        request = uuid7(moment, len(self.executions))
        self.executions[request] = 0
        return request

    @rule(target=attempts, request=request_ids, name=st.sampled_from(_VMS))
    def arrive(self, request: RequestId, name: VmId) -> _Attempt:
        """A request or a resend reaches a VM."""
        attempt = _Attempt(request, self._next_admission(name))
        self.vms[name].handled.append(attempt)
        return attempt

    @rule(target=proposals, attempt=attempts)
    def ask_admission(self, attempt: _Attempt) -> RecordCommand:
        """An attempt proposes its admission, perhaps again."""
        return self._admission(attempt)

    @rule(attempt=attempts)
    def be_admitted(self, attempt: _Attempt) -> None:
        """An admission is committed and its answer arrives."""
        if not attempt.is_lost:
            self._hear(attempt, self._commit(self._admission(attempt)))

    @rule(attempt=attempts)
    def dispatch(self, attempt: _Attempt) -> None:
        """A target runs the request of an attempt that may dispatch."""
        if attempt.may_dispatch and not attempt.is_over | attempt.has_executed:
            attempt.has_executed = True
            self.executions[attempt.request] += 1
            ran = self.executions[attempt.request]
            assert ran == 1, 'the request ran twice'

    @rule(target=proposals, attempt=attempts)
    def propose_report(self, attempt: _Attempt) -> RecordCommand:
        """An attempt reports: an answer if it ran, else it abandons.

        A frozen VM reports when it resumes, before or after others.
        """
        return self._report(attempt)

    @rule(attempt=attempts)
    def report(self, attempt: _Attempt) -> None:
        """A report is committed and its answer arrives."""
        if not attempt.is_lost:
            self._hear(attempt, self._commit(self._report(attempt)))

    @rule(request=request_ids, name=st.sampled_from(_VMS))
    def cancel(self, request: RequestId, name: VmId) -> None:
        """A caller cancels at a VM, perhaps the one that runs it."""
        admission = self._next_admission(name)
        command = Abandon(request, admission, 'cancelled', self.now)
        self._tell(request, self._commit(command))

    @rule(command=proposals)
    def commit_late(self, command: RecordCommand) -> None:
        """A proposal is committed, perhaps again; nobody hears of it."""
        self._commit(command)

    @rule(name=st.sampled_from(_VMS))
    def crash(self, name: VmId) -> None:
        """A VM loses its memory and comes back as a new incarnation."""
        vm = self.vms[name]
        for attempt in vm.handled:
            attempt.is_over = True
            attempt.is_lost = True
        self.vms[name] = _Vm(name, vm.incarnation + 1)

    @rule(step=st.sampled_from(_STEPS))
    def wait(self, step: timedelta) -> None:
        """Time passes, much longer than any deadline."""
        self.now += step
        for vm in self.vms.values():
            for attempt in vm.handled:
                attempt.is_over = True

    @rule(skew=st.sampled_from(_SKEWS))
    def change_leader(self, skew: timedelta) -> None:
        """Another voter leads; its clock differs a little."""
        self.skew = skew

    @rule()
    def forget(self) -> None:
        """The leader proposes to forget old records."""
        self._commit(Forget(self.now))

    @rule()
    def restore(self) -> None:
        """A voter starts again from a snapshot."""
        copy = RecordState()
        copy.restore(self.state.snapshot())
        assert copy.snapshot() == self.state.snapshot()
        self.state = copy

    @invariant()
    def told_the_truth(self) -> None:
        """Nothing ran of which a caller was told that it did not."""
        for request, told in self.told.items():
            ran = self.executions[request]
            assert ran == int(isinstance(told, Answered)), (request, told)

    @invariant()
    def lookups_agree(self) -> None:
        """A look-up says what the callers were told, or expired."""
        for request, told in self.told.items():
            found = self.state.lookup(request)
            assert found == told or isinstance(found, Expired), (found, told)

    def _admission(self, attempt: _Attempt) -> RecordCommand:
        return Admit(attempt.request, _CONTENT, attempt.admission, self.now)

    def _report(self, attempt: _Attempt) -> RecordCommand:
        if attempt.has_executed:
            answer = Answer(200, (), attempt.admission.vm.encode())
            return Complete(attempt.request, attempt.admission, answer)
        attempt.is_over = True
        return Abandon(attempt.request, attempt.admission, 'shed', self.now)

    def _next_admission(self, name: VmId) -> Admission:
        vm = self.vms[name]
        vm.attempts += 1
        return Admission(name, Incarnation(vm.incarnation), vm.attempts)

    def _commit(self, command: RecordCommand) -> RecordOutcome:
        self.index += 1
        stamped = stamp_command(command, self.now + self.skew)
        entry = decode_command(encode_command(stamped)).unwrap()
        return self.state.apply(entry, LogIndex(self.index))

    def _hear(self, attempt: _Attempt, outcome: RecordOutcome) -> None:
        if isinstance(outcome, Admitted):
            assert attempt.request not in self.expired, 'admitted again'
            attempt.may_dispatch = True
        else:
            self._tell(attempt.request, outcome)

    def _tell(self, request: RequestId, outcome: RecordOutcome) -> None:
        if isinstance(outcome, Answered | NotRun):
            first = self.told.setdefault(request, outcome)
            assert outcome == first, (outcome, first)
        elif isinstance(outcome, Expired):
            self.expired.add(request)
        else:
            assert isinstance(outcome, InProgress | IdRefused), outcome


RequestsTest = Requests.TestCase
RequestsTest.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=400,
    stateful_step_count=40,
    suppress_health_check=tuple(HealthCheck),
)
