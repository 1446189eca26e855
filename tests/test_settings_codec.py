"""Tests of the settings document: the setting that each key sets, and the documents that are rejected."""

from __future__ import annotations

import copy
import json
from operator import attrgetter
from typing import Any

import pytest

from willowhook.decisions.settings import AdmissionUnit, DeploymentSettings, LoadSource, RequestSemantics
from willowhook.settings_codec import SettingsError, decode_settings, parse_settings

SMALLEST: dict[str, Any] = {
    "contract": {"drain-grace": 2.5},
    "extra": {"egress-per-s": 1600, "empty-for": 2.8, "most-waiting": 3200},
    "request-classes": [{"name": "read", "aim": 1, "deadline": 4}],
}
ROUTE = ("request-classes", 0)

Path = tuple[str | int, ...]


def document_with(path: Path, value: object) -> dict[str, Any]:
    """Returns the smallest document with one value set."""
    document = copy.deepcopy(SMALLEST)
    part: Any = document
    for key in path[:-1]:
        part = part[key] if isinstance(key, int) else part.setdefault(key, {})
    part[path[-1]] = value
    return document


def document_without(path: Path) -> dict[str, Any]:
    """Returns the smallest document without one of its keys."""
    document = copy.deepcopy(SMALLEST)
    part: Any = document
    for key in path[:-1]:
        part = part[key]
    del part[path[-1]]
    return document


def setting(document: dict[str, Any], name: str) -> object:
    """Returns a decoded setting; names that start with `routes.` refer to the first route."""
    settings: DeploymentSettings = decode_settings(document)
    source = settings.routes[0] if name.startswith("routes.") else settings
    return attrgetter(name.removeprefix("routes."))(source)


@pytest.mark.parametrize(
    ("path", "value", "name", "decoded", "default"),
    [
        (("locality",), "north", "local_zone", "north", ""),
        (("zones",), ["north", "south"], "zones", ("north", "south"), ()),
        (("discovery",), "subscribe", "list_on_request", True, False),
        (("allowed", "probes"), True, "health_checks", True, False),
        (("weights",), "nominal", "lists_capacity", True, False),
        (("weights",), "rough", "lists_capacity", True, False),
        ((*ROUTE, "points"), 3, "routes.priority_weight", 3.0, 1.0),
        ((*ROUTE, "only-zones"), ["north"], "routes.allowed_zones", ("north",), ()),
        ((*ROUTE, "only-kinds"), ["fast"], "routes.allowed_classes", ("fast",), ()),
        (("extra", "class-own-zone"), [True], "routes.same_zone_only", True, False),
        (("extra", "per-message"), 6, "channel.message_overhead_entries", 6.0, 0.0),
        (("extra", "late"), 0.2, "channel.typical_delay_ticks", 2000, 0),
        (("extra", "late"), 0.2, "channel.max_delay_ticks", 2000, 0),
        (("extra", "late-most"), 0.4, "channel.max_delay_ticks", 4000, 0),
        (("extra", "update-cap"), 12, "channel.message_cap", 12, 0),
        (("extra", "messages-over"), 5, "channel.message_cap_window_ticks", 50_000, 100_000),
        (("extra", "push-price"), 0.1, "channel.entry_price", 0.1, 0.0),
        (("contract", "ask-every"), 10, "rules.discovery_poll_ticks", 100_000, 0),
        (("contract", "start-capacity"), 0.25, "rules.slow_start_fraction", 0.25, 0.0),
        (("contract", "cold"), 15, "rules.slow_start_ticks", 150_000, 0),
        (("contract", "fall-multiple"), 3, "rules.recovery_overload_factor", 3.0, 1.0),
        (("extra", "proxies"), 6, "fleet.proxy_count", 6, 1),
        (("extra", "strikes"), 3, "fleet.avoidance_failures", 3, 0),
        (("extra", "default-size"), 5, "fleet.bootstrap_table_size", 5, 0),
        (("extra", "retry-default"), 1, "fleet.default_retries", 1, 0),
        (("extra", "period"), 2, "fleet.report_interval_ticks", 20_000, 10_000),
        (("deductions", "cross-zone"), 0.08, "fleet.cross_zone_price", 0.08, 0.0),
    ],
)
def test_optional_key_sets_its_setting_or_leaves_the_default(
    path: Path, value: object, name: str, decoded: object, default: object
) -> None:
    assert setting(document_with(path, value), name) == decoded
    assert setting(SMALLEST, name) == default


