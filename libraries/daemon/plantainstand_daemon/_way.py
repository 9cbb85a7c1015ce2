"""What a request takes of link and shift shares on its way."""

from plantainstand_catalogue import Service
from plantainstand_core import RegionId
from plantainstand_shares import Claim

from plantainstand_daemon._demands import (
    request_link_resource,
    response_link_resource,
    shift_resource,
)

# Method, path, headers and framing of a request or a response.
OVERHEAD_BYTES = 1024


def way_claims(
    service: Service,
    source: RegionId,
    destination: RegionId,
    request_bytes: int,
) -> tuple[Claim, ...]:
    """Return the claims for a request from one region to another.

    The largest response is reserved with the request, so that an answer
    always has its budget. Inside a region nothing is claimed.
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
