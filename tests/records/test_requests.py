"""Hypothesis drives entry VMs that handle requests through one log."""

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from enum import Enum, auto

import plantainstand_records as records
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from plantainstand_core import Incarnation, LogIndex, RequestId, VmId

from tests.records.examples import uuid7

_START = datetime(2026, 1, 1, tzinfo=UTC)
_VMS = (VmId('a'), VmId('b'))
_MAX_REQUESTS = 6
_MAX_ATTEMPTS = 4
# Without limits, most steps would end attempts before they run.
_MAX_WAITS = 3
_MAX_LEADERS = 5
_MAX_ENDS = 3
_CONTENT = records.Fingerprint(b'same content')
# Minutes by which the clocks of callers and of successive leaders differ:
# together up to 8, where 5 are tolerated.
_CALLER_SKEWS = (-2, 0, 4)
_LEADER_SKEWS = (-4, 0, 4)
_WAITS = (timedelta(hours=12), timedelta(hours=24))


class _Fate(Enum):
    HEARD = auto()
    ANSWER_LOST = auto()
    DELAYED = auto()
    CRASH = auto()
    """The step is taken, and the process that took it crashes."""


@dataclass(eq=False)
class _Attempt:
    """A caller's request at one process of an entry VM."""

    request: RequestId
    admission: records.Admission
    may_dispatch: bool = False
    has_executed: bool = False
    is_over: bool = False
    """It gave up or its deadline has passed: it dispatches no more."""


_fates = st.sampled_from(_Fate)
_vms = st.sampled_from(_VMS)
_attempts = st.runner().flatmap(lambda test: st.sampled_from(test.attempts))
_requests = st.runner().flatmap(lambda test: st.sampled_from(test.requests))
_delayed = st.runner().flatmap(lambda test: st.sampled_from(test.delayed))


