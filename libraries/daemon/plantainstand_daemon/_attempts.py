"""Attempts at one request: candidates tried and their results."""

import asyncio
from dataclasses import dataclass, field

from plantainstand_core import RequestOutcome
from plantainstand_steering import Candidate, CandidateId

from plantainstand_daemon._messages import (
    Reply,
    SteeredRequest,
    not_run,
    unknown,
)
from plantainstand_daemon._services import ServiceRuntime


@dataclass
class RequestProgress:
    """Candidates tried for one request, and what is known of its outcome."""

    request: SteeredRequest
    runtime: ServiceRuntime
    excluded: set[CandidateId] = field(default_factory=set)
    tried: list[Candidate] = field(default_factory=list)
    queue_refused: bool = False
    may_have_run: bool = False
    reason: str = 'no target or VM has a slot for this service'

    def final_reply(self) -> Reply:
        """Return the reply when no attempt was answered."""
        if self.may_have_run:
            return unknown(self.reason)
        return not_run(self.reason)


@dataclass(frozen=True)
class FinishedAttempt:
    """Result of one attempt."""

    reply: Reply
    was_dispatched: bool
    """Whether a target or VM was called; a retry then needs budget."""


async def first_answer(
    attempts: set[asyncio.Task[FinishedAttempt]],
) -> FinishedAttempt:
    """Return the first attempt with an answer, or else a failed one.

    Of the failed attempts, one that may have run takes precedence over those
    that certainly did not.
    """
    pending = set(attempts)
    unanswered: list[FinishedAttempt] = []
    while pending:
        done, pending = await asyncio.wait(
            pending,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for ended in done:
            attempt = ended.result()
            if attempt.reply.outcome is RequestOutcome.ANSWERED:
                return attempt
            unanswered.append(attempt)
    return max(unanswered, key=_is_unknown)


def _is_unknown(attempt: FinishedAttempt) -> bool:
    return attempt.reply.outcome is RequestOutcome.UNKNOWN
