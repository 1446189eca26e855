"""Priority tiers: endpoints of a later tier serve only when no endpoint of the earlier tiers does.

A group consists of the endpoints that one route may use. An endpoint may be in several groups, with the same
tier in all, and is active if one of them needs it. The first tier is always active. A later tier becomes
active when no endpoint of the earlier tiers is in service and responds. It returns to standby some time after
one of them has returned and warmed up: a single endpoint in slow start must not get at once all requests of a
whole tier. Endpoints on standby are shown to the decisions as draining, so that they get no requests after
the drain grace.

Times are in ticks. The model is the priority of locality endpoints in xDS: a priority is used when all
earlier ones have no healthy endpoint.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Protocol

from ..decisions.windows import WindowedSums
from ..ticks import TICKS_PER_SECOND

FAILURE_BUCKET_TICKS = TICKS_PER_SECOND // 2
FAILURE_BUCKETS = 6
UNRESPONSIVE_FAILURES = 8  # within all buckets, without a success between them
DEACTIVATION_DELAY_TICKS = 5 * TICKS_PER_SECOND  # against flapping between tiers
LONG_AGO = 0  # the start tick of an endpoint that needs no slow start


class TierListener(Protocol):
    """Is notified when an endpoint becomes active or goes on standby."""

    def set_active(self, endpoint: str, is_active: bool, reason: str) -> None:
        """Called when an endpoint of a later tier becomes active or goes on standby."""


class TieredEndpoint(NamedTuple):
    """An endpoint as listed.

    Attributes:
        name: the name of the endpoint.
        groups: the groups that it is in.
        tier: the tier; lower tiers serve first.
        is_draining: whether it takes no new requests.
        started_at: the tick of its start; 0: long ago.
    """

    name: str
    groups: tuple[str, ...]
    tier: int
    is_draining: bool
    started_at: int


@dataclass(slots=True)
class _EndpointHealth:
    listed: TieredEndpoint
    failures: WindowedSums = field(
        default_factory=lambda: WindowedSums(FAILURE_BUCKET_TICKS, FAILURE_BUCKETS, 1)
    )
    is_unresponsive: bool = False  # until a request succeeds

    def is_available(self, tier: int) -> bool:
        """Returns whether it can serve for this tier."""
        return self.listed.tier == tier and not self.listed.is_draining and not self.is_unresponsive

    def has_warmed_up(self, now: int, slow_start_ticks: int) -> bool:
        """Returns whether its slow start is over."""
        started_at = self.listed.started_at
        return started_at == LONG_AGO or now - started_at >= slow_start_ticks


@dataclass(slots=True)
class _Group:
    last_active_tier: int = 0
    earlier_ready_since: int | None = None  # since when an earlier tier could serve instead
    endpoints: list[str] = field(default_factory=list)
    tiers: tuple[int, ...] = ()


class PriorityTiers:
    """Decides which tiers of each group are active."""

    def __init__(self, listener: TierListener, slow_start_ticks: int) -> None:
        """`listener` is notified of changes; endpoints warm up for `slow_start_ticks` after their start."""
        self._listener = listener
        self._slow_start_ticks = slow_start_ticks
        self._endpoints: dict[str, _EndpointHealth] = {}
        self._groups: dict[str, _Group] = {}
        self._active: dict[str, bool] = {}  # only endpoints that were ever on standby

    def is_standby(self, endpoint: str) -> bool:
        """Returns whether a listed endpoint is on standby and must not be used now."""
        return not self._active.get(endpoint, True)

    def update_list(self, now: int, endpoints: Iterable[TieredEndpoint]) -> None:
        """Handles the complete endpoint list and updates the tiers."""
        known = self._endpoints
        self._endpoints = {}
        previous = self._groups
        self._groups = {}
        for listed in endpoints:
            self._add_endpoint(listed, known.get(listed.name), previous)
        for group in self._groups.values():
            group.tiers = tuple(sorted({self._endpoints[name].listed.tier for name in group.endpoints}))
            if group.last_active_tier not in group.tiers:
                group.last_active_tier = group.tiers[0]
                group.earlier_ready_since = None
        self._active = {name: active for name, active in self._active.items() if name in self._endpoints}
        self.evaluate(now)

    def record_attempts(self, now: int, endpoint: str, attempts: int, failures: int) -> None:
        """Handles the results of attempts at an endpoint."""
        health = self._endpoints.get(endpoint)
        if health is None or all(len(self._groups[group].tiers) < 2 for group in health.listed.groups):
            return
        if failures < attempts:  # a success cancels all failures before it
            health.failures.clear()
            health.is_unresponsive = False
            return
        health.failures.add(now, attempts)
        if health.failures.total(now, FAILURE_BUCKETS)[0] >= UNRESPONSIVE_FAILURES:
            health.is_unresponsive = True

    def evaluate(self, now: int) -> None:
        """Activates endpoints that must serve, and puts those on standby that need not."""
        reasons: dict[str, str] = {}
        for group in self._groups.values():
            if len(group.tiers) > 1 or any(name in self._active for name in group.endpoints):
                self._evaluate_group(now, group)
                reason = f"tier {group.last_active_tier} of {len(group.tiers)} is the last that must serve"
                reasons.update((name, reason) for name in group.endpoints)
        for name, reason in reasons.items():
            self._set_active(name, reason)

    def _add_endpoint(
        self, listed: TieredEndpoint, known: _EndpointHealth | None, previous: dict[str, _Group]
    ) -> None:
        health = _EndpointHealth(listed)
        if known is not None and known.listed.started_at == listed.started_at:  # else it is a new process
            health.failures = known.failures
            health.is_unresponsive = known.is_unresponsive
        self._endpoints[listed.name] = health
        for name in listed.groups:
            if name not in self._groups:
                before = previous.get(name, _Group())
                self._groups[name] = _Group(before.last_active_tier, before.earlier_ready_since)
            self._groups[name].endpoints.append(listed.name)

    def _set_active(self, name: str, reason: str) -> None:
        listed = self._endpoints[name].listed
        is_active = any(listed.tier <= self._groups[group].last_active_tier for group in listed.groups)
        was_on_standby = name in self._active
        if (was_on_standby or not is_active) and self._active.get(name) is not is_active:
            self._active[name] = is_active
            self._listener.set_active(name, is_active, reason)

    def _evaluate_group(self, now: int, group: _Group) -> None:
        """Updates the last active tier."""
        available = (tier for tier in group.tiers if self._is_tier_available(group, tier))
        needed_tier = next(available, group.last_active_tier)
        if needed_tier > group.last_active_tier:
            group.last_active_tier = needed_tier
            group.earlier_ready_since = None
        elif needed_tier < group.last_active_tier and self._has_earlier_warmed_up(now, group):
            if group.earlier_ready_since is None:
                group.earlier_ready_since = now
            if now - group.earlier_ready_since >= DEACTIVATION_DELAY_TICKS:
                group.last_active_tier = needed_tier
                group.earlier_ready_since = None
        else:
            group.earlier_ready_since = None

    def _is_tier_available(self, group: _Group, tier: int) -> bool:
        return any(self._endpoints[name].is_available(tier) for name in group.endpoints)

    def _has_earlier_warmed_up(self, now: int, group: _Group) -> bool:
        earlier_tiers = [tier for tier in group.tiers if tier < group.last_active_tier]
        members = [self._endpoints[name] for name in group.endpoints]
        return any(
            member.is_available(tier) and member.has_warmed_up(now, self._slow_start_ticks)
            for tier in earlier_tiers
            for member in members
        )