@pytest.mark.parametrize(
    ("path", "name", "decoded"),
    [
        (("extra", "egress-per-s"), "channel.entries_per_second", 1600.0),
        (("extra", "most-waiting"), "channel.queue_limit_entries", 3200.0),
        (("extra", "empty-for"), "rules.empty_table_grace_ticks", 28_000),
        (("contract", "drain-grace"), "rules.drain_grace_ticks", 25_000),
        ((*ROUTE, "name"), "routes.name", "read"),
        ((*ROUTE, "aim"), "routes.latency_objective_ticks", 10_000),
        ((*ROUTE, "deadline"), "routes.deadline_ticks", 40_000),
    ],
)
def test_required_key_sets_its_setting_and_is_named_if_missing(
    path: Path, name: str, decoded: object
) -> None:
    assert setting(SMALLEST, name) == decoded
    with pytest.raises(SettingsError, match=f"^{path[-1]} is missing$"):
        decode_settings(document_without(path))


def test_document_without_routes_is_rejected() -> None:
    with pytest.raises(SettingsError, match=r"^request-classes is missing$"):
        decode_settings(document_without(("request-classes",)))


@pytest.mark.parametrize(
    ("path", "name", "words", "unknown", "missing"),
    [
        (
            ("extra", "admit"),
            "fleet.admission_unit",
            {"ratio": AdmissionUnit.FRACTION, "rps": AdmissionUnit.REQUESTS_PER_SECOND},
            AdmissionUnit.NONE,
            AdmissionUnit.NONE,
        ),
        (
            ("load-info", "how"),
            "fleet.load_source",
            {"probe": LoadSource.HEALTH_CHECKS, "none": LoadSource.NONE, "answers": LoadSource.RESPONSES},
            LoadSource.RESPONSES,
            LoadSource.NONE,
        ),
        (
            (*ROUTE, "semantics"),
            "routes.semantics",
            {"idempotent": RequestSemantics.IDEMPOTENT, "deduplicated": RequestSemantics.DEDUPLICATED},
            RequestSemantics.AT_MOST_ONCE,
            RequestSemantics.AT_MOST_ONCE,
        ),
        (("discovery",), "list_on_request", {"subscribe": True}, False, False),
        (("weights",), "lists_capacity", {"nominal": True, "rough": True, "none": False}, False, False),
    ],
)
def test_keyword_is_decoded_and_unknown_or_missing_ones_get_defaults(
    path: Path, name: str, words: dict[str, object], unknown: object, missing: object
) -> None:
    for word, meaning in words.items():
        assert setting(document_with(path, word), name) == meaning
    assert setting(document_with(path, "a-word-of-later"), name) == unknown
    assert setting(SMALLEST, name) == missing


NUMBERS: list[Path] = [
    *((*ROUTE, key) for key in ("aim", "deadline", "points", "late-worth", "window")),
    *(("contract", key) for key in ("drain-grace", "ask-every", "start-capacity", "cold", "fall-multiple")),
    ("contract", "fall"),
    *(("extra", key) for key in ("egress-per-s", "per-message", "most-waiting", "late", "late-most")),
    *(("extra", key) for key in ("update-cap", "messages-over", "push-price", "empty-for", "proxies")),
    *(("extra", key) for key in ("strikes", "default-size", "retry-default", "period", "settle")),
    *(("extra", key) for key in ("partitions-n", "try-factor", "reports-per-s")),
    ("deductions", "cross-zone"),
    ("rank",),
    ("balancers",),
]


