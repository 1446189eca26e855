"""What becomes of each directive: carried, carried with a stated difference, not carried, or refused.

Every directive that is read gets exactly one verdict, in the order of the file.  One table, a row a
directive; what depends on arguments or on the calls that a location serves has a method of its own.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from .locations import EXACT, NAMED, PRIORITY, REGEX, REGEX_NOCASE, read
from .syntax import Directive, Place, SyntaxFault
from .upstreams import CONDITIONS, Retry, passed_to, retry_of, server_of, upstream_of

CARRIED, DIFFERS, LEFT, REFUSED = "carried", "carried, differs", "not carried", "refused"


@dataclass(frozen=True, slots=True)
class Verdict:
    place: Place
    directive: str
    what: str
    why: str

    def line(self) -> str:
        return f"{self.place}: {self.directive}: {self.what}" + (f": {self.why}" if self.why else "")


TABLE: dict[str, tuple[str, str]] = {
    "http": (CARRIED, ""),
    "upstream": (CARRIED, ""),
    "include": (CARRIED, ""),
    "least_conn": (DIFFERS, "the less loaded of two drawn hosts, by each proxy's own calls"),
    "ip_hash": (DIFFERS, "a ring by the caller's address: the same spread, other places"),
    "keepalive": (LEFT, "connections are the proxies' own"),
    "keepalive_requests": (LEFT, "connections are the proxies' own"),
    "keepalive_timeout": (LEFT, "connections are the proxies' own"),
    "keepalive_time": (LEFT, "connections are the proxies' own"),
    "zone": (LEFT, "each proxy counts for itself; sums go to the director"),
    "server_name": (LEFT, "routes go by path; proxies choose among names"),
    "listen": (LEFT, "where proxies listen is their own"),
    "proxy_next_upstream_tries": (DIFFERS, "one further try, or two, at the most"),
    "proxy_next_upstream_timeout": (DIFFERS, "the route's time limit bounds all tries together"),
    "proxy_connect_timeout": (DIFFERS, "one figure for the fleet: fleet.dial_ms"),
    "proxy_read_timeout": (DIFFERS, "the route's time limit, for the whole call and not between two reads"),
    "proxy_send_timeout": (LEFT, "the route's time limit is for the whole call"),
    "limit_req": (DIFFERS, "a level of the route, for each proxy and not for each caller"),
    "limit_req_zone": (DIFFERS, "a level of the route, for each proxy and not for each caller"),
    "limit_conn": (LEFT, "levels are rates or shares of calls, not of connections"),
    "limit_conn_zone": (LEFT, "levels are rates or shares of calls, not of connections"),
    "split_clients": (LEFT, "shares of callers: give the hosts weights"),
    "map": (LEFT, "a route has one table; write a location for each value"),
    "events": (LEFT, "how that program itself runs"),
    "return": (LEFT, "no host answers it"),
    "rewrite": (LEFT, "paths are passed on as they come"),
    "if": (LEFT, "routes go by path alone"),
    "try_files": (LEFT, "files are not served"),
    "root": (LEFT, "files are not served"),
    "alias": (LEFT, "files are not served"),
    "index": (LEFT, "files are not served"),
    "internal": (LEFT, "every route is open to callers"),
}
BY_PREFIX: tuple[tuple[str, str], ...] = (
    ("proxy_cache", "nothing is kept"), ("proxy_ssl", "hosts are spoken to as proxies do"),
    ("proxy_", "how a call is passed on is the proxies' own"), ("ssl", "proxies end TLS themselves"),
    ("gzip", "bodies pass as they come"), ("access_", "records are the director's own"),
    ("log_", "records are the director's own"), ("error_", "answers pass as they come"),
    ("worker_", "how that program itself runs"), ("client_", "limits on callers are the proxies' own"),
    ("add_header", "headers pass as they come"), ("set", "no variables"), ("fastcgi_", "hosts speak HTTP"),
    ("grpc_", "hosts speak HTTP/1.1"), ("uwsgi_", "hosts speak HTTP"),
)  # fmt: skip


class Judge:
    """`mutating`: paths whose calls must not have their effect twice."""

    def __init__(self, mutating: tuple[str, ...]) -> None:
        self._mutating = mutating
        self.found: list[Verdict] = []
        self._own: dict[str, Callable[[Directive, tuple[Directive, ...]], tuple[str, str]]] = {
            "server": self._server, "location": self._location, "proxy_pass": self._pass,
            "proxy_next_upstream": self._next, "hash": self._hash, "random": self._random,
        }  # fmt: skip

    def judge(self, rows: list[Directive], around: tuple[Directive, ...] = ()) -> None:
        for row in rows:
            own = self._own.get(row.name)
            try:
                if row.name == "upstream":
                    upstream_of(row)
                what, why = own(row, around) if own is not None else self._by_table(row)
            except SyntaxFault as fault:
                what, why = REFUSED, fault.cause
            shown = " ".join([row.name, *(word.text for word in row.args)])
            self.found.append(Verdict(row.place, shown[:120], what, why))
            if row.block is not None:
                self.judge(row.block, (*around, row))

    @staticmethod
    def _by_table(row: Directive) -> tuple[str, str]:
        if row.name in TABLE:
            return TABLE[row.name]
        for prefix, why in BY_PREFIX:
            if row.name.startswith(prefix):
                return LEFT, why
        return LEFT, "nothing here has a word for it"

    @staticmethod
    def _server(row: Directive, around: tuple[Directive, ...]) -> tuple[str, str]:
        if row.block is not None:
            return CARRIED, ""
        made, notes = server_of(row), []
        if made.down:
            return CARRIED, "listed as draining"
        if made.backup:
            notes.append("a table of its own that serves only when no other host is open")
        if made.max_conns:
            notes.append(f"max_conns {made.max_conns}: no cap on connections; levels bound calls")
        if made.slow_start_ms:
            notes.append("slow_start: the ramp of all cold hosts, rules.cold_ms")
        if made.max_fails != 1 or made.fail_timeout_ms != 10_000:
            notes.append("max_fails, fail_timeout: outlier ejection by sums, and fleet.strikes at each proxy")
        return (DIFFERS, "; ".join(notes)) if notes else (CARRIED, "")

    @staticmethod
    def _location(row: Directive, around: tuple[Directive, ...]) -> tuple[str, str]:
        made = read(row)
        if made.kind in (REGEX, REGEX_NOCASE):
            return LEFT, "routes are paths; calls that only this expression finds go by the longest path"
        if made.kind == NAMED:
            return LEFT, "no call asks for it by its path"
        if made.kind == EXACT:
            return DIFFERS, "what lies below the path goes the same way"
        if not made.pattern.endswith("/"):
            return DIFFERS, f"ends with a segment: {made.pattern}x does not fall to it"
        return CARRIED, "" if made.kind != PRIORITY else "longest path first, as without expressions"

    @staticmethod
    def _pass(row: Directive, around: tuple[Directive, ...]) -> tuple[str, str]:
        name, uri = passed_to(row)
        if "$" in row.arg(0):
            return LEFT, "where it goes is only known at each call"
        if uri:
            return DIFFERS, f"the path is passed on as it comes, not with {uri} in its place"
        return (
            (CARRIED, "")
            if row.arg(0).startswith("http://")
            else (DIFFERS, "hosts are spoken to without TLS")
        )

    def _next(self, row: Directive, around: tuple[Directive, ...]) -> tuple[str, str]:
        made = retry_of([row], Retry())
        places = [each.args[-1].text for each in around if each.name == "location" and each.args]
        path = places[-1] if places else "/"
        hit = [each for each in self._mutating if each.startswith(path) or path.startswith(each)]
        if hit and made.non_idempotent and made.may_run_twice():
            after = ", ".join(made.may_run_twice())
            return REFUSED, f"calls of {', '.join(hit)} could have their effect twice after {after}"
        if made.off:
            return CARRIED, ""
        known = [each for each in made.conditions if each in CONDITIONS]
        if hit:
            return DIFFERS, f"calls of {', '.join(hit)} are tried once more only after proof that none ran"
        return DIFFERS, f"after any failure, not only after {', '.join(known)}"

    @staticmethod
    def _hash(row: Directive, around: tuple[Directive, ...]) -> tuple[str, str]:
        ring = row.arg(1) == "consistent"
        return DIFFERS, "a ring with the same spread; which key goes where differs" if ring else \
            "a ring: fewer keys move when hosts change, and which goes where differs"  # fmt: skip

    @staticmethod
    def _random(row: Directive, around: tuple[Directive, ...]) -> tuple[str, str]:
        if row.arg(0) == "two":
            return DIFFERS, "the less loaded of the two by each proxy's own calls"
        return CARRIED, ""


def verdicts(rows: list[Directive], mutating: tuple[str, ...] = ()) -> list[Verdict]:
    """One for each directive."""
    judge = Judge(mutating)
    judge.judge(rows)
    return judge.found
