"""The orders of the decision module as state: what each joined proxy is to hold, message by message.

Here the orders of one moment become one message for each proxy concerned.  A message carries the whole of
what its proxy is to hold as of that moment, not later: what is ordered afterwards has a turn of its own.
Tables are copied when they change, so that all messages of a moment share them.  No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings


class TableState:
    """A table as of one moment.  It is not changed once a message has taken it up."""

    def __init__(self, number: int, lines: dict[str, float], levels: dict[int, tuple[int, float]]) -> None:
        self.number, self.lines, self.levels = number, lines, levels
        self.shared = False
        self.serial = 0  # the same for the same content; set when a message takes it up
        self.bodies: dict[object, bytes] = {}  # as encoded, by what else shows in it

    def copy(self) -> TableState:
        return TableState(self.number, dict(self.lines), dict(self.levels))


@dataclass(slots=True)
class ProxyView:
    """What one proxy is to hold: by route its table, and the hosts withdrawn from all that it holds."""

    bound: dict[int, TableState]
    excluded: Mapping[str, None]
    levels: Mapping[int, tuple[int, float]]  # for all tables
    is_sent_away: bool = False  # it is to follow another director
    serial: int = 0  # of what is withdrawn, and of the levels for all


@dataclass(slots=True)
class UpdateMessage:
    number: int  # rises through the director's life
    mark: int  # -1: none is asked for
    proxy: int
    lines: int  # with its head
    ordered: int
    view: ProxyView


@dataclass(slots=True)
class ConnectedProxy:
    """A joined proxy."""

    zone: str
    rate_per_second: float  # usual calls a second
    held: dict[int, frozenset[str]]  # by route: the hosts that it held when it joined
    bound: dict[int, int] = field(default_factory=dict)
    owed: int = 0  # lines of this moment
    is_sent_away: bool = False


class ProxyStateBook:
    """The decision module's host for orders to proxies; `out` takes each message."""

    def __init__(self, settings: DeploymentSettings, out: Callable[[UpdateMessage], None]) -> None:
        self._head = int(settings.channel.message_overhead_entries)
        self._out = out
        self.proxies: dict[int, ConnectedProxy] = {}
        self.tables: dict[int, TableState] = {}
        self._withdrawn: dict[str, None] = {}
        self._levels: dict[int, tuple[int, float]] = {}
        self._frozen = False  # the two above are in messages and must be copied before a change
        self._touched: dict[int, None] = {}
        self._mark = -1
        self.message_count = 0
        self._serials = count(1)
        self._serial = 0

    # Members.

    def add_proxy(self, proxy: int, zone: str, held: dict[int, frozenset[str]], rate: float = 0.0) -> None:
        self.proxies[proxy] = ConnectedProxy(zone, rate, held)

    def remove_proxy(self, proxy: int) -> None:
        self.proxies.pop(proxy, None)
        self._touched.pop(proxy, None)

    # Orders.

    def set_weight(self, table: int, host: str, weight: float) -> None:
        state = self._own(table)
        state.lines.pop(host, None)
        if weight > 0:
            state.lines[host] = weight
        self._charge(self.users(table), 1)

    def clear_table(self, table: int) -> None:
        state = self._own(table)
        state.lines.clear()
        state.levels.clear()
        self._charge(self.users(table), 1)

    def exclude_endpoint(self, endpoint: str) -> None:
        self._thaw()
        self._withdrawn[endpoint] = None
        self._charge_holders(endpoint)

    def readmit_endpoint(self, endpoint: str) -> None:
        self._thaw()
        self._withdrawn.pop(endpoint, None)
        self._charge_holders(endpoint)

    def _charge_holders(self, host: str) -> None:
        self._charge([proxy for proxy, member in self.proxies.items() if self.holds(member, host)], 1)

    def forget_endpoint(self, endpoint: str) -> None:
        """A proxy's own files may still name it: what was withdrawn stays so in every message."""

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        member = self.proxies.get(proxy)
        if member is None:
            return
        state = self.tables.setdefault(table, TableState(table, {}, {}))
        for route in routes:
            member.bound[route] = table
        out = sum(host in self._withdrawn for host in state.lines)
        self._charge([proxy], 1 + len(state.lines) + len(state.levels) + len(self._levels) + out)

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Never ordered, nor is the next: a message here holds the whole of what its proxy is to do."""

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None: ...

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        state = self._own(table)
        state.levels[route] = (admission.retries, admission.limit)
        self._charge(self.users(table), 1)

    def send_away(self, proxy: int) -> None:
        """The proxy is told, in one line, to follow another director."""
        member = self.proxies.get(proxy)
        if member is not None and not member.is_sent_away:
            member.is_sent_away = True
            self._charge([proxy], 1)

    def send_sync_marker(self, marker: int) -> None:
        self._mark = marker

    def flush(self, now: int) -> None:
        """Hands out the messages of the moment, in the order in which proxies were first concerned."""
        for proxy in self._touched:
            member = self.proxies[proxy]
            bound = {route: self.tables[table] for route, table in member.bound.items()}
            for state in bound.values():
                if not state.shared:
                    state.shared, state.serial = True, next(self._serials)
            number = self.next_number()
            lines = member.owed + self._head + (self._mark >= 0)
            view = ProxyView(bound, self._withdrawn, self._levels, member.is_sent_away, self._serial)
            member.owed, self._frozen = 0, True
            self._out(UpdateMessage(number, self._mark, proxy, lines, now, view))
        self._touched.clear()
        self._mark = -1

    def next_number(self) -> int:
        """For a message that is sent once more under a number of its own."""
        self.message_count += 1
        return self.message_count

    # What is held.

    def users(self, table: int) -> list[int]:
        return [proxy for proxy, member in self.proxies.items() if table in member.bound.values()]

    def holds(self, member: ConnectedProxy, host: str) -> bool:
        """Whether a line for this host stands in anything that the proxy uses."""
        if any(host in self.tables[table].lines for table in member.bound.values()):
            return True
        return any(host in hosts for route, hosts in member.held.items() if route not in member.bound)

    def _charge(self, proxies: list[int], lines: int) -> None:
        for proxy in proxies:
            self.proxies[proxy].owed += lines
            self._touched[proxy] = None

    def _own(self, table: int) -> TableState:
        """The table, as one that may be changed."""
        state = self.tables.get(table)
        if state is None or state.shared:
            state = self.tables[table] = state.copy() if state else TableState(table, {}, {})
        state.bodies.clear()
        return state

    def _thaw(self) -> None:
        self._serial = next(self._serials)
        if self._frozen:
            self._withdrawn, self._levels, self._frozen = dict(self._withdrawn), dict(self._levels), False
