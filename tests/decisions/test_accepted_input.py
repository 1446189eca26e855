"""Properties of all accepted input: no event makes the decisions raise, and all figures sent are finite."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

from builders import ControllerHarness
from hypothesis import HealthCheck, assume, given, settings
from hypothesis import strategies as st

from willowhook.decisions.settings import DeploymentSettings
from willowhook.platform.endpoint_list import MAX_LISTED_WEIGHT, MAX_START_TIME_MS, EndpointListDecoder
from willowhook.platform.fields import Fields, MalformedFieldError
from willowhook.platform.messages import (
    MAX_DURATION_MS,
    MAX_REQUESTS,
    MAX_REQUESTS_PER_SECOND,
    MessageDecoder,
)
from willowhook.settings_codec import decode_settings
from willowhook.settings_fields import MAX_NUMBER, SettingsError
from willowhook.ticks import TICKS_PER_SECOND

DOCUMENT = json.loads((Path(__file__).parent.parent / "options.json").read_text())
PROXIES = DOCUMENT["extra"]["proxies"]
ENDPOINTS = [f"h{number}" for number in range(6)]
ROUTES = [route["name"] for route in DOCUMENT["request-classes"]]
ZONES = DOCUMENT["zones"]
LONG_AGO_MS = 0.0
SMALLEST = 5e-324


def figures(maximum: float) -> st.SearchStrategy[float]:
    """Numbers from 0 to a maximum, with the extremes and ordinary ones drawn often."""
    extremes = st.sampled_from([0.0, SMALLEST, 1e-9, 1e-4, 0.5, 1.0, 20.0, maximum])
    return extremes | st.floats(0.0, maximum, allow_subnormal=True)


def counts(maximum: int) -> st.SearchStrategy[int]:
    return st.sampled_from([0, 1, 2, 40, maximum]) | st.integers(0, maximum)


@st.composite
def deployments(draw: st.DrawFn) -> DeploymentSettings:
    document = json.loads(json.dumps(DOCUMENT))
    for part in ("contract", "extra"):
        for key, value in document[part].items():
            if isinstance(value, float) and draw(st.integers(0, 3)) == 0:
                document[part][key] = draw(figures(MAX_NUMBER))
    for route in document["request-classes"]:
        for key in ("aim", "deadline", "points"):
            if draw(st.integers(0, 5)) == 0:
                route[key] = draw(figures(MAX_NUMBER))
    document["extra"]["class-own-zone"] = draw(st.lists(st.booleans(), min_size=3, max_size=3))
    document["extra"]["update-cap"] = draw(st.sampled_from([0, 0, 1, 12]))
    document["extra"]["strikes"] = draw(st.sampled_from([0, 3]))
    document["extra"]["default-size"] = draw(st.sampled_from([0, 5]))
    document["extra"]["admit"] = draw(st.sampled_from(["ratio", "rps", "none"]))
    document["deductions"]["cross-zone"] = draw(st.sampled_from([0.0, 0.08]))
    document["weights"] = draw(st.sampled_from(["none", "nominal"]))
    document["load-info"]["how"] = draw(st.sampled_from(["answers", "none"]))
    try:
        return decode_settings(document)
    except SettingsError:
        assume(False)
        raise


def attaches() -> st.SearchStrategy[Fields]:
    return st.fixed_dictionaries(
        {
            "t": st.just("attach"),
            "proxy": st.integers(0, PROXIES - 1),
            "zone": st.sampled_from(ZONES),
            "weight": figures(MAX_REQUESTS_PER_SECOND),
            "fresh": st.booleans(),
        }
    )


def endpoint_reports() -> st.SearchStrategy[Fields]:
    return st.fixed_dictionaries(
        {
            "t": st.just("upstream_stats"),
            "zone": st.sampled_from(ZONES),
            "server": st.sampled_from(ENDPOINTS),
            "tries": counts(MAX_REQUESTS),
            "failed": counts(MAX_REQUESTS),
            "mean_ms": figures(8000.0),
            "span_ms": figures(MAX_DURATION_MS),
            "load": st.none() | st.fixed_dictionaries({"util": figures(4.0)}),
        }
    )


def request_reports() -> st.SearchStrategy[Fields]:
    return st.fixed_dictionaries(
        {
            "t": st.just("client_stats"),
            "proxy": st.integers(0, PROXIES - 1),
            "class": st.sampled_from(ROUTES),
            "tries": counts(MAX_REQUESTS),
            "failed": st.just(0),
            "span_ms": figures(MAX_DURATION_MS),
        }
    )


def endpoint_lists() -> st.SearchStrategy[Fields]:
    entry = st.fixed_dictionaries(
        {
            "host": st.sampled_from(ENDPOINTS),
            "dial": st.just("127.0.0.1:1"),
            "site": st.sampled_from(ZONES),
            "class": st.sampled_from(["fast", "std"]),
            "block": st.just(0),
            "health": st.sampled_from(["active", "active", "active", "leaving", "left"]),
            "share": figures(MAX_LISTED_WEIGHT),
            "born_ms": st.sampled_from([LONG_AGO_MS, LONG_AGO_MS, 500.0, 3000.0, 1e7])
            | figures(MAX_START_TIME_MS),
        }
    )
    return st.fixed_dictionaries(
        {"seq": st.just(1), "whole": st.booleans(), "hosts": st.lists(entry, max_size=8)}
    )


EVENTS = st.lists(
    attaches()
    | endpoint_reports()
    | request_reports()
    | endpoint_lists()
    | st.fixed_dictionaries({"wait": st.sampled_from([0.0, 0.5, 1.0, 4.0])}),
    max_size=40,
)
WARM_LIST: list[Fields] = [
    {
        "host": name,
        "dial": "127.0.0.1:1",
        "site": ZONES[number % len(ZONES)],
        "class": "fast" if number % 2 else "std",
        "block": 0,
        "health": "active",
        "share": 1.0,
        "born_ms": LONG_AGO_MS,
    }
    for number, name in enumerate(ENDPOINTS)
]


class Deployment:
    """A controller that receives messages and lists through the platform's codec."""

    def __init__(self, deployment_settings: DeploymentSettings) -> None:
        self._harness = ControllerHarness(deployment_settings)
        self._messages = MessageDecoder(deployment_settings)
        self._lists = EndpointListDecoder()

    def handle(self, fields: Fields) -> None:
        """Handles one message, list or wait; a malformed one is ignored, as the server does."""
        harness = self._harness
        if "wait" in fields:
            harness.advance(int(fields["wait"] * TICKS_PER_SECOND))
            return
        try:
            event: Any = (
                self._lists.decode(fields) if "hosts" in fields else self._messages.decode(fields, None)
            )
        except MalformedFieldError:
            return
        if fields.get("t") == "attach":
            harness.runtime.joined_proxies[event.proxy] = None
        harness.controller.handle(harness.now, event)
        harness.flush()
        self._check_figures()

    def _check_figures(self) -> None:
        runtime = self._harness.runtime
        weights = [weight for table in runtime.tables.values() for weight in table.values()]
        for figure in [*weights, *runtime.admission_limits.values()]:
            assert math.isfinite(figure) and figure >= 0


@settings(max_examples=200, deadline=None, derandomize=True, suppress_health_check=[HealthCheck.too_slow])
@given(deployments(), st.booleans(), EVENTS)
def test_no_accepted_input_makes_the_decisions_raise(
    deployment_settings: DeploymentSettings, begins_with_a_list: bool, events: list[Fields]
) -> None:
    """Guards against divisions by zero and infinite figures at the extremes of accepted input."""
    deployment = Deployment(deployment_settings)
    if begins_with_a_list:
        deployment.handle({"seq": 1, "whole": True, "hosts": WARM_LIST})
    for fields in events:
        deployment.handle(fields)
    deployment.handle({"wait": 6.0})
