"""Diagnostics of an import: each directive is carried, carried with a difference, not carried, or refused.

Every directive gets exactly one diagnostic, in the order of the file.  The plan (`plan.py`) decides about the
directives that routing depends on; the others have a fixed outcome (`DIRECTIVE_OUTCOMES`).
"""

from __future__ import annotations

from dataclasses import dataclass

from .plan import CARRIED, DIFFERS, NOT_CARRIED, REFUSED, ImportOptions, ImportPlan
from .setup import NginxConfig
from .syntax import Directive, SourcePosition


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """The outcome of one directive, with its reason unless it is carried unchanged."""

    position: SourcePosition
    directive: str
    outcome: str
    reason: str

    def as_dict(self) -> dict[str, str]:
        """An entry of report.json."""
        return {
            "place": str(self.position),
            "directive": self.directive,
            "verdict": self.outcome,
            "why": self.reason,
        }

    def report_line(self) -> str:
        """A line of report.txt."""
        return f"{self.position}: {self.directive}: {self.outcome}" + (
            f": {self.reason}" if self.reason else ""
        )


DIRECTIVE_OUTCOMES: dict[str, tuple[str, str]] = {
    "http": (CARRIED, ""),
    "server": (CARRIED, ""),
    "upstream": (CARRIED, ""),
    "location": (CARRIED, ""),
    "proxy_next_upstream": (DIFFERS, "non-idempotent requests are retried only if provably not executed"),
    "random": (DIFFERS, "the less loaded of two drawn hosts, by each proxy's own calls"),
    "hash": (NOT_CARRIED, "no ring"),
    "include": (CARRIED, ""),
    "least_conn": (DIFFERS, "the less loaded of two drawn hosts, by each proxy's own calls"),
    "ip_hash": (DIFFERS, "ring hash by client address; same distribution, different endpoints"),
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
    "events": (NOT_CARRIED, "nginx process setting"),
    "rewrite": (NOT_CARRIED, "no carried route has it"),
    "if": (NOT_CARRIED, "routes go by path alone"),
    "break": (NOT_CARRIED, "no rewriting goes on"),
    "try_files": (NOT_CARRIED, "files are not served"),
    "root": (NOT_CARRIED, "files are not served"),
    "alias": (NOT_CARRIED, "files are not served"),
    "index": (NOT_CARRIED, "files are not served"),
    "internal": (NOT_CARRIED, "every route is open to callers"),
}
PREFIX_REASONS: tuple[tuple[str, str], ...] = (
    ("proxy_cache", "nothing is kept"), ("proxy_ssl", "hosts are spoken to as proxies do"),
    ("proxy_", "how a call is passed on is the proxies' own"), ("ssl", "proxies end TLS themselves"),
    ("gzip", "bodies pass as they come"), ("access_", "records are the director's own"),
    ("log_", "records are the director's own"), ("error_", "answers pass as they come"),
    ("worker_", "nginx process setting"), ("client_", "limits on callers are the proxies' own"),
    ("add_header", "headers pass as they come"), ("set", "no variables"), ("fastcgi_", "hosts speak HTTP"),
    ("grpc_", "hosts speak HTTP/1.1"), ("uwsgi_", "hosts speak HTTP"),
)  # fmt: skip


class DiagnosticCollector:
    """Collects a diagnostic for each directive from syntax errors, the plan and the fixed outcomes."""

    def __init__(self, config: NginxConfig, plan: ImportPlan) -> None:
        self._errors, self._outcomes, self._dropped_locations = (
            config.errors,
            plan.outcomes,
            plan.dropped_locations,
        )
        self.diagnostics: list[Diagnostic] = []

    def collect(self, directives: list[Directive], lost_reason: str = "") -> None:
        """Appends the diagnostics of these directives and of those in their blocks.

        `lost_reason` is given if nothing of the enclosing block is carried; it replaces the outcome of
        directives that would be carried.
        """
        for directive in directives:
            error = self._errors.get(id(directive))
            if error is not None:
                position = error.position
                outcome, reason = (
                    REFUSED,
                    error.cause
                    if position == directive.position
                    else f"{position.line}:{position.column}: {error.cause}",
                )
            else:
                outcome, reason = self._outcomes.get(id(directive)) or self._default_outcome(directive)
                if lost_reason and outcome in (CARRIED, DIFFERS):
                    outcome, reason = NOT_CARRIED, lost_reason
            text = " ".join([directive.name, *(word.text for word in directive.args)])
            self.diagnostics.append(Diagnostic(directive.position, text[:120], outcome, reason))
            if directive.block is not None:
                block_lost = error is not None or id(directive) in self._dropped_locations
                if directive.name != "location":
                    block_lost = block_lost or outcome in (NOT_CARRIED, REFUSED)
                block_reason = f"within {directive.name}, which is {outcome}" if block_lost else ""
                self.collect(
                    directive.block, block_reason or (lost_reason if directive.name != "location" else "")
                )

    @staticmethod
    def _default_outcome(directive: Directive) -> tuple[str, str]:
        if directive.name == "return":
            if len(directive.args) == 1 and directive.arg(0).isdigit():
                return CARRIED, ""
            return DIFFERS, "the path is closed, without a body; redirects become 404"
        if directive.name == "random" and directive.arg(0) != "two":
            return CARRIED, ""
        if directive.name in DIRECTIVE_OUTCOMES:
            return DIRECTIVE_OUTCOMES[directive.name]
        for prefix, reason in PREFIX_REASONS:
            if directive.name.startswith(prefix):
                return NOT_CARRIED, reason
        return NOT_CARRIED, "not supported"


def diagnose(
    directives: list[Directive], options: ImportOptions | None = None
) -> tuple[list[Diagnostic], ImportPlan]:
    """Diagnostics of all directives, and the plan; raises ImportPlanError."""
    config = NginxConfig(directives, strict=False)
    plan = ImportPlan(config, options or ImportOptions())
    collector = DiagnosticCollector(config, plan)
    collector.collect(directives)
    return collector.diagnostics, plan


__all__ = ["CARRIED", "DIFFERS", "NOT_CARRIED", "REFUSED", "Diagnostic", "diagnose"]
