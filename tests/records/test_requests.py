"""Random histories of entry VMs that handle requests through one log."""

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
_MAX_REQUEST_COUNT = 6
_MAX_ATTEMPT_COUNT = 4
# Without these limits, most steps end attempts before their requests run.
_MAX_WAIT_COUNT = 3
_MAX_LEADER_COUNT = 5
_MAX_ABANDON_COUNT = 3
_CONTENT = records.Fingerprint(b'same content')
# Clock offsets of callers and of successive leaders in minutes. They add up to
# 8, of which 5 are tolerated.
_CALLER_SKEWS_MINUTES = (-2, 0, 4)
_LEADER_SKEWS_MINUTES = (-4, 0, 4)
_WAITS = (timedelta(hours=12), timedelta(hours=24))


class _Delivery(Enum):
    ANSWERED = auto()
    ANSWER_LOST = auto()
    DELAYED = auto()
    CRASH = auto()
    """The process crashes after the step."""


@dataclass(eq=False)
class _Attempt:
    """A request at a process of an entry VM."""

    request: RequestId
    admission: records.Admission
    may_dispatch: bool = False
    has_executed: bool = False
    is_over: bool = False
    """Given up or past its deadline; never dispatches again."""


_deliveries = st.sampled_from(_Delivery)
_vms = st.sampled_from(_VMS)
_attempts = st.runner().flatmap(lambda test: st.sampled_from(test.attempts))
_requests = st.runner().flatmap(lambda test: st.sampled_from(test.requests))
_delayed = st.runner().flatmap(lambda test: st.sampled_from(test.delayed))


