"""The fields of what proxies and collectors say, checked one by one, as the values of a decision's call.

Every method takes a decoded message and gives the values that the decision module is called with: times in
tenths of a millisecond, ids as they came.  Each raises Spoilt, naming the field, on what is missing, of
another type, out of range or unknown.
"""

from __future__ import annotations

from ..decisions.events import EndpointReport, MessageAcknowledged, ProxyJoined, RequestReport
from ..decisions.settings import DeploymentSettings
from .framing import Fields, Spoilt

# What a message can hold at most, to keep a spoilt figure from passing as one: a mark is two bytes, by the
# orders; a report tells of a second or so, at proxies that pass some hundreds of calls a second.
MARKS, CALLS, SPAN_MS, RATE = 1 << 16, 100_000, 600_000.0, 1e6
NOISE = 2.0  # a mean of answered tries lies under the longest time limit, but for the noise of a report
# The words of load reports: those of the settings, which the module reads, and those of the protocol's page.
LOAD_WORDS = {
    "busy": ("busy", 4.0), "q": ("q", 1e6), "rif": ("rif", 1e6), "lat_ms": ("lat_ms", 6e5),
    "rate": ("rate", 1e6), "fail_rate": ("fail_rate", 1e6),
    "util": ("busy", 4.0), "queue": ("q", 1e6), "inflight": ("rif", 1e6), "latency_ms": ("lat_ms", 6e5),
    "qps": ("rate", 1e6), "eps": ("fail_rate", 1e6),
}  # fmt: skip


def whole(message: Fields, key: str, most: int) -> int:
    value = message.get(key)
    if type(value) is not int or not 0 <= value <= most:
        raise Spoilt(key)
    return value


def figure(message: Fields, key: str, most: float) -> float:
    value = message.get(key)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise Spoilt(key)
    if not 0 <= value <= most:  # so it is finite, and a number
        raise Spoilt(key)
    return float(value)


def word(message: Fields, key: str) -> str:
    value = message.get(key)
    if type(value) is not str or not 0 < len(value) <= 200:
        raise Spoilt(key)
    return value


def ticks(ms: float) -> int:
    return round(ms * 10)


class Reader:
    def __init__(self, settings: DeploymentSettings) -> None:
        self._zones, self._last = frozenset(settings.zones), settings.fleet.proxy_count - 1
        self._routes = frozenset(route.name for route in settings.routes)
        self._slowest = max(route.deadline_ticks for route in settings.routes) / 10 * NOISE

    def zone(self, message: Fields) -> str:
        zone = word(message, "zone")
        if zone not in self._zones:
            raise Spoilt("zone")
        return zone

    def attach(self, message: Fields) -> ProxyJoined:
        """Proxy, zone, usual calls a second, whether it holds no table that was ordered."""
        fresh = message.get("fresh")
        if type(fresh) is not bool:
            raise Spoilt("fresh")
        proxy, rate = whole(message, "proxy", self._last), figure(message, "weight", RATE)
        return ProxyJoined(proxy, self.zone(message), rate, fresh)

    def done(self, message: Fields, proxy: int) -> MessageAcknowledged:
        """Mark and the time that it took."""
        mark = whole(message, "mark", MARKS - 1)
        figure(message, "took_ms", SPAN_MS)
        return MessageAcknowledged(proxy, mark)

    def upstream(self, message: Fields) -> EndpointReport:
        """Host, zone, tries, dropped among them, mean time of the others, span, load."""
        name = word(message, "server")
        self.zone(message)
        tries = whole(message, "tries", CALLS)
        failed = whole(message, "failed", tries)
        mean = figure(message, "mean_ms", self._slowest)
        self._span(message)
        return EndpointReport(name, tries, failed, ticks(mean), self._load(message).get("busy"))

    def client(self, message: Fields) -> RequestReport:
        """Proxy, route, calls that reached it, dropped after they were let in, span."""
        proxy, route = whole(message, "proxy", self._last), word(message, "class")
        if route not in self._routes:
            raise Spoilt("class")
        # a call that failed may have come in an earlier span
        calls = whole(message, "tries", CALLS)
        whole(message, "failed", CALLS)
        return RequestReport(proxy, route, calls, self._span(message))

    def _span(self, message: Fields) -> int:
        span = figure(message, "span_ms", SPAN_MS)
        if span <= 0:
            raise Spoilt("span_ms")
        return ticks(span)

    def _load(self, message: Fields) -> dict[str, float]:
        load = message.get("load")
        if load is None:
            return {}
        if type(load) is not dict:
            raise Spoilt("load")
        told = [(word, LOAD_WORDS[word]) for word in load if word in LOAD_WORDS]
        return {ours: figure(load, word, most) for word, (ours, most) in told}
