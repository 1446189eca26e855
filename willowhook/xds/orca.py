"""ORCA load reports in HTTP headers: `endpoint-load-metrics: TEXT cpu_utilization=0.3,...` or `JSON {}`."""

from __future__ import annotations

import math

import msgspec

HEADER = b"endpoint-load-metrics"
UTILIZATION = "cpu_utilization"
DECISION_NAMES = {
    "cpu_utilization": "busy",
    "rps_fractional": "rate",
    "eps": "fail_rate",
    "named_metrics.queue": "q",
}


def write(values: dict[str, float]) -> bytes:
    """Encodes metrics, by their ORCA names, in ORCA's text format."""
    return ("TEXT " + ",".join(f"{name}={value:.4f}" for name, value in values.items())).encode()


def read(header: bytes) -> dict[str, float]:
    """Returns the metrics of a header by their ORCA names.

    Values that are not finite numbers are left out; a malformed header has no metrics.
    """
    encoding, _, content = header.decode("latin-1").partition(" ")
    pairs: list[tuple[str, object]] = []
    if encoding == "TEXT":
        pairs = [
            (name.strip(), value) for name, _, value in (part.partition("=") for part in content.split(","))
        ]
    elif encoding == "JSON":
        try:
            report = msgspec.json.decode(content.encode("latin-1"))
        except msgspec.DecodeError:
            return {}
        for name, value in report.items() if isinstance(report, dict) else ():
            members = value.items() if isinstance(value, dict) else ()
            pairs += [(f"{name}.{key}", member) for key, member in members] or [(name, value)]
    metrics = {}
    for name, value in pairs:
        try:
            number = float(str(value))
        except ValueError:
            continue
        if math.isfinite(number):
            metrics[name] = number
    return metrics


def decision_metrics(values: dict[str, float]) -> dict[str, float]:
    """Returns the metrics that the decisions use, by the names that they use."""
    return {DECISION_NAMES[name]: value for name, value in values.items() if name in DECISION_NAMES}
