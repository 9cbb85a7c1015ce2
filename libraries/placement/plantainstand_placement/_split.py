"""Distributes a route's requests among its services by weight."""

from plantainstand_core import ServiceId
from plantainstand_desired import RouteMatch


class TrafficSplitter:
    """Smooth weighted round robin for each route.

    The weights are met within one request per part in any sequence of
    requests; random choices would meet them only on average.
    """

    def __init__(self) -> None:
        """Create a splitter without history."""
        self._credits: dict[tuple[str, int], dict[ServiceId, float]] = {}

    def pick(self, match: RouteMatch) -> ServiceId:
        """Return the service that receives the route's next request."""
        parts = match.route.parts
        if len(parts) == 1:
            return parts[0].service
        credits_of = self._credits_of(match)
        for part in parts:
            credits_of[part.service] += part.weight
        chosen = max(credits_of, key=credits_of.__getitem__)
        credits_of[chosen] -= sum(each.weight for each in parts)
        return chosen

    def _credits_of(self, match: RouteMatch) -> dict[ServiceId, float]:
        key = (match.name, match.version)
        if key not in self._credits:
            # Credits of another version were counted with other weights.
            self._credits = {
                other: kept
                for other, kept in self._credits.items()
                if other[0] != match.name
            }
            self._credits[key] = {
                part.service: float(0) for part in match.route.parts
            }
        return self._credits[key]