@pytest.mark.parametrize("path", NUMBERS, ids=lambda path: str(path[-1]))
def test_malformed_number_is_rejected_with_its_text(path: Path) -> None:
    with pytest.raises(SettingsError, match="many"):
        decode_settings(document_with(path, "many"))


@pytest.mark.parametrize("path", NUMBERS, ids=lambda path: str(path[-1]))
def test_list_in_place_of_a_number_is_rejected_with_its_type(path: Path) -> None:
    with pytest.raises(SettingsError, match="'list'"):
        decode_settings(document_with(path, [1]))


@pytest.mark.parametrize("path", [("extra",), ("contract",), ("zones",), ("request-classes",), ROUTE])
def test_number_in_place_of_an_object_or_a_list_is_rejected_with_its_type(path: Path) -> None:
    with pytest.raises(SettingsError, match="'int' object"):
        decode_settings(document_with(path, 5))


@pytest.mark.parametrize("path", NUMBERS, ids=lambda path: str(path[-1]))
@pytest.mark.parametrize("value", [float("inf"), float("nan"), -1, True, "2", 10**400])
def test_value_that_is_not_a_finite_nonnegative_number_is_rejected_by_key(path: Path, value: object) -> None:
    with pytest.raises(SettingsError, match=f"^{path[-1]}: expected a number"):
        decode_settings(document_with(path, value))


@pytest.mark.parametrize("path", [*((*ROUTE, key) for key in ("aim", "deadline")), ("extra", "egress-per-s")])
def test_rate_or_objective_of_0_is_rejected_by_key(path: Path) -> None:
    with pytest.raises(SettingsError, match=f"^{path[-1]}: expected a number over 0, got 0 "):
        decode_settings(document_with(path, 0))


@pytest.mark.parametrize(
    ("path", "least"),
    [
        ((*ROUTE, "aim"), "0.0001 seconds"),
        ((*ROUTE, "deadline"), "0.0001 seconds"),
        (("extra", "egress-per-s"), "1e-06"),
    ],
)
def test_rate_or_objective_that_rounds_to_0_is_rejected_by_key(path: Path, least: str) -> None:
    """Guards against a division by an objective of 0 ticks, and infinite quotients."""
    with pytest.raises(SettingsError, match=f"^{path[-1]}: expected at least {least}, got "):
        decode_settings(document_with(path, 2e-6 if "seconds" in least else 1e-300))


@pytest.mark.parametrize(
    "path", [("zones",), (*ROUTE, "only-zones"), (*ROUTE, "only-kinds"), ("load-info", "fields")]
)
@pytest.mark.parametrize("value", ["north", [1], {"north": 1}])
def test_value_that_is_not_a_list_of_strings_is_rejected_by_key(path: Path, value: object) -> None:
    """Guards against a string that is decoded as a list of its characters."""
    with pytest.raises(SettingsError, match=f"^{path[-1]}: expected a list of strings, got "):
        decode_settings(document_with(path, value))


@pytest.mark.parametrize(
    ("path", "value"), [(("allowed", "probes"), "false"), (("extra", "class-own-zone"), ["false"])]
)
def test_string_in_place_of_a_boolean_is_rejected_by_key(path: Path, value: object) -> None:
    with pytest.raises(SettingsError, match=f"^{path[-1]}: expected a (list of booleans|boolean), got "):
        decode_settings(document_with(path, value))


def test_fraction_in_place_of_an_integer_is_rejected_by_key() -> None:
    with pytest.raises(SettingsError, match=r"^proxies: expected an integer, got 2.5 "):
        decode_settings(document_with(("extra", "proxies"), 2.5))


@pytest.mark.parametrize("text", ["", "{", "[]", "null", "7"])
def test_text_that_is_not_a_json_object_is_rejected(text: str) -> None:
    with pytest.raises(SettingsError):
        parse_settings(text)


def test_parsed_text_equals_the_decoded_document_and_unknown_keys_are_ignored() -> None:
    document = SMALLEST | {"a-key-of-later": 1}
    assert parse_settings(json.dumps(document)) == decode_settings(SMALLEST)
