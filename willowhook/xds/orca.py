"""ORCA load reports in HTTP headers: `endpoint-load-metrics: TEXT cpu_utilization=0.3,...` or `JSON {}`."""

from __future__ import annotations

import math

import msgspec

HEADER = b"endpoint-load-metrics"
UTILIZATION = "cpu_utilization"
NAMES = {"cpu_utilization": "busy", "rps_fractional": "rate", "eps": "fail_rate", "named_metrics.queue": "q"}


def write(values: dict[str, float]) -> bytes:
    """The native text form; names are ORCA's."""
    return ("TEXT " + ",".join(f"{name}={value:.4f}" for name, value in values.items())).encode()


def read(header: bytes) -> dict[str, float]:
    """Values by ORCA's names; what is no finite number, or no report at all, is left out."""
    form, _, rest = header.decode("latin-1").partition(" ")
    pairs: list[tuple[str, object]] = []
    if form == "TEXT":
        pairs = [
            (name.strip(), value) for name, _, value in (part.partition("=") for part in rest.split(","))
        ]
    elif form == "JSON":
        try:
            top = msgspec.json.decode(rest.encode("latin-1"))
        except msgspec.DecodeError:
            return {}
        for name, value in top.items() if isinstance(top, dict) else ():
            inner = value.items() if isinstance(value, dict) else ()
            pairs += [(f"{name}.{key}", each) for key, each in inner] or [(name, value)]
    found = {}
    for name, value in pairs:
        try:
            number = float(str(value))
        except ValueError:
            continue
        if math.isfinite(number):
            found[name] = number
    return found


def decision_metrics(values: dict[str, float]) -> dict[str, float]:
    """The same by the names that the decisions use."""
    return {NAMES[name]: value for name, value in values.items() if name in NAMES}
