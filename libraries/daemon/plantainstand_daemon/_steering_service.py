"""gRPC service between entry VMs: forwarded requests and load summaries."""

from datetime import timedelta

from grpclib.server import Stream
from plantainstand_core import RequestId, ServiceId, VmId
from plantainstand_protocol.steering_grpc import SteeringBase
from plantainstand_protocol.steering_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    ForwardReply,
    ForwardRequest,
)

from plantainstand_daemon._activity import RequestTracker
from plantainstand_daemon._engine import Engine
from plantainstand_daemon._exchange import Exchange
from plantainstand_daemon._forward import decode_headers, encode_reply
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._messages import SteeredRequest, not_run

_MILLISECOND = timedelta(milliseconds=1)


class SteeringService(SteeringBase):
    """Serves forwarded requests and load exchanges of other entry VMs."""

    def __init__(
        self,
        engine: Engine,
        exchange: Exchange,
        activity: RequestTracker,
        instruments: Instruments,
    ) -> None:
        """Serve forwarded requests through ``engine``."""
        self._engine = engine
        self._exchange = exchange
        self._activity = activity
        self._clock = instruments.clock

    async def Forward(  # noqa: N802
        self,
        stream: Stream[ForwardRequest, ForwardReply],
    ) -> None:
        """Serve one forwarded request at this VM's own targets."""
        message = await stream.recv_message()
        if message is None:
            return
        with self._activity.track():
            if self._activity.is_accepting:
                request = self._decode(message)
                reply = await self._engine.serve_forwarded(request)
            else:
                reply = not_run('this VM is leaving')
            summary = self._exchange.own_summary()
            await stream.send_message(encode_reply(reply, summary))

    async def Exchange(  # noqa: N802
        self,
        stream: Stream[ExchangeRequest, ExchangeReply],
    ) -> None:
        """Exchange load summaries and answer requests for zone support."""
        request = await stream.recv_message()
        if request is not None:
            await stream.send_message(self._exchange.answer(request))

    def _decode(self, message: ForwardRequest) -> SteeredRequest:
        time_left = message.deadline_ms * _MILLISECOND
        return SteeredRequest(
            RequestId(message.request_id),
            ServiceId(message.service),
            message.method,
            message.path,
            decode_headers(message.headers),
            message.body,
            self._clock.monotonic() + time_left,
            message.traceparent,
            VmId(message.source_vm),
        )
