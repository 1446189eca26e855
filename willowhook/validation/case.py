"""The input of the checks: a candidate update and the state that it is validated against."""

from __future__ import annotations

from dataclasses import dataclass

from .model import Candidate, RequestShares
from .world import ProxyRecord, World

ROUNDING_FACTOR = 1 + 1e-9  # allows for floating-point errors of running sums and products


def exceeds(figure: float, limit: float) -> bool:
    """Whether a figure is over its limit by more than a rounding error."""
    return figure > limit * ROUNDING_FACTOR


@dataclass(frozen=True, slots=True)
class Case:
    """The input of every check.

    Attributes:
        now: the tick of the validation.
        world: the state that the candidate is validated against.
        candidate: the update to validate.
        shares: each endpoint's share of the requests under the candidate's tables.
        proxy: the proxy that the candidate is for; None if it has not joined.
        added_load: by endpoint, the requests per second that the candidate adds to what the proxy may
            already send.
    """

    now: int
    world: World
    candidate: Candidate
    shares: RequestShares
    proxy: ProxyRecord | None
    added_load: dict[str, float]

    @property
    def zone(self) -> str:
        """The proxy's zone; empty if the proxy has not joined."""
        return self.proxy.zone if self.proxy is not None else ""

    def route_name(self, route: int) -> str:
        """Returns the name of a route by its index."""
        return self.world.settings.routes[route].name


def make_case(now: int, world: World, candidate: Candidate) -> Case:
    """Computes the input of the checks. Raises if the candidate's tables are malformed."""
    shares = world.shares_of(candidate.tables)
    proxy = world.proxies.get(candidate.proxy)
    has_all_routes = len(shares.by_route) == len(world.settings.routes)
    added_load = world.added_load(candidate.proxy, shares) if proxy is not None and has_all_routes else {}
    return Case(now, world, candidate, shares, proxy, added_load)
