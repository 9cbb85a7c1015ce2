"""Forwarding of requests to the entry VM that owns a slot."""

from collections.abc import Callable, Sequence
from datetime import timedelta

from plantainstand_core import Clock, RegionId, RequestOutcome
from plantainstand_protocol import CallFailure, CallProblem, ChannelPool
from plantainstand_protocol.steering_grpc import SteeringStub
from plantainstand_protocol.steering_pb2 import (
    Answer as WireAnswer,
)
from plantainstand_protocol.steering_pb2 import (
    ForwardReply,
    ForwardRequest,
    Header,
    VmSummary,
)
from plantainstand_shares import Reservation, Shortage
from plantainstand_telemetry import Metrics
from result import Err, Ok, Result

from plantainstand_daemon._demands import response_link_resource
from plantainstand_daemon._holding import IncarnationState
from plantainstand_daemon._messages import (
    Answer,
    Headers,
    Reply,
    SteeredRequest,
    not_run,
    unknown,
)
from plantainstand_daemon._services import PeerRoute, ServiceRuntime, VmLocation
from plantainstand_daemon._way import OVERHEAD_BYTES, way_claims

# The other VM's own deadline ends first, so its reply can still arrive.
_REPLY_MARGIN = timedelta(milliseconds=300)
_MILLISECOND = timedelta(milliseconds=1)

_OUTCOMES = (
    (ForwardReply.ANSWERED, RequestOutcome.ANSWERED),
    (ForwardReply.NOT_RUN, RequestOutcome.NOT_RUN),
    (ForwardReply.UNKNOWN, RequestOutcome.UNKNOWN),
)


class Forwarder:
    """Sends requests to other entry VMs, within link and shift shares."""

    def __init__(
        self,
        place: VmLocation,
        channels: ChannelPool,
        clock: Clock,
        metrics: Metrics,
        on_summary: Callable[[VmSummary], None],
    ) -> None:
        """Hand the summary in each reply to ``on_summary``."""
        self._place = place
        self._channels = channels
        self._clock = clock
        self._metrics = metrics
        self._on_summary = on_summary

    def reserve(
        self,
        request: SteeredRequest,
        runtime: ServiceRuntime,
        route: PeerRoute,
        holding: IncarnationState,
    ) -> Result[Reservation | None, Shortage]:
        """Take what the way to another VM costs of this VM's shares.

        Inside a region it costs nothing. :meth:`run` gives it back.
        """
        claims = way_claims(
            runtime.service,
            self._place.region,
            route.region,
            len(request.body),
        )
        if not claims:
            return Ok(None)
        return holding.ledger.reserve(claims, self._clock.monotonic())

    async def run(
        self,
        request: SteeredRequest,
        route: PeerRoute,
        holding: IncarnationState,
        reservation: Reservation | None,
    ) -> Reply:
        """Forward one request and return what the other VM says."""
        reply = not_run('the request was not sent')
        try:
            reply = await self._call(request, route)
        finally:
            if reservation is not None:
                self._release(holding, reservation, route.region, reply)
        self._metrics.count(
            'attempts_total',
            kind='vm',
            outcome=reply.outcome.value,
        )
        return reply

    async def _call(self, request: SteeredRequest, route: PeerRoute) -> Reply:
        time_left = request.deadline - self._clock.monotonic()
        message = encode_request(request, time_left, self._place)
        called: Result[ForwardReply, CallProblem] = await self._channels.call(
            route.endpoint,
            lambda channel: SteeringStub(channel).Forward(message),
            time_left + _REPLY_MARGIN,
            replace_on_timeout=False,
        )
        if isinstance(called, Err):
            problem = called.err_value
            if problem.failure is CallFailure.NOT_SENT:
                return not_run(str(problem))
            return unknown(str(problem))
        if called.ok_value.HasField('summary'):
            self._on_summary(called.ok_value.summary)
        return decode_reply(called.ok_value)

    def _release(
        self,
        holding: IncarnationState,
        reservation: Reservation,
        region: RegionId,
        reply: Reply,
    ) -> None:
        body_bytes = len(reply.answer.body) if reply.answer else 0
        used = {}
        if reply.outcome is not RequestOutcome.UNKNOWN:
            resource = response_link_resource(region, self._place.region)
            used[resource] = body_bytes + OVERHEAD_BYTES
        holding.ledger.release(reservation, self._clock.monotonic(), used)


def encode_request(
    request: SteeredRequest,
    time_left: timedelta,
    place: VmLocation,
) -> ForwardRequest:
    """Build the message for another VM."""
    return ForwardRequest(
        request_id=request.request_id,
        service=request.service,
        method=request.method,
        path=request.path,
        headers=_encode_headers(request.headers),
        body=request.body,
        deadline_ms=max(time_left // _MILLISECOND, 1),
        traceparent=request.traceparent,
        source_vm=place.vm,
    )


def encode_reply(reply: Reply, summary: VmSummary) -> ForwardReply:
    """Build the message that answers a forwarded request."""
    outcomes = {ours: wire for wire, ours in _OUTCOMES}
    message = ForwardReply(
        outcome=outcomes[reply.outcome],
        reason=reply.reason,
        summary=summary,
        target=reply.served_by,
    )
    if reply.answer is not None:
        message.answer.CopyFrom(
            WireAnswer(
                status=reply.answer.status,
                headers=_encode_headers(reply.answer.headers),
                body=reply.answer.body,
            ),
        )
    return message


def decode_reply(message: ForwardReply) -> Reply:
    """Read the message that answers a forwarded request."""
    outcome = dict(_OUTCOMES).get(message.outcome, RequestOutcome.UNKNOWN)
    answer = None
    if outcome is RequestOutcome.ANSWERED and not message.HasField('answer'):
        return unknown('the reply says "answered" and holds no answer')
    if outcome is RequestOutcome.ANSWERED:
        answer = Answer(
            message.answer.status,
            decode_headers(message.answer.headers),
            message.answer.body,
        )
    return Reply(outcome, answer, message.reason, message.target)


def decode_headers(headers: Sequence[Header]) -> Headers:
    """Read the headers of a request or an answer."""
    return [(header.name, header.value) for header in headers]


def _encode_headers(headers: Headers) -> Sequence[Header]:
    return [Header(name=name, value=text) for name, text in headers]
