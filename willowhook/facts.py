"""A deployment's settings, as the module's facts: the object that the bench's first message gives an
instance, and that a real director finds in its configuration.  A missing key takes its documented meaning.
"""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from .host import ChannelTerms, Facts, FleetTerms, Route, RuleTerms
from .units import ticks


def _route(row: dict[str, Any], index: int, extra: dict[str, Any]) -> Route:
    def flag(key: str) -> bool:
        flags: Sequence[Any] = extra.get(key) or ()
        return index < len(flags) and bool(flags[index])

    return Route(
        name=str(row["name"]),
        slo_time=ticks(row["aim"]),
        time_limit=ticks(row["deadline"]),
        importance=float(row.get("points", 1.0)),
        late_importance=float(row.get("late-worth", 0.0)),
        semantics=str(row.get("semantics", "at_most_once")),
        group=str(row.get("group", "")),
        window=ticks(row.get("window") or 0),
        writes=flag("class-writes"),
        own_zone=flag("class-own-zone"),
        zones=tuple(row.get("only-zones") or ()),
        kinds=tuple(row.get("only-kinds") or ()),
    )


def read_facts(text: str) -> Facts:
    """Parses the settings; unknown keys are left alone."""
    return facts_of(json.loads(text))


def facts_of(top: dict[str, Any]) -> Facts:
    """Times are seconds there.  Raises KeyError, TypeError, ValueError or AttributeError."""
    extra = top.get("extra", {})
    rules = top.get("contract", {})
    allowed = top.get("allowed", {})
    prices = top.get("deductions", {})
    load = top.get("load-info", {})
    channel = ChannelTerms(
        lines_per_s=float(extra["egress-per-s"]),
        head_lines=float(extra.get("per-message", 0)),
        most_waiting=float(extra["most-waiting"]),
        late=ticks(extra.get("late") or 0),
        late_most=ticks(extra.get("late-most") or extra.get("late") or 0),
        messages_most=int(extra.get("update-cap") or 0),
        messages_over=ticks(extra.get("messages-over") or 10),
        order_price=float(extra.get("push-price") or 0),
    )
    terms = RuleTerms(
        bare=ticks(extra["empty-for"]),
        drain_grace=ticks(rules["drain-grace"]),
        ask_every=ticks(rules.get("ask-every") or 0),
        start_capacity=float(rules.get("start-capacity") or 0),
        cold=ticks(rules.get("cold") or 0),
        fall_multiple=float(rules.get("fall-multiple") or 1),
        fall=ticks(rules.get("fall") or 0),
        gone_is_advice=bool(rules.get("gone-is-advice", False)),
    )
    fleet = FleetTerms(
        proxies=int(extra.get("proxies") or 1),
        slices=int(extra.get("partitions-n") or 0),
        one_owner=bool(extra.get("one-owner", False)),
        pick=str(extra.get("lb-method", "lottery")),
        strikes=int(extra.get("strikes") or 0),
        standing=int(extra.get("default-size") or 0),
        admit=str(extra.get("admit", "none")),
        usual_tries=int(extra.get("retry-default") or 0),
        try_factor=float(extra.get("try-factor") or 0),
        period=ticks(extra.get("period") or 1),
        reports_per_s=float(extra.get("reports-per-s") or 0),
        settle=ticks(extra.get("settle") or 0),
        cross_zone_price=float(prices.get("cross-zone") or 0),
        load_reports=str(load.get("how", "none")),
        load_fields=tuple(load.get("fields") or ()),
    )
    return Facts(
        rank=int(top.get("rank", 0)),
        directors=int(top.get("balancers", 1)),
        zone=str(top.get("locality", "")),
        zones=tuple(top.get("zones", ())),
        subscribe=top.get("discovery") == "subscribe",
        probes=bool(allowed.get("probes", False)),
        peers=bool(allowed.get("peers", False)),
        weights=str(top.get("weights", "none")),
        routes=tuple(_route(row, k, extra) for k, row in enumerate(top["request-classes"])),
        channel=channel,
        rules=terms,
        fleet=fleet,
    )
