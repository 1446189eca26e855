"""The configuration of one director, as typed structs; its JSON Schema is made from them.

Units stand in the names.  Every struct refuses unknown keys.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(gt=0, le=1)]
Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$")]
Path = Annotated[str, Meta(pattern=r"^/[!-~]*$", max_length=200)]
RoutePath = Annotated[str, Meta(min_length=1, max_length=1000)]


class ConfigSection(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A part of the configuration."""


class FileTerms(ConfigSection, frozen=True, kw_only=True):
    """The folder through which the director and its proxies speak."""

    folder: str
    durability: Literal["none", "file", "file_and_folder"] = "none"
    watch: Literal["inotify", "poll"] = "inotify"
    poll_every_ms: Positive = 50
    beat_every_ms: Positive = 200
    proxy_lost_after_ms: Positive = 2000
    largest_report_bytes: Annotated[int, Meta(ge=1024, le=1 << 26)] = 1 << 20


class RosterTerms(ConfigSection, frozen=True, kw_only=True):
    """Where the list of hosts comes from."""

    url: Annotated[str, Meta(pattern=r"^http://[^/ ]+(/[^ ]*)?$")]
    service: Name
    subscribe: bool = True
    wait_ms: Positive = 5000
    timeout_ms: Positive = 2000


Match = Literal["below", "exact", "prefix", "regex"]
Order = Annotated[int, Meta(ge=0, le=100_000)]


class PathTerms(ConfigSection, frozen=True, kw_only=True):
    """Calls by their path, without arguments.

    `match`: the path and all that lies below it, the path alone, all that begins with it, or all that an
    expression (RE2) matches as a whole.  Paths are tried by `order`, of one order the longest first.
    """

    path: RoutePath
    match: Match = "below"
    order: Order = 100_000
    rewrite: Annotated[str, Meta(max_length=200)] = ""  # what hosts are asked for in the place of `path`


class ClosedTerms(PathTerms, frozen=True, kw_only=True):
    """Calls that proxies answer by themselves."""

    status: Annotated[int, Meta(ge=200, le=599)] = 404


Semantics = Literal["repeatable", "keyed", "mutating"]


class RouteTerms(ConfigSection, frozen=True, kw_only=True):
    """A route: calls whose path is `path` or lies below it, and those of `more`."""

    name: Name
    path: RoutePath
    match: Match = "below"
    order: Order = 100_000
    rewrite: Annotated[str, Meta(max_length=200)] = ""
    more: tuple[PathTerms, ...] = ()
    hash_by: Annotated[str, Meta(pattern=r"^$|^source_ip$|^(header|cookie|query):[!-~]+$")] = ""  # a ring
    tries: Annotated[int, Meta(ge=0, le=3)] = 3  # no more are ordered, whatever is decided
    most_per_s: NonNegative = 0  # calls at one proxy, as a cap on what is let in; 0: none
    slo_time_ms: Positive
    time_limit_ms: Positive
    importance: Positive = 1
    late_importance: NonNegative = 0
    semantics: Semantics = "mutating"
    group: Literal["", "all", "zone", "cell"] = ""
    window_ms: NonNegative = 0
    writes: bool = False
    own_zone: bool = False
    zones: tuple[Name, ...] = ()
    kinds: tuple[Name, ...] = ()


class ChannelTerms(ConfigSection, frozen=True, kw_only=True):
    """What one director may send its proxies."""

    lines_per_s: Positive
    head_lines: Count = 6
    most_waiting_lines: Positive
    late_ms: NonNegative = 20
    late_most_ms: NonNegative = 200
    messages_most: Count = 0
    messages_over_ms: Positive = 10_000
    order_price: NonNegative = 0.02


class RuleTerms(ConfigSection, frozen=True, kw_only=True):
    """The figures of the five rules."""

    bare_ms: Positive
    drain_grace_ms: Positive
    ask_every_ms: NonNegative = 10_000
    start_capacity: Share = 1
    cold_ms: NonNegative = 0
    fall_multiple: Positive = 4
    fall_ms: Positive = 2000
    gone_is_advice: bool = False


class FleetTerms(ConfigSection, frozen=True, kw_only=True):
    """What the proxies and hosts are like."""

    proxies: Annotated[int, Meta(ge=1, le=65_000)]
    pick: Literal["lottery", "wheel", "pair"] = "pair"
    strikes: Count = 0
    standing: Count = 0
    admit: Literal["ratio", "rps", "none"] = "rps"
    come_back_s: Annotated[int, Meta(ge=1, le=3600)] = 1
    usual_tries: Annotated[int, Meta(ge=0, le=3)] = 1
    try_factor: Positive = 1
    report_every_ms: Positive = 1000
    reports_per_s: Positive = 500
    dial_ms: Positive = 250
    cross_zone_price: NonNegative = 0
    load_reports: Literal["answers", "probe", "none"] = "answers"
    probe_path: Path = "/load"
    weights: Literal["none", "nominal", "rough", "live"] = "none"


