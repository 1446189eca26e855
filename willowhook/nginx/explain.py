"""Explains which server, location and upstream serve a request, and how often it is attempted."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from .locations import Location
from .setup import LocationConfig, NginxConfig, ServerBlock, Target

NON_IDEMPOTENT_METHODS = ("POST", "LOCK", "PATCH")  # methods that are retried only with `non_idempotent`


@dataclass(slots=True)
class Explanation:
    """How a request is handled."""

    server_block: ServerBlock | None = None
    location: Location | None = None
    upstream: str = ""  # several are listed with their shares
    uri: str = ""  # as the upstream receives it
    shares: dict[str, float] = field(default_factory=dict)
    backups: list[str] = field(default_factory=list)
    load_balancing: str = ""
    max_attempts: int = 1
    retry_conditions: tuple[str, ...] = ()
    timeout_ms: int = 0
    status: int = 0  # of `return`
    no_upstream_reason: str = ""  # why no upstream serves the request

    def lines(self) -> list[str]:
        """The text that `--explain` prints."""
        if self.no_upstream_reason:
            return [self.no_upstream_reason]
        assert self.location is not None
        position = self.location.directive.position
        if self.status:
            return [f"{self.location} ({position}) answers {self.status}"]
        lines = [f"{self.location} ({position}) -> upstream {self.upstream}, as {self.uri}"]
        lines += [f"  {share:6.1%} {name}" for name, share in self.shares.items()]
        lines += [f"  backup {name}, when no primary is open" for name in self.backups]
        conditions = ", ".join(self.retry_conditions) or "none"
        return [*lines, f"  at most {self.max_attempts} attempts; retry conditions: {conditions}"]

    def observable_outcome(self) -> tuple[object, ...]:
        """Everything a client can observe; equal for configurations that serve the request alike."""
        shares = tuple(sorted((host, round(share, 6)) for host, share in self.shares.items()))
        reason = (
            self.no_upstream_reason.partition(" (")[0]
            if "location" not in self.no_upstream_reason
            else "nothing passes it on"
        )
        attempts = (self.max_attempts, tuple(sorted(self.retry_conditions)))
        return (
            shares,
            tuple(sorted(self.backups)),
            self.load_balancing,
            self.uri,
            attempts,
            self.timeout_ms,
            self.status,
            reason,
        )


def explain(config: NginxConfig, uri: str, host: str = "", method: str = "GET") -> Explanation:
    """Explains one request; `host` selects the server block, as the Host header does."""
    server_block = config.find_server_block(host)
    if server_block is None:
        return Explanation(no_upstream_reason="there is no server")
    path = uri.partition("?")[0]
    location = server_block.find_location(path)
    if location is None:
        return Explanation(server_block, no_upstream_reason=f"no location fits {uri}")
    explanation = Explanation(server_block, location.location, status=location.status)
    target = location.target
    if location.status:
        return explanation
    if target is None:
        explanation.no_upstream_reason = (
            f"{location.location} ({location.location.directive.position}) passes nothing on"
        )
        return explanation
    if target.unknown_reason:
        explanation.no_upstream_reason = (
            f"{location.location} ({location.location.directive.position}): {target.unknown_reason}"
        )
        return explanation
    parts = choose_upstreams(target, path)
    explanation.upstream = ", ".join(name if share == 1 else f"{name} {share:.1%}" for name, share in parts)
    explanation.uri = uri
    if target.uri and location.location.regex is None:
        explanation.uri = target.uri + uri[len(location.location.pattern) :]
    server_count = 0
    for name, share in parts:
        upstream = config.upstream(name)
        if upstream is None:
            explanation.no_upstream_reason = f"there is no upstream {name!r}"
            return explanation
        for server, server_share in upstream.shares().items():
            explanation.shares[server] = explanation.shares.get(server, 0.0) + share * server_share
        explanation.load_balancing = f"{upstream.load_balancing} {upstream.hash_key}".strip()
        explanation.backups += [f"{s.address}:{s.port}" for s in upstream.backups() if upstream.primaries()]
        server_count = max(server_count, len(upstream.primaries()) + len(upstream.backups()))
    _set_retries(explanation, location, method, server_count)
    return explanation


def choose_upstreams(target: Target, path: str) -> list[tuple[str, float]]:
    """The upstreams for one path with their shares of the requests."""
    mapping = target.mapping
    if mapping is None or mapping.kind == "split" or len(mapping.values()) == 1:
        return target.parts
    for pattern, value, _ in mapping.entries:  # plain texts precede regular expressions
        if pattern == path:
            return [(value, 1.0)]
    for pattern, value, _ in mapping.entries:
        if pattern.startswith("~"):
            flags = re.IGNORECASE if pattern.startswith("~*") else 0
            if re.search(pattern.lstrip("~*"), path, flags):
                return [(value, 1.0)]
    return target.parts


def _set_retries(explanation: Explanation, location: LocationConfig, method: str, server_count: int) -> None:
    retry = location.proxy_settings.retry
    allowed = not retry.disabled and (method not in NON_IDEMPOTENT_METHODS or retry.non_idempotent)
    explanation.retry_conditions = retry.retried_conditions() if allowed else ()
    explanation.max_attempts = (
        max(1, min(retry.max_attempts or server_count, server_count)) if explanation.retry_conditions else 1
    )
    explanation.timeout_ms = min(
        location.proxy_settings.read_ms, retry.timeout_ms or location.proxy_settings.read_ms
    )
