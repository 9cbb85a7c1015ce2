"""Entry role: receives requests of clients and forwards them to targets."""

from plantainstand_edge._decisions import SteeringInputs
from plantainstand_edge._header_codec import (
    HeaderCodec,
    HealthMetadata,
    RequestMetadata,
    ResponseMetadata,
)
from plantainstand_edge._node import EntryNode
from plantainstand_edge._settings import EntrySettings
from plantainstand_edge._steering import RequestSteering

__all__ = (
    'HeaderCodec',
    'HealthMetadata',
    'EntryNode',
    'EntrySettings',
    'RequestMetadata',
    'RequestSteering',
    'SteeringInputs',
    'ResponseMetadata',
)
