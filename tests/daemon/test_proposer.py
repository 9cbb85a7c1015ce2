"""Batching and retries of commands to the leader."""

import asyncio
import unittest
from collections.abc import Callable, Sequence
from datetime import timedelta
from random import Random

from plantainstand_core import SystemClock
from plantainstand_daemon._control_problems import ControlFailure
from plantainstand_daemon._proposer import Proposer
from plantainstand_protocol import CallFailure, CallProblem, Endpoint
from plantainstand_protocol.steering_pb2 import ProposeReply, ProposeResult
from result import Err, Ok, Result

Called = Result[ProposeReply, CallProblem]

_LONG = timedelta(seconds=5)
_SHORT = timedelta(milliseconds=100)


def _failed(failure: CallFailure) -> Called:
    return Err(CallProblem(failure, Endpoint('127.0.0.1', 1), 'test'))


def _statuses(status: 'ProposeResult.Status.ValueType') -> Called:
    return Ok(ProposeReply(results=[ProposeResult(status=status)]))


class ProposerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against lost outcomes and retry storms after a leader is lost."""

    def setUp(self) -> None:
        """Answer each call by committing its commands."""
        self.calls: list[Sequence[bytes]] = []
        self.answer: Callable[[Sequence[bytes]], Called] = self._commit
        self.proposer = Proposer(self._send, SystemClock(), Random(1))

    async def test_outcomes_match_commands(self) -> None:
        """Each command of a batch gets its own outcome."""
        commands = [str(number).encode() for number in range(200)]
        outcomes = await asyncio.gather(
            *(self.proposer.propose(command, _LONG) for command in commands),
        )
        found = [outcome.unwrap() for outcome in outcomes]
        self.assertEqual(found, [_outcome(command) for command in commands])
        self.assertLess(len(self.calls), 10)

    async def test_failures(self) -> None:
        """Without an outcome, the failure says if a commit is possible."""
        cases = (
            (_failed(CallFailure.NOT_SENT), ControlFailure.NOT_PROPOSED),
            (_failed(CallFailure.TIMED_OUT), ControlFailure.OUTCOME_UNKNOWN),
            (_failed(CallFailure.BROKEN), ControlFailure.OUTCOME_UNKNOWN),
            (_statuses(ProposeResult.NOT_LEADER), ControlFailure.NOT_PROPOSED),
            (
                _statuses(ProposeResult.TIMED_OUT),
                ControlFailure.OUTCOME_UNKNOWN,
            ),
            (
                _statuses(ProposeResult.STORAGE_FAILED),
                ControlFailure.OUTCOME_UNKNOWN,
            ),
        )
        for called, expected in cases:
            with self.subTest(called=called):
                self.setUp()
                self.answer = _always(called)
                outcome = await self.proposer.propose(b'1', _SHORT)
                self.assertIs(outcome.unwrap_err().failure, expected)

    async def test_one_call_at_a_time_while_failing(self) -> None:
        """While calls fail, waiting commands share one call at a time."""
        self.answer = _always(_failed(CallFailure.TIMED_OUT))
        waiting = [
            asyncio.ensure_future(self.proposer.propose(b'1', _SHORT))
            for _ in range(300)
        ]
        await asyncio.gather(*waiting)
        # Four calls may start before the first one has failed.
        self.assertLess(len(self.calls), 20)

    async def test_recovers(self) -> None:
        """A command is resent after a failed call, until it is committed."""
        answers = iter((_failed(CallFailure.BROKEN), None))

        def answer(commands: Sequence[bytes]) -> Called:
            return next(answers) or self._commit(commands)

        self.answer = answer
        outcome = await self.proposer.propose(b'1', _LONG)
        self.assertEqual(outcome.unwrap(), b'done 1')

    async def _send(self, commands: Sequence[bytes]) -> Called:
        self.calls.append(commands)
        return self.answer(commands)

    def _commit(self, commands: Sequence[bytes]) -> Called:
        results = [
            ProposeResult(outcome=_outcome(command)) for command in commands
        ]
        return Ok(ProposeReply(results=results))


def _outcome(command: bytes) -> bytes:
    return b' '.join((b'done', command))


def _always(called: Called) -> Callable[[Sequence[bytes]], Called]:
    return lambda _commands: called
