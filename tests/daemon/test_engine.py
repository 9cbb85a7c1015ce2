"""An engine never repeats what may have run, and says what it knows."""

import unittest
from datetime import timedelta
from typing import NamedTuple

from plantainstand_core import RequestOutcome

from tests.consensus.simulated_loop import run_simulated
from tests.daemon.engine_fixture import (
    OWN_QUEUE,
    EngineSetup,
    ScriptedOutcome,
    serve_forwarded,
    steer,
)

_ANSWERED = RequestOutcome.ANSWERED
_NOT_RUN = RequestOutcome.NOT_RUN
_UNKNOWN = RequestOutcome.UNKNOWN
_ANSWER = ScriptedOutcome(_ANSWERED)
_REFUSAL = ScriptedOutcome(_NOT_RUN)
_LOST = ScriptedOutcome(_UNKNOWN)
_TOO_LATE = timedelta(seconds=1)

_TARGET = 'target/t-1'
_PEER = 'vm/near-1'
_FAR = 'vm/far-1'


class _Case(NamedTuple):
    name: str
    setup: EngineSetup
    calls: tuple[str, ...]
    outcome: RequestOutcome


def _setup(
    *takes: ScriptedOutcome,
    idempotent: bool = True,
    budget: int = 50,
) -> EngineSetup:
    """Let a target, a near and a far VM act as stated."""
    script = dict(zip((_TARGET, _PEER, _FAR), takes))
    return EngineSetup(script, idempotent=idempotent, budget=budget)


_RETRIES = (
    _Case(
        'the nearest place is tried first',
        _setup(_ANSWER, _ANSWER, _ANSWER),
        (_TARGET,),
        _ANSWERED,
    ),
    _Case(
        'unknown, idempotent',
        _setup(_LOST, _ANSWER, _ANSWER),
        (_TARGET, _PEER),
        _ANSWERED,
    ),
    _Case(
        'unknown, not idempotent',
        _setup(_LOST, _ANSWER, _ANSWER, idempotent=False),
        (_TARGET,),
        _UNKNOWN,
    ),
    _Case(
        'certainly not run, idempotent',
        _setup(_REFUSAL, _ANSWER, _ANSWER),
        (_TARGET, _PEER),
        _ANSWERED,
    ),
    _Case(
        'certainly not run, not idempotent',
        _setup(_REFUSAL, _ANSWER, _ANSWER, idempotent=False),
        (_TARGET, _PEER),
        _ANSWERED,
    ),
    _Case(
        'unknown after a refusal, not idempotent',
        _setup(_REFUSAL, _LOST, _ANSWER, idempotent=False),
        (_TARGET, _PEER),
        _UNKNOWN,
    ),
    _Case(
        'refused everywhere',
        _setup(_REFUSAL, _REFUSAL, _REFUSAL),
        (_TARGET, _PEER, _FAR),
        _NOT_RUN,
    ),
    _Case(
        'refused everywhere, not idempotent',
        _setup(_REFUSAL, _REFUSAL, _REFUSAL, idempotent=False),
        (_TARGET, _PEER, _FAR),
        _NOT_RUN,
    ),
    _Case(
        'refusals after an unknown do not make it "not run"',
        _setup(_LOST, _REFUSAL, _REFUSAL),
        (_TARGET, _PEER, _FAR),
        _UNKNOWN,
    ),
    _Case(
        'no budget after a refusal',
        _setup(_REFUSAL, _ANSWER, budget=0),
        (_TARGET,),
        _NOT_RUN,
    ),
    _Case(
        'no budget after an unknown',
        _setup(_LOST, _ANSWER, budget=0),
        (_TARGET,),
        _UNKNOWN,
    ),
    _Case(
        'budget for one retry',
        _setup(_REFUSAL, _REFUSAL, _ANSWER, budget=1),
        (_TARGET, _PEER),
        _NOT_RUN,
    ),
    _Case(
        'a refusal by the own queue costs no budget',
        EngineSetup(
            {OWN_QUEUE: _REFUSAL, _TARGET: _ANSWER, _PEER: _ANSWER}, budget=0
        ),
        (OWN_QUEUE, _PEER),
        _ANSWERED,
    ),
    _Case(
        'a refusal that comes after the deadline',
        _setup(ScriptedOutcome(_NOT_RUN, _TOO_LATE), _ANSWER),
        (_TARGET,),
        _NOT_RUN,
    ),
    _Case(
        'a refusal by the own queue that comes after the deadline',
        EngineSetup(
            {OWN_QUEUE: ScriptedOutcome(_NOT_RUN, _TOO_LATE), _TARGET: _ANSWER}
        ),
        (OWN_QUEUE,),
        _NOT_RUN,
    ),
    _Case(
        'an unknown that comes after the deadline',
        _setup(ScriptedOutcome(_UNKNOWN, _TOO_LATE), _ANSWER),
        (_TARGET,),
        _UNKNOWN,
    ),
    _Case('no place at all', EngineSetup({}), (), _NOT_RUN),
)


class RetryTest(unittest.TestCase):
    """Guards against doubled work, endless retries and a false "not run"."""

    def test_cases(self) -> None:
        """Places are tried as long as that is safe, in time and paid for."""
        for case in _RETRIES:
            with self.subTest(case.name):
                places, outcome = run_simulated(steer(case.setup))
                self.assertEqual(tuple(places.calls), case.calls)
                self.assertIs(outcome, case.outcome)

    def test_budget_is_spent(self) -> None:
        """Every further attempt takes one token, the first takes none."""
        setup = _setup(_REFUSAL, _REFUSAL, _ANSWER, budget=7)
        places, _outcome = run_simulated(steer(setup))
        self.assertEqual(places.runtime.budget.available, 5)

    def test_deadline_that_the_log_knows(self) -> None:
        """No work lasts longer than the reclaim of a lost VM waits."""
        for limit in (timedelta(seconds=0.3), timedelta(seconds=5)):
            setup = EngineSetup({_TARGET: _ANSWER}, longest_deadline=limit)
            places, _outcome = run_simulated(steer(setup))
            expected = min(limit, setup.deadline)
            self.assertEqual(places.deadlines, [expected])


class ForwardedTest(unittest.TestCase):
    """Guards against requests that travel in circles."""

    def test_never_forwarded_again(self) -> None:
        """Whatever the own target says, no other VM is asked."""
        for take in (_REFUSAL, _LOST, _ANSWER):
            with self.subTest(take.outcome):
                setup = _setup(take, _ANSWER, _ANSWER)
                places, outcome = run_simulated(serve_forwarded(setup))
                self.assertEqual(places.calls, [_TARGET])
                self.assertIs(outcome, take.outcome)
