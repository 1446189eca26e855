"""The wire's values: seconds as text, tenths of a millisecond inside."""

from __future__ import annotations

PER_S = 10_000


def ticks(seconds: str | float) -> int:
    """Seconds to whole tenths of a millisecond."""
    return round(float(seconds) * PER_S)


def seconds(count: int) -> str:
    """Whole tenths of a millisecond to seconds, exactly."""
    whole, part = divmod(count, PER_S)
    return f"{whole}.{part:04d}"


def number(value: float) -> str:
    """A weight or a level, without an exponent."""
    text = f"{value:.6f}".rstrip("0").rstrip(".")
    return text if text else "0"


def load_report(text: str) -> dict[str, float]:
    """`busy:0.62,q:3` as a dict; what has no number is left out."""
    report: dict[str, float] = {}
    if text != "-":
        for pair in text.split(","):
            name, _, value = pair.partition(":")
            if value and value != "-":
                report[name] = float(value)
    return report
