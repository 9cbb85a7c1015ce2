"""Framed messages over TCP, with detection of silent connections."""

from plantainstand_links._frames import FrameAccount
from plantainstand_links._link import Link, LinkCallbacks, LinkTimings
from plantainstand_links._outgoing import OutgoingLink
from plantainstand_links._server import LinkServer

__all__ = (
    'FrameAccount',
    'Link',
    'LinkCallbacks',
    'LinkServer',
    'LinkTimings',
    'OutgoingLink',
)
