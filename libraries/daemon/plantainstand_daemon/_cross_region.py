"""Claims of a request on the link and shift shares between two regions."""

from plantainstand_catalogue import Service
from plantainstand_core import RegionId
from plantainstand_shares import Claim

from plantainstand_daemon._demands import (
    request_link_resource,
    response_link_resource,
    shift_resource,
)

# Allowance for the method, path, headers and framing of a request or response.
OVERHEAD_BYTES = 1024


def cross_region_claims(
    service: Service,
    source: RegionId,
    destination: RegionId,
    request_bytes: int,
) -> tuple[Claim, ...]:
    """Return the claims for a request from one region to another.

    The bytes of the largest allowed response are claimed together with the
    request, so that its response never lacks budget. A request within one
    region claims nothing.
    """
    if source == destination:
        return ()
    return (
        Claim(shift_resource(service.service_id, source, destination)),
        Claim(
            request_link_resource(source, destination),
            request_bytes + OVERHEAD_BYTES,
        ),
        Claim(
            response_link_resource(destination, source),
            service.limits.response_bytes + OVERHEAD_BYTES,
            charged_on_release=True,
        ),
    )
