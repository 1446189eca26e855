"""Builders for the tests of the platform protocol: messages, list entries, and a plain proxy."""

from __future__ import annotations

from willowhook.platform.fields import Fields
from willowhook.platform.framing import FrameDecoder

MAX_PARTS = 64  # of one message, by the protocol

ATTACH = {"t": "attach", "proxy": 4, "zone": "south", "weight": 21.5, "fresh": True}
DONE = {"t": "done", "proxy": 4, "mark": 905, "took_ms": 310.4}
UPSTREAM_STATS = {
    "t": "upstream_stats",
    "zone": "north",
    "server": "s-1",
    "tries": 212,
    "failed": 3,
    "mean_ms": 41.7,
    "span_ms": 1000.0,
    "load": {"util": 0.61, "queue": 2, "later": "x"},
}
CLIENT_STATS = {"t": "client_stats", "proxy": 4, "class": "read", "tries": 19, "failed": 0, "span_ms": 500.0}


def list_entry(host: str, health: str = "active", **replaced: object) -> Fields:
    """An entry of the endpoint list, as discovery sends it."""
    entry = {
        "host": host,
        "dial": "10.1.0.1:7",
        "site": "north",
        "class": "fast",
        "block": 3,
        "share": 1.0,
        "health": health,
        "born_ms": 1_700_000_000_000.5,
    }
    return {**entry, **replaced}


class ReferenceProxy:
    """A proxy that applies updates exactly as the protocol's specification says."""

    def __init__(self, route_names: list[str]) -> None:
        self.route_names = route_names
        self.tables: dict[str, dict[str, float]] = {name: {} for name in route_names}
        self.admission: dict[str, tuple[int, float]] = {}  # by route: retries and limit
        self.excluded: set[str] = set()
        self.sync_markers: list[int] = []
        self.entry_count = 0

    def apply(self, frames: list[bytes]) -> None:
        parts = list(FrameDecoder().feed(b"".join(frames)))
        assert len(parts) <= MAX_PARTS
        assert all(part.get("part", False) is True for part in parts[:-1])
        assert not parts[-1].get("part", False)
        for part in parts:
            self.apply_part(part)

    def apply_part(self, part: Fields) -> None:
        for name in part.get("for", self.route_names):
            if part.get("replace"):
                self.tables[name] = {}
                self.admission.pop(name, None)
            for host, weight in part.get("rows", ()):
                self.tables[name].pop(host, None)
                if weight:
                    self.tables[name][host] = weight
            if "gate" in part:
                self.admission[name] = (part["again"], part["gate"])
        self.excluded |= set(part.get("drop", ()))
        self.excluded -= set(part.get("undrop", ()))
        if "stamp" in part:
            self.sync_markers.append(part["stamp"])
        listed = [*part.get("rows", ()), *part.get("drop", ()), *part.get("undrop", ())]
        self.entry_count += len(listed) + ("replace" in part) + ("gate" in part) + ("stamp" in part)
