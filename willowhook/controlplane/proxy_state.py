"""The desired state of each proxy, to which the controller's commands are applied.

The commands between two flushes reach each affected proxy as one message, which carries the complete desired
state of the proxy as of that flush. A table that a message refers to is copied before it changes, so all
messages of a flush share it. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import count

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings
from ..decisions.update_cost import SYNC_MARKER_ENTRIES, UPDATE_ENTRIES, bind_cost, message_overhead

UNVERSIONED = 0  # the version of a table that no message refers to yet


class VersionedTable:
    """The content of one endpoint table, immutable once a message refers to it.

    Attributes:
        number: the number by which commands name the table.
        weights: the weights of the endpoints that have an entry.
        limits: the admission limits by route index.
        is_shared: whether a message refers to it.
        version: the version of the content; `UNVERSIONED` until a message refers to it.
        encoded: a cache of the encoded table, keyed by the other values that the encoding depends on.
    """

    __slots__ = ("encoded", "is_shared", "limits", "number", "version", "weights")

    def __init__(self, number: int, weights: dict[str, float], limits: dict[int, AdmissionLimit]) -> None:
        """Keeps references to both dictionaries, without copying them."""
        self.number = number
        self.weights = weights
        self.limits = limits
        self.is_shared = False
        self.version = UNVERSIONED
        self.encoded: dict[object, bytes] = {}

    def copy(self) -> VersionedTable:
        """Returns a modifiable copy."""
        return VersionedTable(self.number, dict(self.weights), dict(self.limits))


@dataclass(frozen=True, slots=True)
class ProxyView:
    """The complete desired state of one proxy.

    Attributes:
        bound: its table by route index; missing routes keep the table that the proxy joined with.
        excluded: endpoints that it must not use, even if its tables have entries for them.
        is_sent_away: whether it is to join another controller.
        exclusions_version: the version of `excluded`.
    """

    bound: Mapping[int, VersionedTable]
    excluded: Mapping[str, None]
    is_sent_away: bool = False
    exclusions_version: int = 0


@dataclass(frozen=True, slots=True)
class UpdateMessage:
    """One update for one proxy.

    Attributes:
        number: the message number, which rises over the run of the controller.
        marker: the sync marker whose acknowledgement the controller waits for, if any.
        proxy: the number of the proxy.
        cost_entries: its cost in the channel, in entries, including the message overhead.
        ordered_at: when the controller issued the commands, in ticks.
        view: the desired state of the proxy.
    """

    number: int
    marker: int | None
    proxy: int
    cost_entries: int
    ordered_at: int
    view: ProxyView


@dataclass(slots=True)
class ConnectedProxy:
    """A proxy that has joined, and its desired state.

    Attributes:
        zone: its zone.
        rate_per_second: its usual request rate.
        initial_endpoints: by route index, the endpoints of its tables when it joined.
        bound: by route index, the number of the table that it is bound to.
        pending_entries: the cost of the commands since the last flush, in entries.
        is_sent_away: whether it is to join another controller.
    """

    zone: str
    rate_per_second: float
    initial_endpoints: dict[int, frozenset[str]]
    bound: dict[int, int] = field(default_factory=dict)
    pending_entries: int = 0
    is_sent_away: bool = False


class ProxyStateBook:
    """Keeps the desired state of all joined proxies; implements the proxy commands of `ControllerRuntime`."""

    def __init__(self, settings: DeploymentSettings, send: Callable[[UpdateMessage], None]) -> None:
        """`send` is called with each message of a flush."""
        self._message_overhead = message_overhead(settings.channel)
        self._send = send
        self.proxies: dict[int, ConnectedProxy] = {}
        self.tables: dict[int, VersionedTable] = {}
        self._excluded: dict[str, None] = {}
        self._is_excluded_shared = False  # messages refer to `_excluded`, so it is copied before a change
        self._exclusions_version = 0
        self._changed_proxies: dict[int, None] = {}
        self._marker: int | None = None
        self.message_count = 0
        self._versions = count(UNVERSIONED + 1)

    # Proxies.

    def add_proxy(
        self,
        proxy: int,
        zone: str,
        initial_endpoints: dict[int, frozenset[str]],
        rate_per_second: float = 0.0,
    ) -> None:
        """Adds a proxy that has joined; see `ConnectedProxy` for the arguments."""
        self.proxies[proxy] = ConnectedProxy(zone, rate_per_second, initial_endpoints)

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left, and its commands since the last flush."""
        self.proxies.pop(proxy, None)
        self._changed_proxies.pop(proxy, None)

    # Commands.

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of an endpoint in a table; 0 removes the entry of the endpoint."""
        state = self._table_for_change(table)
        state.weights.pop(endpoint, None)
        if weight > 0:
            state.weights[endpoint] = weight
        self._charge(self._proxies_using(table), UPDATE_ENTRIES)

    def clear_table(self, table: int) -> None:
        """Removes all entries and admission limits of a table."""
        state = self._table_for_change(table)
        state.weights.clear()
        state.limits.clear()
        self._charge(self._proxies_using(table), UPDATE_ENTRIES)

    def exclude_endpoint(self, endpoint: str) -> None:
        """Excludes an endpoint at all proxies that may have an entry for it, regardless of the table."""
        self._prepare_exclusion_change()
        self._excluded[endpoint] = None
        self._charge(self._proxies_holding(endpoint), UPDATE_ENTRIES)

    def readmit_endpoint(self, endpoint: str) -> None:
        """Reverses `exclude_endpoint`."""
        self._prepare_exclusion_change()
        self._excluded.pop(endpoint, None)
        self._charge(self._proxies_holding(endpoint), UPDATE_ENTRIES)

    def forget_endpoint(self, endpoint: str) -> None:
        """Does nothing: a proxy's own files may still name the endpoint, so it stays excluded."""

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Binds a proxy to a table for these routes; does nothing for a proxy that has left."""
        connected = self.proxies.get(proxy)
        if connected is None:
            return
        state = self.tables.setdefault(table, VersionedTable(table, {}, {}))
        for route in routes:
            connected.bound[route] = table
        excluded = sum(endpoint in self._excluded for endpoint in state.weights)
        self._charge([proxy], bind_cost(len(state.weights), len(state.limits), excluded))

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Does nothing: each message here carries the complete state of its proxy."""

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Does nothing: each message here carries the complete state of its proxy."""

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets the admission limit of a route for the proxies that use a table."""
        state = self._table_for_change(table)
        state.limits[route] = admission
        self._charge(self._proxies_using(table), UPDATE_ENTRIES)

    def send_away(self, proxy: int) -> None:
        """Makes a proxy join another controller, at the cost of one entry."""
        connected = self.proxies.get(proxy)
        if connected is not None and not connected.is_sent_away:
            connected.is_sent_away = True
            self._charge([proxy], UPDATE_ENTRIES)

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to each message of this flush."""
        self._marker = marker

    def flush(self, now: int) -> None:
        """Sends one message to each affected proxy, in the order of their first commands."""
        for proxy in self._changed_proxies:
            self._send(self._make_message(proxy, now))
        self._changed_proxies.clear()
        self._marker = None

    def next_message_number(self) -> int:
        """Returns a new message number, also for messages that are sent again."""
        self.message_count += 1
        return self.message_count

    # Message building.

    def _make_message(self, proxy: int, now: int) -> UpdateMessage:
        connected = self.proxies[proxy]
        bound = {route: self.tables[table] for route, table in connected.bound.items()}
        for state in bound.values():
            self._share_table(state)
        self._is_excluded_shared = True
        cost = connected.pending_entries + self._message_overhead
        if self._marker is not None:
            cost += SYNC_MARKER_ENTRIES
        connected.pending_entries = 0
        view = ProxyView(bound, self._excluded, connected.is_sent_away, self._exclusions_version)
        return UpdateMessage(self.next_message_number(), self._marker, proxy, cost, now, view)

    def _share_table(self, state: VersionedTable) -> None:
        if not state.is_shared:
            state.is_shared = True
            state.version = next(self._versions)

    def _table_for_change(self, table: int) -> VersionedTable:
        """Returns the table, copied first if a message refers to it, created if it is new."""
        state = self.tables.get(table)
        if state is None:
            state = self.tables[table] = VersionedTable(table, {}, {})
        elif state.is_shared:
            state = self.tables[table] = state.copy()
        state.encoded.clear()
        return state

    def _prepare_exclusion_change(self) -> None:
        self._exclusions_version = next(self._versions)
        if self._is_excluded_shared:
            self._excluded = dict(self._excluded)
            self._is_excluded_shared = False

    # Cost.

    def _charge(self, proxies: Iterable[int], entries: int) -> None:
        for proxy in proxies:
            self.proxies[proxy].pending_entries += entries
            self._changed_proxies[proxy] = None

    def _proxies_using(self, table: int) -> list[int]:
        return [proxy for proxy, connected in self.proxies.items() if table in connected.bound.values()]

    def _proxies_holding(self, endpoint: str) -> list[int]:
        return [proxy for proxy, connected in self.proxies.items() if self._may_hold(connected, endpoint)]

    def _may_hold(self, connected: ConnectedProxy, endpoint: str) -> bool:
        """Returns whether any table that the proxy uses may have an entry for this endpoint.

        Two other places implement the same rule, and all three must agree on the cost of an exclusion:
        `decisions/exclusions.py` (`holders`) and `platform/proxy_updates.py` (`exclude_endpoint`).
        """
        if any(endpoint in self.tables[table].weights for table in connected.bound.values()):
            return True
        return any(
            endpoint in endpoints
            for route, endpoints in connected.initial_endpoints.items()
            if route not in connected.bound
        )
