"""What becomes of each directive: carried, carried with a stated difference, not carried, or refused.

Every directive that is read gets exactly one verdict, in the order of the file.  What routing depends on has
it from the plan (`plan.py`), which decides; the rest from one table, a row a directive.
"""

from __future__ import annotations

from dataclasses import dataclass

from .plan import CARRIED, DIFFERS, NOT_CARRIED, REFUSED, ImportOptions, ImportPlan
from .setup import NginxConfig
from .syntax import Directive, SourcePosition


@dataclass(frozen=True, slots=True)
class Diagnostic:
    position: SourcePosition
    directive: str
    outcome: str
    reason: str

    def as_dict(self) -> dict[str, str]:
        return {
            "place": str(self.position),
            "directive": self.directive,
            "verdict": self.outcome,
            "why": self.reason,
        }

    def report_line(self) -> str:
        return f"{self.position}: {self.directive}: {self.outcome}" + (
            f": {self.reason}" if self.reason else ""
        )


TABLE: dict[str, tuple[str, str]] = {
    "http": (CARRIED, ""),
    "server": (CARRIED, ""),
    "upstream": (CARRIED, ""),
    "location": (CARRIED, ""),
    "proxy_next_upstream": (DIFFERS, "what may run twice is only tried again after proof that it never ran"),
    "random": (DIFFERS, "the less loaded of two drawn hosts, by each proxy's own calls"),
    "hash": (NOT_CARRIED, "no ring"),
    "include": (CARRIED, ""),
    "least_conn": (DIFFERS, "the less loaded of two drawn hosts, by each proxy's own calls"),
    "ip_hash": (DIFFERS, "a ring by the caller's address: the same spread, other places"),
    "keepalive": (NOT_CARRIED, "connections are the proxies' own"),
    "keepalive_requests": (NOT_CARRIED, "connections are the proxies' own"),
    "keepalive_timeout": (NOT_CARRIED, "connections are the proxies' own"),
    "keepalive_time": (NOT_CARRIED, "connections are the proxies' own"),
    "zone": (NOT_CARRIED, "each proxy counts for itself; sums go to the director"),
    "server_name": (NOT_CARRIED, "routes go by path; proxies choose among names"),
    "listen": (NOT_CARRIED, "where proxies listen is their own"),
    "proxy_next_upstream_tries": (DIFFERS, "one further try, or two, at the most"),
    "proxy_next_upstream_timeout": (DIFFERS, "the route's time limit bounds all tries together"),
    "proxy_connect_timeout": (DIFFERS, "one figure for the fleet: fleet.dial_ms"),
    "proxy_read_timeout": (DIFFERS, "the route's time limit, for the whole call and not between two reads"),
    "proxy_send_timeout": (NOT_CARRIED, "the route's time limit is for the whole call"),
    "limit_req": (NOT_CARRIED, "no carried route has it"),
    "limit_req_zone": (DIFFERS, "with each limit_req that names it"),
    "limit_req_status": (NOT_CARRIED, "what is throttled gets 429"),
    "limit_conn": (NOT_CARRIED, "levels are rates or shares of calls, not of connections"),
    "limit_conn_zone": (NOT_CARRIED, "levels are rates or shares of calls, not of connections"),
    "events": (NOT_CARRIED, "how that program itself runs"),
    "rewrite": (NOT_CARRIED, "no carried route has it"),
    "if": (NOT_CARRIED, "routes go by path alone"),
    "break": (NOT_CARRIED, "no rewriting goes on"),
    "try_files": (NOT_CARRIED, "files are not served"),
    "root": (NOT_CARRIED, "files are not served"),
    "alias": (NOT_CARRIED, "files are not served"),
    "index": (NOT_CARRIED, "files are not served"),
    "internal": (NOT_CARRIED, "every route is open to callers"),
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
    """`plan`: what was decided of the server that is imported."""

    def __init__(self, setup: NginxConfig, plan: ImportPlan) -> None:
        self._faults, self._notes, self._dropped = setup.errors, plan.outcomes, plan.dropped
        self.found: list[Diagnostic] = []

    def judge(self, rows: list[Directive], lost: str = "") -> None:
        """`lost`: why nothing of the block around these is carried; what has a word of its own keeps it."""
        for row in rows:
            fault = self._faults.get(id(row))
            if fault is not None:
                at = fault.position
                what, why = (
                    REFUSED,
                    fault.cause if at == row.position else f"{at.line}:{at.column}: {fault.cause}",
                )
            else:
                what, why = self._notes.get(id(row)) or self._by_table(row)
                if lost and what in (CARRIED, DIFFERS):
                    what, why = NOT_CARRIED, lost
            shown = " ".join([row.name, *(word.text for word in row.args)])
            self.found.append(Diagnostic(row.position, shown[:120], what, why))
            if row.block is not None:
                gone = fault is not None or id(row) in self._dropped
                if row.name != "location":
                    gone = gone or what in (NOT_CARRIED, REFUSED)
                within = f"within {row.name}, which is {what}" if gone else ""
                self.judge(row.block, within or (lost if row.name != "location" else ""))

    @staticmethod
    def _by_table(row: Directive) -> tuple[str, str]:
        if row.name == "return":
            if len(row.args) == 1 and row.arg(0).isdigit():
                return CARRIED, ""
            return DIFFERS, "the path is closed, without a text; what is moved gets 404"
        if row.name == "random" and row.arg(0) != "two":
            return CARRIED, ""
        if row.name in TABLE:
            return TABLE[row.name]
        for prefix, why in BY_PREFIX:
            if row.name.startswith(prefix):
                return NOT_CARRIED, why
        return NOT_CARRIED, "nothing here has a word for it"


def diagnose(
    rows: list[Directive], asked: ImportOptions | None = None
) -> tuple[list[Diagnostic], ImportPlan]:
    """One for each directive, and the plan; raises PlanFault."""
    setup = NginxConfig(rows, strict=False)
    plan = ImportPlan(setup, asked or ImportOptions())
    judge = Judge(setup, plan)
    judge.judge(rows)
    return judge.found, plan


__all__ = ["CARRIED", "DIFFERS", "NOT_CARRIED", "REFUSED", "Diagnostic", "diagnose"]
