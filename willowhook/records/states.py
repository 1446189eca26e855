"""Who runs what, by a director's own record: the last it knew of each proxy, what was refused, and why."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ..ticks import TICKS_PER_SECOND


@dataclass
class Known:
    """Of one proxy."""

    term: int = 0
    here: bool = False
    parts: dict[str, tuple[str, str, int]] = field(default_factory=dict)  # state, version, since when
    refused: list[tuple[int, str, str]] = field(default_factory=list)  # when, what, why


@dataclass
class ProxyStates:
    proxies: dict[str, Known] = field(default_factory=dict)
    stops: list[dict[str, Any]] = field(default_factory=list)
    last: int = 0

    def add(self, row: dict[str, Any]) -> None:
        self.last = max(self.last, row["t"])
        kind, name = row["kind"], row.get("proxy", "")
        if kind == "started":
            for known in self.proxies.values():
                known.here, known.parts = False, {}
        elif kind == "joined":
            known = self.proxies.setdefault(name, Known())
            known.here, known.term, known.parts = True, row["term"], {}
        elif kind == "left" and name in self.proxies:
            self.proxies[name].here = False
        elif kind == "belief":
            known = self.proxies.setdefault(name, Known())
            known.parts[row["part"]] = (row["state"], row["version"], row["t"])
        elif kind == "refused":
            known = self.proxies.setdefault(name, Known())
            known.refused.append((row["t"], f"{row['form']} {row.get('what', '')}".strip(), row["cause"]))
            del known.refused[:-5]
        elif kind in ("halted", "rollback", "released"):
            self.stops.append(row)

    def lines(self, which: str = "") -> list[str]:
        """For people: all in sum, or one proxy in full."""
        if which:
            return self._one(which)
        here = {name: known for name, known in self.proxies.items() if known.here}
        counts = Counter(f"{part} {row[0]}" for known in here.values() for part, row in known.parts.items())
        shown = ", ".join(f"{count} {what}" for what, count in sorted(counts.items()))
        found = [f"{len(here)} proxies are here: {shown}"]
        for name, known in sorted(here.items()):
            for part, (state, version, since) in sorted(known.parts.items()):
                old = (self.last - since) / TICKS_PER_SECOND
                if state in ("refused", "lost") or (state == "sent" and old > 2):
                    why = known.refused[-1][2] if state == "refused" and known.refused else ""
                    told = version or "not certain"
                    found.append(f"  {name}: {part} {state} for {old:.1f} s, version {told} {why}".rstrip())
        for row in self.stops[-10:]:
            ago = (self.last - row["t"]) / TICKS_PER_SECOND
            what = {"halted": "stopped", "rollback": "taken back", "released": "released to all"}[row["kind"]]
            rest = f": {row['why']}" if "why" in row else ""
            rest += f" at {row['readers']} proxies" if "readers" in row else ""
            found.append(f"  {ago:.1f} s ago {row['unit']} {what}{rest}")
        return found

    def _one(self, name: str) -> list[str]:
        known = self.proxies.get(name)
        if known is None:
            return [f"{name}: no record of it"]
        found = [f"{name}: {'here' if known.here else 'has left'}, term {known.term}"]
        for part, (state, version, since) in sorted(known.parts.items()):
            old = (self.last - since) / TICKS_PER_SECOND
            found.append(f"  {part} {state} for {old:.1f} s, version {version or 'not certain'}")
        for t, what, why in known.refused:
            ago = (self.last - t) / TICKS_PER_SECOND
            found.append(f"  refused {ago:.1f} s before the end of the record: {what}: {why}")
        return found
