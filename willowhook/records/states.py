"""The state of each proxy by a controller's event records: its versions, and what it refused and why."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from ..ticks import TICKS_PER_SECOND


@dataclass
class ProxyState:
    """The last recorded state of one proxy.

    Attributes:
        term: the term of its last session.
        is_joined: whether it has a session.
        parts: by part of its resources the state, the version and the time of that record.
        refusals: the time, the part and the cause of its last refusals.
    """

    term: int = 0
    is_joined: bool = False
    parts: dict[str, tuple[str, str, int]] = field(default_factory=dict)
    refusals: list[tuple[int, str, str]] = field(default_factory=list)


@dataclass
class ProxyStates:
    """The state of all proxies.

    Attributes:
        proxies: the state of each proxy by name.
        rollout_events: the records of halted, rolled back and released versions.
        last: the time of the last record.
    """

    proxies: dict[str, ProxyState] = field(default_factory=dict)
    rollout_events: list[dict[str, Any]] = field(default_factory=list)
    last: int = 0

    def add(self, record: dict[str, Any]) -> None:
        """Applies a record; records are added in the order of the file."""
        self.last = max(self.last, record["t"])
        kind, name = record["kind"], record.get("proxy", "")
        if kind == "started":
            for proxy in self.proxies.values():
                proxy.is_joined, proxy.parts = False, {}
        elif kind == "joined":
            proxy = self.proxies.setdefault(name, ProxyState())
            proxy.is_joined, proxy.term, proxy.parts = True, record["term"], {}
        elif kind == "left" and name in self.proxies:
            self.proxies[name].is_joined = False
        elif kind == "belief":
            proxy = self.proxies.setdefault(name, ProxyState())
            proxy.parts[record["part"]] = (record["state"], record["version"], record["t"])
        elif kind == "refused":
            proxy = self.proxies.setdefault(name, ProxyState())
            proxy.refusals.append(
                (record["t"], f"{record['form']} {record.get('what', '')}".strip(), record["cause"])
            )
            del proxy.refusals[:-5]
        elif kind in ("halted", "rollback", "released"):
            self.rollout_events.append(record)

    def lines(self, proxy_name: str = "") -> list[str]:
        """Returns lines to print: a summary of all proxies, or the details of one."""
        if proxy_name:
            return self._proxy_lines(proxy_name)
        joined = {name: proxy for name, proxy in self.proxies.items() if proxy.is_joined}
        counts = Counter(
            f"{part} {entry[0]}" for proxy in joined.values() for part, entry in proxy.parts.items()
        )
        summary = ", ".join(f"{count} {part_state}" for part_state, count in sorted(counts.items()))
        lines = [f"{len(joined)} proxies are here: {summary}"]
        for name, proxy in sorted(joined.items()):
            for part, (state, version, since) in sorted(proxy.parts.items()):
                age_seconds = (self.last - since) / TICKS_PER_SECOND
                if state in ("refused", "lost") or (state == "sent" and age_seconds > 2):
                    cause = proxy.refusals[-1][2] if state == "refused" and proxy.refusals else ""
                    shown_version = version or "not certain"
                    lines.append(
                        f"  {name}: {part} {state} for {age_seconds:.1f} s, "
                        f"version {shown_version} {cause}".rstrip()
                    )
        for event in self.rollout_events[-10:]:
            event_age_seconds = (self.last - event["t"]) / TICKS_PER_SECOND
            action = {"halted": "stopped", "rollback": "taken back", "released": "released to all"}[
                event["kind"]
            ]
            details = f": {event['why']}" if "why" in event else ""
            details += f" at {event['readers']} proxies" if "readers" in event else ""
            lines.append(f"  {event_age_seconds:.1f} s ago {event['unit']} {action}{details}")
        return lines

    def _proxy_lines(self, name: str) -> list[str]:
        proxy = self.proxies.get(name)
        if proxy is None:
            return [f"{name}: no record of it"]
        lines = [f"{name}: {'here' if proxy.is_joined else 'has left'}, term {proxy.term}"]
        for part, (state, version, since) in sorted(proxy.parts.items()):
            age_seconds = (self.last - since) / TICKS_PER_SECOND
            lines.append(f"  {part} {state} for {age_seconds:.1f} s, version {version or 'not certain'}")
        for time, refused_part, cause in proxy.refusals:
            refusal_age_seconds = (self.last - time) / TICKS_PER_SECOND
            lines.append(
                f"  refused {refusal_age_seconds:.1f} s before the end of the record: {refused_part}: {cause}"
            )
        return lines