class RecordTerms(ConfigSection, frozen=True, kw_only=True):
    """The director's own record, from which later reports are made."""

    file: str = ""
    most_waiting: Annotated[int, Meta(ge=100, le=1_000_000)] = 20_000


class GuardTerms(ConfigSection, frozen=True, kw_only=True):
    """The table guard, on the only way out."""

    mode: Literal["on", "shadow", "off"] = "on"  # shadow: what would be refused passes, and is told of
    cold_part: Annotated[float, Meta(gt=0, le=1)] = 0.8  # of a cold host's budget
    swing: Annotated[float, Meta(ge=1)] = 6.0  # times its fair part of all calls, for one host
    capacity_calls_per_s: dict[str, Positive] = {}  # by kind of host, where it is known


class RolloutTerms(ConfigSection, frozen=True, kw_only=True):
    """When a content of a table stops going out, and who gets the next one first."""

    mode: Literal["after_refusal", "always", "never"] = "after_refusal"
    refuse_share: Share = 0.03  # of those who answered: a larger share that refuses stops it
    refuse_least: Annotated[int, Meta(ge=1, le=1_000_000)] = 2
    canary_share: Share = 0.05
    settle_ms: Positive = 2000
    patience_ms: Positive = 15_000
    worse_share: Share = 0.05  # by which more of the canaries' calls may fail than of others


class FrontTerms(ConfigSection, frozen=True, kw_only=True):
    """The front that answers proxies' calls; without `listen` there is none."""

    listen: Annotated[str, Meta(pattern=r"^$|^[^: ]+:[0-9]+$")] = ""  # ADDRESS:PORT
    identity: Literal["bearer", "none"] = "bearer"
    credentials: str = ""  # a file: {"proxies": {NAME: SHA-256 of its token, in hex}}
    wait_ms: Positive = 10_000  # a call without news is answered then
    come_back_ms: Positive = 1000
    connections_most: Annotated[int, Meta(ge=1, le=65_000)] = 4000
    proxy_connections_most: Annotated[int, Meta(ge=4, le=1000)] = 12
    header_ms: Positive = 5000
    write_ms: Positive = 5000
    idle_ms: Positive = 30_000
    largest_ask_bytes: Annotated[int, Meta(ge=1024, le=1 << 26)] = 1 << 20
    asks_per_s: Positive = 50
    asks_burst: Positive = 100
    compress_from_bytes: Annotated[int, Meta(ge=0, le=1 << 30)] = 1024
    cache_bytes: Annotated[int, Meta(ge=0, le=1 << 34)] = 64 << 20


class IntakeTerms(ConfigSection, frozen=True, kw_only=True):
    """How reports of proxies are taken in; the rate is `fleet.reports_per_s`."""

    half_life_ms: Positive = 2000  # what comes so much too late counts half
    slice_ms: Positive = 4  # looked at on end, before decisions have their turn
    share: Annotated[float, Meta(gt=0, le=0.9)] = 0.3  # of all time that may go to looking at reports


class StoreTerms(ConfigSection, frozen=True, kw_only=True):
    """What a director keeps for its next life; without a folder nothing."""

    folder: str = ""
    lasts_ms: Positive = 10_000  # for so long what was met is of use after a restart


class LinkTerms(ConfigSection, frozen=True, kw_only=True):
    """Links between directors, where an installation allows them; none is needed."""

    listen: Annotated[str, Meta(pattern=r"^$|^[^: ]+:[0-9]+$")] = ""  # ADDRESS:PORT
    peers: tuple[Annotated[str, Meta(pattern=r"^http://[^/ ]+$")], ...] = ()
    timeout_ms: Positive = 500
    lasts_ms: Positive = 10_000  # a hint is of use for so long


class Terms(ConfigSection, frozen=True, kw_only=True):
    """Everything that one director is told at its start."""

    name: Name
    rank: Count = 0
    directors: Annotated[int, Meta(ge=1, le=1000)] = 1
    zone: Name
    zones: Annotated[tuple[Name, ...], Meta(min_length=1)]
    seed: int = 1
    files: FileTerms
    roster: RosterTerms
    routes: Annotated[tuple[RouteTerms, ...], Meta(min_length=1, max_length=64)]
    closed: tuple[ClosedTerms, ...] = ()
    channel: ChannelTerms
    rules: RuleTerms
    fleet: FleetTerms
    records: RecordTerms = RecordTerms()
    links: LinkTerms = LinkTerms()
    guard: GuardTerms = GuardTerms()
    rollout: RolloutTerms = RolloutTerms()
    front: FrontTerms = FrontTerms()
    store: StoreTerms = StoreTerms()
    intake: IntakeTerms = IntakeTerms()
