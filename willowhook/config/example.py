"""An example configuration: one of two controllers of a fleet with a dozen endpoints in two zones."""

from __future__ import annotations

from .terms import ChannelTerms, FileTerms, FleetTerms, RecordTerms, RosterTerms, RouteTerms, RuleTerms, Terms

EXAMPLE = Terms(
    name="north-1", rank=0, directors=2, zone="north", zones=("north", "south"),
    files=FileTerms(folder="run/north-1"),
    roster=RosterTerms(url="http://127.0.0.1:8500", service="tasks"),
    routes=(
        RouteTerms(name="load", path="/load-task", slo_time_ms=1200, time_limit_ms=4000, importance=1,
                   late_importance=0.1, semantics="repeatable"),
        RouteTerms(name="save", path="/save-answer", slo_time_ms=900, time_limit_ms=2400, importance=2,
                   late_importance=0.1, semantics="keyed", group="zone", window_ms=2500, writes=True),
        RouteTerms(name="submit", path="/submit-task", slo_time_ms=1200, time_limit_ms=3600, importance=2,
                   late_importance=0.1, semantics="mutating", writes=True),
    ),
    channel=ChannelTerms(lines_per_s=1600, most_waiting_lines=3200, late_ms=20, late_most_ms=250),
    rules=RuleTerms(bare_ms=2500, drain_grace_ms=2500, start_capacity=0.3, cold_ms=8000, fall_multiple=4),
    fleet=FleetTerms(proxies=8, standing=5, report_every_ms=500, cross_zone_price=0.04),
    records=RecordTerms(file="run/north-1.records"),
)  # fmt: skip
