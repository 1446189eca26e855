"""The interval of the periodic evaluation, at which health, load and admission are judged."""

from __future__ import annotations

from ..ticks import TICKS_PER_SECOND

EVALUATION_INTERVAL_TICKS = TICKS_PER_SECOND // 2
