"""Condition of the whole fleet from the latest reports; set by load.py and admission.py."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FleetConditions:
    """Condition of the fleet, from the reports to this controller.

    Attributes:
        pressure: latency divided by the latency objective, plus the share of attempts that fail under
            overload; 0.0 until there are reports.
        success_fraction: share of attempts that succeed; 0.0 until there are reports.
    """

    pressure: float = 0.0
    success_fraction: float = 0.0
