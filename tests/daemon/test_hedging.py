"""Hedged attempts of the engine."""

import unittest
from datetime import timedelta
from typing import NamedTuple

from plantainstand_core import RequestOutcome

from tests.consensus.simulated_loop import run_simulated
from tests.daemon.engine_fixture import (
    OWN_QUEUE,
    EngineSetup,
    ScriptedOutcome,
    steer,
)

_ANSWERED = RequestOutcome.ANSWERED
_NOT_RUN = RequestOutcome.NOT_RUN
_UNKNOWN = RequestOutcome.UNKNOWN
_ANSWER = ScriptedOutcome(_ANSWERED)
_REFUSAL = ScriptedOutcome(_NOT_RUN)
_LOST = ScriptedOutcome(_UNKNOWN)
_SILENCE = ScriptedOutcome(None)
_LATE_ANSWER = ScriptedOutcome(_ANSWERED, timedelta(milliseconds=100))

_TARGET = 'target/t-1'
_OTHER_TARGET = 'target/t-2'
_PEER = 'vm/near-1'
_PEER_OF_SAME_ZONE = 'vm/near-2'
_FAR = 'vm/far-1'


class _HedgeCase(NamedTuple):
    name: str
    setup: EngineSetup
    calls: tuple[str, ...]
    outcome: RequestOutcome
    cancelled: tuple[str, ...] = ()


def _hedged(
    script: dict[str, ScriptedOutcome],
    *,
    idempotent: bool = True,
    budget: int = 50,
) -> EngineSetup:
    return EngineSetup(script, idempotent=idempotent, hedge=True, budget=budget)


_HEDGES = (
    _HedgeCase(
        'the first attempt answers in time',
        _hedged({_TARGET: _ANSWER, _PEER: _ANSWER}),
        (_TARGET,),
        _ANSWERED,
    ),
    _HedgeCase(
        'the hedge answers, the silent attempt is cancelled',
        _hedged({_TARGET: _SILENCE, _PEER: _ANSWER}),
        (_TARGET, _PEER),
        _ANSWERED,
        (_TARGET,),
    ),
    _HedgeCase(
        'the first attempt answers late, the hedge is cancelled',
        _hedged({_TARGET: _LATE_ANSWER, _PEER: _SILENCE}),
        (_TARGET, _PEER),
        _ANSWERED,
        (_PEER,),
    ),
    _HedgeCase(
        'the hedge is refused, the first attempt answers',
        _hedged({_TARGET: _LATE_ANSWER, _PEER: _REFUSAL}),
        (_TARGET, _PEER),
        _ANSWERED,
    ),
    _HedgeCase(
        'the hedge goes to another target, not to the same one',
        _hedged({_TARGET: _SILENCE, _OTHER_TARGET: _ANSWER}),
        (_TARGET, _OTHER_TARGET),
        _ANSWERED,
        (_TARGET,),
    ),
    _HedgeCase(
        'no second attempt at the only target',
        _hedged({_TARGET: _LATE_ANSWER}),
        (_TARGET,),
        _ANSWERED,
    ),
    _HedgeCase(
        'no hedge at a VM of the same zone, which may use the same target',
        _hedged({_PEER: _LATE_ANSWER, _PEER_OF_SAME_ZONE: _ANSWER}),
        (_PEER,),
        _ANSWERED,
    ),
    _HedgeCase(
        'the hedge goes to a VM of another zone',
        _hedged({_PEER: _SILENCE, _PEER_OF_SAME_ZONE: _ANSWER, _FAR: _ANSWER}),
        (_PEER, _FAR),
        _ANSWERED,
        (_PEER,),
    ),
    _HedgeCase(
        'a hedge does not enter the own queue again',
        _hedged(
            {
                OWN_QUEUE: ScriptedOutcome(
                    _ANSWERED, timedelta(milliseconds=100)
                ),
                _TARGET: _ANSWER,
                _OTHER_TARGET: _ANSWER,
            },
        ),
        (OWN_QUEUE, _TARGET),
        _ANSWERED,
    ),
    _HedgeCase(
        'an attempt in the own queue is hedged at another VM',
        _hedged(
            {
                OWN_QUEUE: _SILENCE,
                _TARGET: _ANSWER,
                _OTHER_TARGET: _ANSWER,
                _PEER: _ANSWER,
            },
        ),
        (OWN_QUEUE, _PEER),
        _ANSWERED,
        (OWN_QUEUE,),
    ),
    _HedgeCase(
        'not idempotent',
        _hedged({_TARGET: _LATE_ANSWER, _PEER: _ANSWER}, idempotent=False),
        (_TARGET,),
        _ANSWERED,
    ),
    _HedgeCase(
        'the rest of the budget is kept for retries',
        _hedged({_TARGET: _LATE_ANSWER, _PEER: _ANSWER}, budget=20),
        (_TARGET,),
        _ANSWERED,
    ),
    _HedgeCase(
        'hedge refused, first attempt unknown, nothing else to try',
        _hedged(
            {
                _TARGET: ScriptedOutcome(_UNKNOWN, timedelta(milliseconds=100)),
                _PEER: _REFUSAL,
            },
        ),
        (_TARGET, _PEER),
        _UNKNOWN,
    ),
    _HedgeCase(
        'hedge unknown, first attempt refused, nothing else to try',
        _hedged(
            {
                _TARGET: ScriptedOutcome(_NOT_RUN, timedelta(milliseconds=100)),
                _PEER: _LOST,
            },
        ),
        (_TARGET, _PEER),
        _UNKNOWN,
    ),
)


class HedgeTest(unittest.TestCase):
    """Guards against hedges that add load without a chance to help."""

    def test_attempts_and_outcome(self) -> None:
        """A slow idempotent request is hedged once, at another target."""
        for case in _HEDGES:
            with self.subTest(case.name):
                fixture, outcome = run_simulated(steer(case.setup))
                self.assertEqual(tuple(fixture.calls), case.calls)
                self.assertIs(outcome, case.outcome)
                self.assertEqual(tuple(fixture.cancelled), case.cancelled)

    def test_hedge_starts_at_latency_percentile(self) -> None:
        """The hedge starts at the percentile of the observed latency."""
        just_in_time = ScriptedOutcome(_ANSWERED, timedelta(milliseconds=9))
        just_late = ScriptedOutcome(_ANSWERED, timedelta(milliseconds=11))
        for first, calls in ((just_in_time, 1), (just_late, 2)):
            with self.subTest(first=first.delay):
                setup = _hedged({_TARGET: first, _PEER: _SILENCE})
                fixture, _outcome = run_simulated(steer(setup))
                self.assertEqual(len(fixture.calls), calls)
