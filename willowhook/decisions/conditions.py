"""What the latest reports say of the fleet as a whole: set by load.py and admission.py, read by others."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class FleetConditions:
    """The state of the fleet, as far as this controller hears of it.

    Attributes:
        pressure: latency over the latency objective, plus the share of attempts that fail under overload;
            0.0 until there are reports.
        success_fraction: the share of attempts that succeed; 0.0 until there are reports.
    """

    pressure: float = 0.0
    success_fraction: float = 0.0
