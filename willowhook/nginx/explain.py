"""Which server, location, upstream and tries a call would meet, by a configuration as it stands."""

from __future__ import annotations

from dataclasses import dataclass, field

from .locations import Location, Matcher, read_all
from .syntax import Directive, Loader, SyntaxFault
from .upstreams import Retry, Upstream, passed_to, retry_of, upstream_of

MUTATING = ("POST", "LOCK", "PATCH")  # methods that are only tried again with `non_idempotent`


@dataclass(slots=True)
class Site:
    names: list[str]
    listens: list[str]
    matcher: Matcher
    retry: Retry
    block: Directive
    usual: bool = False  # where no name fits


@dataclass(slots=True)
class Answer:
    site: Site | None = None
    location: Location | None = None
    upstream: str = ""
    uri: str = ""  # as it is passed on
    shares: dict[str, float] = field(default_factory=dict)
    backups: list[str] = field(default_factory=list)
    tries: int = 1
    again_after: tuple[str, ...] = ()
    why: str = ""  # there is no upstream

    def lines(self) -> list[str]:
        if self.why:
            return [self.why]
        assert self.location is not None
        found = [
            f"{self.location} ({self.location.directive.place}) -> upstream {self.upstream}, as {self.uri}"
        ]
        found += [f"  {share:6.1%} {name}" for name, share in self.shares.items()]
        found += [f"  backup {name}, when no primary is open" for name in self.backups]
        after = ", ".join(self.again_after) or "nothing"
        return [*found, f"  at most {self.tries} tries; one more after {after}"]


class Setup:
    """Everything that routing needs of a configuration; raises SyntaxFault."""

    def __init__(self, path: str, loader: Loader | None = None) -> None:
        rows = (loader or Loader()).load(path)
        top = next((row.block or [] for row in rows if row.name == "http"), rows)
        self.upstreams: dict[str, Upstream] = {}
        self.sites: list[Site] = []
        outer = retry_of(top, Retry())
        for row in top:
            if row.name == "upstream":
                made = upstream_of(row)
                if made.name in self.upstreams:
                    first = self.upstreams[made.name].directive.place
                    raise SyntaxFault(row.place, f"upstream {made.name!r} stands twice, first at {first}")
                self.upstreams[made.name] = made
            elif row.name == "server" and row.block is not None:
                inner = row.block
                names = [word.text for each in inner if each.name == "server_name" for word in each.args]
                listens = [each.arg(0) for each in inner if each.name == "listen"]
                usual = any("default_server" in [w.text for w in each.args] for each in inner)
                matcher = Matcher(read_all(inner))
                self.sites.append(Site(names, listens, matcher, retry_of(inner, outer), row, usual))

    def site(self, name: str) -> Site | None:
        """By `server_name`: the exact one, the longest `*.x`, the longest `x.*`, the usual one, the first."""
        fits: list[tuple[int, int, int]] = []
        for at, site in enumerate(self.sites):
            for each in site.names:
                if each == name or (each.startswith(".") and (name == each[1:] or name.endswith(each))):
                    fits.append((3, len(each), -at))
                elif each.startswith("*.") and name.endswith(each[1:]):
                    fits.append((2, len(each), -at))
                elif each.endswith(".*") and name.startswith(each[:-1]):
                    fits.append((1, len(each), -at))
        if fits:
            return self.sites[-max(fits)[2]]
        usual = [site for site in self.sites if site.usual]
        return usual[0] if usual else self.sites[0] if self.sites else None

    def explain(self, uri: str, host: str = "", method: str = "GET") -> Answer:
        site = self.site(host)
        if site is None:
            return Answer(why="there is no server")
        location = site.matcher.find(uri.partition("?")[0])
        if location is None:
            return Answer(site, why=f"no location fits {uri}")
        found = Answer(site, location)
        rows = location.directive.block or []
        passes = [row for row in rows if row.name == "proxy_pass"]
        if not passes:
            found.why = f"{location} ({location.directive.place}) passes nothing on"
            return found
        found.upstream, replaced = passed_to(passes[0])
        found.uri = uri
        if replaced and location.regex is None:
            found.uri = replaced + uri[len(location.pattern) :]
        upstream = self.upstreams.get(found.upstream)
        count = 1
        if upstream is not None:
            found.shares = upstream.shares()
            found.backups = [f"{s.address}:{s.port}" for s in upstream.backups() if upstream.primaries()]
            count = len(upstream.primaries()) + len(upstream.backups())
        retry = retry_of(rows, site.retry)
        allowed = not retry.off and (method not in MUTATING or retry.non_idempotent)
        found.again_after = retry.may_run_twice() if allowed else ()
        found.tries = max(1, min(retry.tries or count, count)) if found.again_after else 1
        return found
