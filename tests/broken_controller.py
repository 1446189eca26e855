"""Runs a controller that breaks one rule on purpose: `broken_controller.py RULE controller --config ...`."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent))

from willowhook.cli.main import main
from willowhook.controlplane import proxy_state, resource_renderer
from willowhook.decisions.controller import Controller
from willowhook.decisions.events import EvaluationDue, Event
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.decisions.weights import EndpointWeights


def rule_1() -> None:
    """Sets no weights: proxies are bound to empty tables."""
    proxy_state.ProxyStateBook.set_weight = lambda self, table, endpoint, weight: None  # type: ignore[method-assign]


def rule_2() -> None:
    """Permits retries after any failure on all routes."""
    resource_renderer.publishable_retries = lambda semantics, retries: retries
    set_admission = proxy_state.ProxyStateBook.set_admission

    def three_retries(self: Any, table: int, route: int, admission: AdmissionLimit) -> None:
        set_admission(self, table, route, AdmissionLimit(3, admission.limit))

    proxy_state.ProxyStateBook.set_admission = three_retries  # type: ignore[method-assign]


def rule_3() -> None:
    """Excludes no endpoint, and removes no entry from a table."""
    set_weight = proxy_state.ProxyStateBook.set_weight

    def set_positive_weight(self: Any, table: int, endpoint: str, weight: float) -> None:
        if weight > 0:
            set_weight(self, table, endpoint, weight)

    proxy_state.ProxyStateBook.set_weight = set_positive_weight  # type: ignore[method-assign]
    proxy_state.ProxyStateBook.exclude_endpoint = lambda self, endpoint: None  # type: ignore[method-assign]
    proxy_state.ProxyStateBook.readmit_endpoint = lambda self, endpoint: None  # type: ignore[method-assign]
    handle = Controller.handle

    def handle_and_send_again(self: Any, now: int, event: Event) -> None:
        """Sends all weights again at each evaluation: update validation checks only what is sent."""
        handle(self, now, event)
        if not isinstance(event, EvaluationDue):
            return
        for table in self.fleet.tables:
            for name, weight in list(table.entries.items()):
                self._runtime.set_weight(table.number, name, weight)

    Controller.handle = handle_and_send_again  # type: ignore[method-assign]


def rule_4() -> None:
    """Sends nearly all requests to endpoints that are warming up."""
    weight = EndpointWeights.weight

    def raised_weight(self: Any, now: int, table: Any, endpoint: Any) -> float:
        is_warming_up = self._slow_start.weight_fraction(now, endpoint) not in (0.0, 1.0)
        return weight(self, now, table, endpoint) * (1000.0 if is_warming_up else 1.0)

    EndpointWeights.weight = raised_weight  # type: ignore[method-assign]


def rule_5() -> None:
    """Sends every table entry 150 times at each evaluation."""
    handle = Controller.handle

    def handle_and_flood(self: Any, now: int, event: Event) -> None:
        handle(self, now, event)
        if not isinstance(event, EvaluationDue):
            return
        for _ in range(150):
            for table in self.fleet.tables:
                for name, weight in list(table.entries.items()):
                    self._runtime.set_weight(table.number, name, weight)

    Controller.handle = handle_and_flood  # type: ignore[method-assign]


if __name__ == "__main__":
    {"1": rule_1, "2": rule_2, "3": rule_3, "4": rule_4, "5": rule_5}[sys.argv.pop(1)]()
    main()