class Requests(RuleBasedStateMachine):
    """Entry VMs, callers that resend, and a log that delays and repeats.

    Fails if a request runs twice or a caller gets a wrong outcome.
    """

    def __init__(self) -> None:
        """Create an empty state."""
        super().__init__()
        self.now = _START
        self.leader_skew = timedelta(0)
        self.wait_count = 0
        self.leader_count = 1
        self.abandon_count = 0
        self.state = records.RecordState()
        self.requests: list[RequestId] = []
        self.attempts: list[_Attempt] = []
        self.delayed: list[records.RecordCommand] = []
        self.attempt_counts = dict.fromkeys(_VMS, 0)
        self.incarnations = dict.fromkeys(_VMS, 1)
        self.executed: list[RequestId] = []
        self.reported_outcomes: dict[
            RequestId, records.Answered | records.NotRun | records.Expired
        ] = {}

    @precondition(lambda test: len(test.requests) < _MAX_REQUEST_COUNT)
    @rule(minutes=st.sampled_from(_CALLER_SKEWS_MINUTES))
    def new_request(self, minutes: int) -> None:
        """Generate the id of a new request."""
        moment = self.now + timedelta(minutes=minutes)
        self.requests.append(uuid7(moment, len(self.requests)))

    @precondition(lambda test: test.requests)
    @rule(request=_requests, vms=st.sets(_vms, min_size=1))
    def arrive(self, request: RequestId, vms: set[VmId]) -> None:
        """Deliver a request or a resend to some VMs at the same time."""
        for vm in sorted(vms):
            attempt = _Attempt(request, self._next_admission(vm))
            self.attempts.append(attempt)
        # Older attempts are dropped, as if paused permanently.
        self.attempts = self.attempts[-_MAX_ATTEMPT_COUNT:]

    @precondition(lambda test: test.attempts)
    @rule(delivery=_deliveries)
    def advance_all(self, delivery: _Delivery) -> None:
        """Execute the next step of every attempt."""
        for attempt in tuple(self.attempts):
            # A crash in an earlier step may have ended the attempt.
            if attempt in self.attempts:
                self.advance(attempt, delivery)

    @precondition(lambda test: test.attempts)
    @rule(attempt=_attempts, delivery=_deliveries)
    def advance(self, attempt: _Attempt, delivery: _Delivery) -> None:
        """Execute the next step of an attempt, even after a long pause."""
        if attempt.has_executed:
            answer = records.Answer(200, (), attempt.admission.vm.encode())
            command = records.Complete(
                attempt.request, attempt.admission, answer
            )
            self._propose(attempt, command, delivery)
        elif attempt.is_over:
            self.give_up(attempt, delivery)
        elif attempt.may_dispatch:
            assert attempt.request not in self.executed, 'ran twice'
            self.executed.append(attempt.request)
            attempt.has_executed = True
        else:
            self._propose(attempt, self._admit(attempt), delivery)
        if delivery is _Delivery.CRASH:
            self.crash(attempt.admission.vm)

    @precondition(
        lambda test: test.attempts and test.abandon_count < _MAX_ABANDON_COUNT
    )
    @rule(attempt=_attempts, delivery=_deliveries)
    def give_up(self, attempt: _Attempt, delivery: _Delivery) -> None:
        """Abandon a request that was not accepted or not admitted in time."""
        if not attempt.has_executed:
            self.abandon_count += 1
            attempt.is_over = True
            command = self._abandon(attempt.request, attempt.admission)
            self._propose(attempt, command, delivery)

    @precondition(
        lambda test: test.requests and test.abandon_count < _MAX_ABANDON_COUNT
    )
    @rule(request=_requests, vm=_vms)
    def cancel(self, request: RequestId, vm: VmId) -> None:
        """Cancel a request at any VM, including one that runs it."""
        self.abandon_count += 1
        command = self._abandon(request, self._next_admission(vm))
        self._record_outcome(request, self._commit(command))

    @precondition(lambda test: test.delayed)
    @rule(command=_delayed)
    def commit_delayed(self, command: records.RecordCommand) -> None:
        """Commit a delayed proposal, possibly more than once."""
        self._commit(command)

    @precondition(lambda test: test.attempts)
    @rule(vm=_vms)
    def crash(self, vm: VmId) -> None:
        """Crash a process, which loses its attempts and its counter.

        Callers of the lost attempts resend their requests.
        """
        self.incarnations[vm] += 1
        self.attempt_counts[vm] = 0
        lost = [item for item in self.attempts if item.admission.vm == vm]
        self.attempts = [item for item in self.attempts if item not in lost]
        for attempt in lost:
            self.arrive(attempt.request, {vm})

    @precondition(
        lambda test: (
            test.reported_outcomes and test.wait_count < _MAX_WAIT_COUNT
        )
    )
    @rule(
        wait=st.sampled_from(_WAITS),
        minutes=st.sampled_from(_LEADER_SKEWS_MINUTES),
    )
    def wait(self, wait: timedelta, minutes: int) -> None:
        """Advance time far beyond all deadlines, with a new leader's clock."""
        self.wait_count += 1
        self.now += wait
        self.leader_skew = timedelta(minutes=minutes)
        for attempt in self.attempts:
            attempt.is_over = True

    @precondition(lambda test: test.leader_count < _MAX_LEADER_COUNT)
    @rule(minutes=st.sampled_from(_LEADER_SKEWS_MINUTES))
    def change_leader(self, minutes: int) -> None:
        """Drop old records, then change the leader.

        The state is restored from a snapshot, which must not change it.
        """
        self.leader_count += 1
        self._commit(records.Forget(self.now))
        self.leader_skew = timedelta(minutes=minutes)
        copy = records.RecordState()
        copy.restore(self.state.snapshot())
        assert copy.snapshot() == self.state.snapshot()
        self.state = copy

    @invariant()
    def check_reported_outcomes(self) -> None:
        """Check that reported outcomes are true and agree with look-ups."""
        for request, reported in self.reported_outcomes.items():
            if isinstance(reported, records.Answered):
                assert request in self.executed, reported
            if isinstance(reported, records.NotRun):
                assert request not in self.executed, reported
            found = self.state.lookup(request)
            assert isinstance(found, records.Expired) or found == reported, (
                found,
                reported,
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
        self.attempt_counts[vm] += 1
        incarnation = Incarnation(self.incarnations[vm])
        return records.Admission(vm, incarnation, self.attempt_counts[vm])

    def _propose(
        self,
        attempt: _Attempt,
        command: records.RecordCommand,
        delivery: _Delivery,
    ) -> None:
        if delivery is _Delivery.DELAYED:
            self.delayed.append(command)
            return
        outcome = self._commit(command)
        if delivery is _Delivery.ANSWERED:
            self._receive_outcome(attempt, outcome)

    def _receive_outcome(
        self, attempt: _Attempt, outcome: records.RecordOutcome
    ) -> None:
        if isinstance(outcome, records.Admitted):
            reported = self.reported_outcomes.get(attempt.request)
            assert reported is None, (
                'admitted after',
                reported,
            )
            attempt.may_dispatch = True
        else:
            self._record_outcome(attempt.request, outcome)

    def _record_outcome(
        self, request: RequestId, outcome: records.RecordOutcome
    ) -> None:
        if isinstance(outcome, records.Expired):
            self.reported_outcomes.setdefault(request, outcome)
        elif isinstance(outcome, records.Answered | records.NotRun):
            first = self.reported_outcomes.setdefault(request, outcome)
            assert outcome == first, (outcome, first)
        else:
            assert isinstance(
                outcome, records.InProgress | records.IdRefused
            ), outcome

    def _commit(self, command: records.RecordCommand) -> records.RecordOutcome:
        stamped = records.stamp_command(command, self.now + self.leader_skew)
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