class Requests(RuleBasedStateMachine):
    """Entry VMs, callers that resend, and a log that delays and repeats."""

    def __init__(self) -> None:
        """Start with an empty log."""
        super().__init__()
        self.now = _START
        self.skew = timedelta(0)
        self.waits = 0
        self.leaders = 1
        self.ends = 0
        self.state = records.RecordState()
        self.requests: list[RequestId] = []
        self.attempts: list[_Attempt] = []
        self.delayed: list[records.RecordCommand] = []
        self.counts = dict.fromkeys(_VMS, 0)
        self.incarnations = dict.fromkeys(_VMS, 1)
        self.executed: list[RequestId] = []
        self.told: dict[
            RequestId, records.Answered | records.NotRun | records.Expired
        ] = {}

    @precondition(lambda test: len(test.requests) < _MAX_REQUESTS)
    @rule(minutes=st.sampled_from(_CALLER_SKEWS))
    def new_request(self, minutes: int) -> None:
        """A caller chooses an id."""
        moment = self.now + timedelta(minutes=minutes)
        self.requests.append(uuid7(moment, len(self.requests)))

    @precondition(lambda test: test.requests)
    @rule(request=_requests, vms=st.sets(_vms, min_size=1))
    def arrive(self, request: RequestId, vms: set[VmId]) -> None:
        """A request or a resend reaches some VMs at one moment."""
        for vm in sorted(vms):
            attempt = _Attempt(request, self._next_admission(vm))
            self.attempts.append(attempt)
        # Older attempts count as frozen for good.
        self.attempts = self.attempts[-_MAX_ATTEMPTS:]

    @precondition(lambda test: test.attempts)
    @rule(fate=_fates)
    def advance_all(self, fate: _Fate) -> None:
        """Every attempt takes its next step."""
        for attempt in tuple(self.attempts):
            # A crash in an earlier step may have ended it.
            if attempt in self.attempts:
                self.advance(attempt, fate)

    @precondition(lambda test: test.attempts)
    @rule(attempt=_attempts, fate=_fates)
    def advance(self, attempt: _Attempt, fate: _Fate) -> None:
        """An attempt takes its next step, perhaps after a long freeze."""
        if attempt.has_executed:
            answer = records.Answer(200, (), attempt.admission.vm.encode())
            command = records.Complete(
                attempt.request, attempt.admission, answer
            )
            self._propose(attempt, command, fate)
        elif attempt.is_over:
            self.give_up(attempt, fate)
        elif attempt.may_dispatch:
            assert attempt.request not in self.executed, 'ran twice'
            self.executed.append(attempt.request)
            attempt.has_executed = True
        else:
            self._propose(attempt, self._admit(attempt), fate)
        if fate is _Fate.CRASH:
            self.crash(attempt.admission.vm)

    @precondition(lambda test: test.attempts and test.ends < _MAX_ENDS)
    @rule(attempt=_attempts, fate=_fates)
    def give_up(self, attempt: _Attempt, fate: _Fate) -> None:
        """No target accepted the request, or no admission came in time."""
        if not attempt.has_executed:
            self.ends += 1
            attempt.is_over = True
            command = self._abandon(attempt.request, attempt.admission)
            self._propose(attempt, command, fate)

    @precondition(lambda test: test.requests and test.ends < _MAX_ENDS)
    @rule(request=_requests, vm=_vms)
    def cancel(self, request: RequestId, vm: VmId) -> None:
        """A caller cancels at a VM, perhaps the one that runs it."""
        self.ends += 1
        command = self._abandon(request, self._next_admission(vm))
        self._tell(request, self._commit(command))

    @precondition(lambda test: test.delayed)
    @rule(command=_delayed)
    def commit_delayed(self, command: records.RecordCommand) -> None:
        """A proposal commits late, perhaps twice; its sender gave it up."""
        self._commit(command)

    @precondition(lambda test: test.attempts)
    @rule(vm=_vms)
    def crash(self, vm: VmId) -> None:
        """A process loses its attempts; the next one counts anew.

        Callers that have waited there send their requests again.
        """
        self.incarnations[vm] += 1
        self.counts[vm] = 0
        lost = [item for item in self.attempts if item.admission.vm == vm]
        self.attempts = [item for item in self.attempts if item not in lost]
        for attempt in lost:
            self.arrive(attempt.request, {vm})

    @precondition(lambda test: test.told and test.waits < _MAX_WAITS)
    @rule(wait=st.sampled_from(_WAITS), minutes=st.sampled_from(_LEADER_SKEWS))
    def wait(self, wait: timedelta, minutes: int) -> None:
        """Time passes, much longer than any deadline, under a new leader."""
        self.waits += 1
        self.now += wait
        self.skew = timedelta(minutes=minutes)
        for attempt in self.attempts:
            attempt.is_over = True

    @precondition(lambda test: test.leaders < _MAX_LEADERS)
    @rule(minutes=st.sampled_from(_LEADER_SKEWS))
    def change_leader(self, minutes: int) -> None:
        """The leader forgets what is old; another one takes over.

        A voter that restarts from a snapshot goes on alike.
        """
        self.leaders += 1
        self._commit(records.Forget(self.now))
        self.skew = timedelta(minutes=minutes)
        copy = records.RecordState()
        copy.restore(self.state.snapshot())
        assert copy.snapshot() == self.state.snapshot()
        self.state = copy

    @invariant()
    def told_the_truth(self) -> None:
        """Callers were told what happened, and look-ups still say so."""
        for request, told in self.told.items():
            if isinstance(told, records.Answered):
                assert request in self.executed, told
            if isinstance(told, records.NotRun):
                assert request not in self.executed, told
            found = self.state.lookup(request)
            assert isinstance(found, records.Expired) or found == told, (
                found,
                told,
            )

    def _admit(self, attempt: _Attempt) -> records.Admit:
        return records.Admit(
            attempt.request, _CONTENT, attempt.admission, self.now
        )

    def _abandon(
        self, request: RequestId, admission: records.Admission
    ) -> records.Abandon:
        return records.Abandon(request, admission, 'shed', self.now)

    def _next_admission(self, vm: VmId) -> records.Admission:
        self.counts[vm] += 1
        incarnation = Incarnation(self.incarnations[vm])
        return records.Admission(vm, incarnation, self.counts[vm])

    def _propose(
        self,
        attempt: _Attempt,
        command: records.RecordCommand,
        fate: _Fate,
    ) -> None:
        if fate is _Fate.DELAYED:
            self.delayed.append(command)
            return
        outcome = self._commit(command)
        if fate is _Fate.HEARD:
            self._hear(attempt, outcome)

    def _hear(self, attempt: _Attempt, outcome: records.RecordOutcome) -> None:
        if isinstance(outcome, records.Admitted):
            told = self.told.get(attempt.request)
            assert told is None, ('admitted after', told)
            attempt.may_dispatch = True
        else:
            self._tell(attempt.request, outcome)

    def _tell(self, request: RequestId, outcome: records.RecordOutcome) -> None:
        if isinstance(outcome, records.Expired):
            self.told.setdefault(request, outcome)
        elif isinstance(outcome, records.Answered | records.NotRun):
            first = self.told.setdefault(request, outcome)
            assert outcome == first, (outcome, first)
        else:
            assert isinstance(
                outcome, records.InProgress | records.IdRefused
            ), outcome

    def _commit(self, command: records.RecordCommand) -> records.RecordOutcome:
        stamped = records.stamp_command(command, self.now + self.skew)
        entry = records.decode_command(records.encode_command(stamped)).unwrap()
        return self.state.apply(entry, LogIndex(1))


RequestsTest = Requests.TestCase
RequestsTest.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=500,
    stateful_step_count=40,
    suppress_health_check=tuple(HealthCheck),
)
