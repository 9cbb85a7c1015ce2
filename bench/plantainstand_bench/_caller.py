"""A caller of the system: discovery, sending and resending."""

import asyncio
import random
import time
from collections.abc import Sequence
from dataclasses import dataclass

from plantainstand_core import RequestId

from plantainstand_bench._arrivals import Arrival
from plantainstand_bench._caller_api import (
    Destination,
    attempt,
    new_request_id,
)
from plantainstand_bench._entry_directory import (
    CallerIdentity,
    EntryDirectory,
    ListedEntry,
)
from plantainstand_bench._http_client import HttpClient
from plantainstand_bench._records import (
    UNKNOWN_OUTCOMES,
    Attempt,
    CallerRecord,
    Outcome,
)
from plantainstand_bench._system_map import MappedService

_FIRST_PAUSE_SECONDS = 0.25
_LONGEST_PAUSE_SECONDS = 2
# The best outcome of several attempts is the outcome of the request.
_PREFERENCE = (
    Outcome.ANSWERED,
    Outcome.FAILED,
    Outcome.NOT_RUN,
    Outcome.REJECTED,
    Outcome.UNKNOWN,
    Outcome.CUT,
    Outcome.TIMED_OUT,
    Outcome.REFUSED,
)


@dataclass(frozen=True)
class CallerRules:
    """Behaviour common to all callers."""

    seed: int
    sendings: int
    """Sendings of a non-idempotent request."""

    twin_fraction: float
    """Share of resends sent to two entry VMs at the same moment."""


class Caller:
    """Sends requests and keeps to what the system promises.

    Look-ups are sent again, under a new id, after a connection error.
    Non-idempotent requests are sent again under the same id after an unknown
    outcome.
    """

    def __init__(
        self,
        identity: CallerIdentity,
        directory: EntryDirectory,
        client: HttpClient,
        rules: CallerRules,
    ):
        """Share the client with the other callers of the zone."""
        self._identity = identity
        self._directory = directory
        self._client = client
        self._rules = rules
        self._random = random.Random(f'{rules.seed}/{identity.name}/resend')

    async def request(
        self,
        arrival: Arrival,
        service: MappedService,
        scheduled: float,
    ) -> CallerRecord:
        """Make one request; ``scheduled`` is in seconds since the epoch."""
        begun = time.time()
        if service.is_idempotent:
            attempts = await self._look_up(arrival, scheduled)
        else:
            attempts = await self._order(arrival)
        return CallerRecord(
            caller=self._identity.name,
            service=service.id,
            traffic_class=service.traffic_class,
            is_idempotent=service.is_idempotent,
            scheduled=scheduled,
            begun=begun,
            deadline_ms=arrival.traffic.deadline_ms,
            ended=time.time(),
            outcome=final_outcome(attempts),
            attempts=attempts,
        )

    async def _look_up(
        self,
        arrival: Arrival,
        scheduled: float,
    ) -> Sequence[Attempt]:
        deadline = scheduled + arrival.traffic.deadline_ms / 1000
        attempts: list[Attempt] = []
        for entry in await self._directory.entries():
            sent = await self._send(entry, arrival, new_request_id(), deadline)
            attempts.append(sent)
            is_lost = sent.outcome in {Outcome.REFUSED, Outcome.CUT}
            if not is_lost or time.time() >= deadline:
                break
        return attempts

    async def _order(self, arrival: Arrival) -> Sequence[Attempt]:
        request_id = new_request_id()
        attempts: list[Attempt] = []
        pause = _FIRST_PAUSE_SECONDS
        for sending in range(self._rules.sendings):
            entries = await self._directory.entries()
            is_twin = sending and self._chance(self._rules.twin_fraction)
            used = _rotate(entries, sending)[: 2 if is_twin else 1]
            attempts.extend(await self._send_all(used, arrival, request_id))
            outcome = final_outcome(attempts)
            if outcome is Outcome.REFUSED:
                continue
            if outcome not in UNKNOWN_OUTCOMES:
                break
            await asyncio.sleep(pause)
            pause = min(2 * pause, _LONGEST_PAUSE_SECONDS)
        return attempts

    async def _send_all(
        self,
        entries: Sequence[ListedEntry],
        arrival: Arrival,
        request_id: RequestId,
    ) -> Sequence[Attempt]:
        deadline = time.time() + arrival.traffic.deadline_ms / 1000
        sending = [
            self._send(entry, arrival, request_id, deadline)
            for entry in entries
        ]
        return await asyncio.gather(*sending)

    async def _send(
        self,
        entry: ListedEntry,
        arrival: Arrival,
        request_id: RequestId,
        deadline: float,
    ) -> Attempt:
        traffic = arrival.traffic
        path = f'/v1/services/{traffic.service}/{traffic.path}'
        destination = Destination(entry.vm, entry.address, path)
        return await attempt(
            self._client,
            destination,
            arrival,
            request_id,
            deadline,
        )

    def _chance(self, fraction: float) -> bool:
        return self._random.random() < fraction


def final_outcome(attempts: Sequence[Attempt]) -> Outcome:
    """Return the outcome of a request from those of its attempts."""
    outcomes = {sent.outcome for sent in attempts}
    found = (outcome for outcome in _PREFERENCE if outcome in outcomes)
    return next(found, Outcome.REFUSED)


def _rotate(
    entries: Sequence[ListedEntry],
    steps: int,
) -> Sequence[ListedEntry]:
    position = steps % len(entries)
    return (*entries[position:], *entries[:position])
