"""One update under judgement: the candidate and the world that it is judged against."""

from __future__ import annotations

from dataclasses import dataclass

from .model import Candidate, RequestShares
from .world import ProxyRecord, World

ROUNDING_FACTOR = 1 + 1e-9  # running sums and products of fractions are exact up to this


def exceeds(figure: float, limit: float) -> bool:
    """Whether a figure is over its limit by more than a rounding error."""
    return figure > limit * ROUNDING_FACTOR


@dataclass(frozen=True, slots=True)
class Case:
    """The input of every check.

    Attributes:
        now: the tick of the judgement.
        world: the world that the candidate is judged against.
        candidate: the candidate that is judged.
        shares: the shares of requests by the candidate's tables.
        proxy: the proxy that the candidate is for; None if it has not joined.
        rises: by endpoint, the requests a second that the candidate adds to what the proxy may send now.
    """

    now: int
    world: World
    candidate: Candidate
    shares: RequestShares
    proxy: ProxyRecord | None
    rises: dict[str, float]

    @property
    def zone(self) -> str:
        """The proxy's zone; empty if the proxy has not joined."""
        return self.proxy.zone if self.proxy is not None else ""

    def route_name(self, route: int) -> str:
        """Returns the name of a route by its index."""
        return self.world.settings.routes[route].name


def make_case(now: int, world: World, candidate: Candidate) -> Case:
    """Computes the input of the checks. Raises if the candidate's tables make no sense."""
    shares = world.shares_of(candidate.tables)
    proxy = world.proxies.get(candidate.proxy)
    has_all_routes = len(shares.by_route) == len(world.settings.routes)
    rises = world.rises(candidate.proxy, shares) if proxy is not None and has_all_routes else {}
    return Case(now, world, candidate, shares, proxy, rises)
