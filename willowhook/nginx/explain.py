"""Which server, location, upstream and tries a call would meet, by a configuration as it stands."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from .locations import Location
from .setup import LocationConfig, NginxConfig, ServerBlock, Target

MUTATING = ("POST", "LOCK", "PATCH")  # methods that are only tried again with `non_idempotent`


@dataclass(slots=True)
class Answer:
    site: ServerBlock | None = None
    location: Location | None = None
    upstream: str = ""  # several: with their shares
    uri: str = ""  # as it is passed on
    shares: dict[str, float] = field(default_factory=dict)
    backups: list[str] = field(default_factory=list)
    pick: str = ""
    tries: int = 1
    again_after: tuple[str, ...] = ()
    limit_ms: int = 0
    status: int = 0  # the proxy answers by itself
    why: str = ""  # there is no upstream

    def lines(self) -> list[str]:
        if self.why:
            return [self.why]
        assert self.location is not None
        place = self.location.directive.position
        if self.status:
            return [f"{self.location} ({place}) answers {self.status}"]
        found = [f"{self.location} ({place}) -> upstream {self.upstream}, as {self.uri}"]
        found += [f"  {share:6.1%} {name}" for name, share in self.shares.items()]
        found += [f"  backup {name}, when no primary is open" for name in self.backups]
        after = ", ".join(self.again_after) or "nothing"
        return [*found, f"  at most {self.tries} tries; one more after {after}"]

    def comes_to(self) -> tuple[object, ...]:
        """What a caller could notice, and nothing else."""
        rows = tuple(sorted((host, round(share, 6)) for host, share in self.shares.items()))
        why = self.why.partition(" (")[0] if "location" not in self.why else "nothing passes it on"
        tries = (self.tries, tuple(sorted(self.again_after)))
        return (
            rows,
            tuple(sorted(self.backups)),
            self.pick,
            self.uri,
            tries,
            self.limit_ms,
            self.status,
            why,
        )


def explain(setup: NginxConfig, uri: str, host: str = "", method: str = "GET") -> Answer:
    site = setup.find_server_block(host)
    if site is None:
        return Answer(why="there is no server")
    path = uri.partition("?")[0]
    place = site.find_location(path)
    if place is None:
        return Answer(site, why=f"no location fits {uri}")
    found = Answer(site, place.location, status=place.status)
    target = place.target
    if place.status:
        return found
    if target is None:
        found.why = f"{place.location} ({place.location.directive.position}) passes nothing on"
        return found
    if target.unknown_reason:
        found.why = f"{place.location} ({place.location.directive.position}): {target.unknown_reason}"
        return found
    parts = chosen(target, path)
    found.upstream = ", ".join(name if share == 1 else f"{name} {share:.1%}" for name, share in parts)
    found.uri = uri
    if target.uri and place.location.regex is None:
        found.uri = target.uri + uri[len(place.location.pattern) :]
    count = 0
    for name, share in parts:
        upstream = setup.upstream(name)
        if upstream is None:
            found.why = f"there is no upstream {name!r}"
            return found
        for server, part in upstream.shares().items():
            found.shares[server] = found.shares.get(server, 0.0) + share * part
        found.pick = f"{upstream.pick} {upstream.key}".strip()
        found.backups += [f"{s.address}:{s.port}" for s in upstream.backups() if upstream.primaries()]
        count = max(count, len(upstream.primaries()) + len(upstream.backups()))
    _tries(found, place, method, count)
    return found


def chosen(target: Target, path: str) -> list[tuple[str, float]]:
    """Upstreams with their shares of the calls of one path."""
    choice = target.mapping
    if choice is None or choice.kind == "split" or len(choice.values()) == 1:
        return target.parts
    for pattern, value, _ in choice.rows:  # a text goes before expressions
        if pattern == path:
            return [(value, 1.0)]
    for pattern, value, _ in choice.rows:
        if pattern.startswith("~"):
            flags = re.IGNORECASE if pattern.startswith("~*") else 0
            if re.search(pattern.lstrip("~*"), path, flags):
                return [(value, 1.0)]
    return target.parts


def _tries(found: Answer, place: LocationConfig, method: str, count: int) -> None:
    retry = place.proxy_settings.retry
    allowed = not retry.off and (method not in MUTATING or retry.non_idempotent)
    found.again_after = retry.may_run_twice() if allowed else ()
    found.tries = max(1, min(retry.tries or count, count)) if found.again_after else 1
    found.limit_ms = min(place.proxy_settings.read_ms, retry.timeout_ms or place.proxy_settings.read_ms)
