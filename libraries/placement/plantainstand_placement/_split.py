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
        credits_of = self._raised_credits(match)
        chosen = max(credits_of, key=credits_of.__getitem__)
        credits_of[chosen] -= sum(each.weight for each in parts)
        key = (match.name, match.version)
        if key not in self._credits:
            # Credits of another version were counted with other weights.
            self._credits = {
                other: kept
                for other, kept in self._credits.items()
                if other[0] != match.name
            }
        self._credits[key] = credits_of
        return chosen

    def preview(self, match: RouteMatch) -> ServiceId:
        """Return what :meth:`pick` would return now, without counting it."""
        credits_of = self._raised_credits(match)
        return max(credits_of, key=credits_of.__getitem__)

    def _raised_credits(self, match: RouteMatch) -> dict[ServiceId, float]:
        """Return a copy of the credits, raised by the weights of the parts."""
        parts = match.route.parts
        known = self._credits.get((match.name, match.version), {})
        credits_of = {
            part.service: known.get(part.service, float(0)) for part in parts
        }
        for part in parts:
            credits_of[part.service] += part.weight
        return credits_of
