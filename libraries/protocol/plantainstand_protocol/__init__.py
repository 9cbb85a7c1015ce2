"""gRPC messages and services between processes, and a pool of channels.

The generated modules are :mod:`plantainstand_protocol.steering_pb2` and
:mod:`plantainstand_protocol.steering_grpc`.
"""

from plantainstand_protocol._channels import (
    CallFailure,
    CallProblem,
    ChannelPool,
    Endpoint,
)

__all__ = (
    'CallFailure',
    'CallProblem',
    'ChannelPool',
    'Endpoint',
)
