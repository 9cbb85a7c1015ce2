"""Retries and outcomes of the engine."""

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


def _engine_setup(
    *outcomes: ScriptedOutcome,
    idempotent: bool = True,
    budget: int = 50,
) -> EngineSetup:
    """Script a target, a near and a far VM, in this order."""
    script = dict(zip((_TARGET, _PEER, _FAR), outcomes))
    return EngineSetup(script, idempotent=idempotent, budget=budget)


_RETRIES = (
    _Case(
        'the nearest candidate is tried first',
        _engine_setup(_ANSWER, _ANSWER, _ANSWER),
        (_TARGET,),
        _ANSWERED,
    ),
    _Case(
        'unknown, idempotent',
        _engine_setup(_LOST, _ANSWER, _ANSWER),
        (_TARGET, _PEER),
        _ANSWERED,
    ),
    _Case(
        'unknown, not idempotent',
        _engine_setup(_LOST, _ANSWER, _ANSWER, idempotent=False),
        (_TARGET,),
        _UNKNOWN,
    ),
    _Case(
        'certainly not run, idempotent',
        _engine_setup(_REFUSAL, _ANSWER, _ANSWER),
        (_TARGET, _PEER),
        _ANSWERED,
    ),
    _Case(
        'certainly not run, not idempotent',
        _engine_setup(_REFUSAL, _ANSWER, _ANSWER, idempotent=False),
        (_TARGET, _PEER),
        _ANSWERED,
    ),
    _Case(
        'unknown after a refusal, not idempotent',
        _engine_setup(_REFUSAL, _LOST, _ANSWER, idempotent=False),
        (_TARGET, _PEER),
        _UNKNOWN,
    ),
    _Case(
        'refused everywhere',
        _engine_setup(_REFUSAL, _REFUSAL, _REFUSAL),
        (_TARGET, _PEER, _FAR),
        _NOT_RUN,
    ),
    _Case(
        'refused everywhere, not idempotent',
        _engine_setup(_REFUSAL, _REFUSAL, _REFUSAL, idempotent=False),
        (_TARGET, _PEER, _FAR),
        _NOT_RUN,
    ),
    _Case(
        'refusals after an unknown do not make it "not run"',
        _engine_setup(_LOST, _REFUSAL, _REFUSAL),
        (_TARGET, _PEER, _FAR),
        _UNKNOWN,
    ),
    _Case(
        'no budget after a refusal',
        _engine_setup(_REFUSAL, _ANSWER, budget=0),
        (_TARGET,),
        _NOT_RUN,
    ),
    _Case(
        'no budget after an unknown',
        _engine_setup(_LOST, _ANSWER, budget=0),
        (_TARGET,),
        _UNKNOWN,
    ),
    _Case(
        'budget for one retry',
        _engine_setup(_REFUSAL, _REFUSAL, _ANSWER, budget=1),
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
        _engine_setup(ScriptedOutcome(_NOT_RUN, _TOO_LATE), _ANSWER),
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
        _engine_setup(ScriptedOutcome(_UNKNOWN, _TOO_LATE), _ANSWER),
        (_TARGET,),
        _UNKNOWN,
    ),
    _Case('no candidates', EngineSetup({}), (), _NOT_RUN),
)


class RetryTest(unittest.TestCase):
    """Guards against duplicate work, endless retries and false "not run"."""

    def test_attempts_and_outcome(self) -> None:
        """Candidates are tried while safe, in time and within budget."""
        for case in _RETRIES:
            with self.subTest(case.name):
                fixture, outcome = run_simulated(steer(case.setup))
                self.assertEqual(tuple(fixture.calls), case.calls)
                self.assertIs(outcome, case.outcome)

    def test_budget_is_spent(self) -> None:
        """Each attempt after the first spends one token."""
        setup = _engine_setup(_REFUSAL, _REFUSAL, _ANSWER, budget=7)
        fixture, _outcome = run_simulated(steer(setup))
        self.assertEqual(fixture.runtime.budget.available, 5)

    def test_deadline_is_capped_by_registry(self) -> None:
        """No work may last longer than the registered longest deadline.

        After that time the shares of a lost VM are reclaimed.
        """
        for limit in (timedelta(seconds=0.3), timedelta(seconds=5)):
            setup = EngineSetup({_TARGET: _ANSWER}, longest_deadline=limit)
            fixture, _outcome = run_simulated(steer(setup))
            expected = min(limit, setup.deadline)
            self.assertEqual(fixture.deadlines, [expected])


class ForwardedTest(unittest.TestCase):
    """Guards against forwarding loops."""

    def test_never_forwarded_again(self) -> None:
        """A forwarded request is not forwarded again, whatever its outcome."""
        for scripted in (_REFUSAL, _LOST, _ANSWER):
            with self.subTest(scripted.outcome):
                setup = _engine_setup(scripted, _ANSWER, _ANSWER)
                fixture, outcome = run_simulated(serve_forwarded(setup))
                self.assertEqual(fixture.calls, [_TARGET])
                self.assertIs(outcome, scripted.outcome)
