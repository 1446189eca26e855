"""Turns the controller's commands on tables and proxies into one message per proxy and flush.

The decisions own what each table should hold and who is bound to which. This module owns what each session
has been sent, and so what is pending for it: complete tables for those newly bound, changes for the others.
No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings
from .update_encoder import EncodedParts, UpdateEncoder


@dataclass(slots=True)
class CommandedTable:
    """A table as it was commanded, and what has changed in it since the last flush.

    Attributes:
        weights: by endpoint, without those of weight 0; the order is that of the commands.
        admission: limits by route.
        routes_by_proxy: the proxies that are bound to the table, and the routes that each uses it for.
        changed_weights: by endpoint; 0: its entry was taken out.
        changed_routes: routes with a new limit; a dict for its order.
    """

    weights: dict[str, float] = field(default_factory=dict)
    admission: dict[int, AdmissionLimit] = field(default_factory=dict)
    routes_by_proxy: dict[int, tuple[int, ...]] = field(default_factory=dict)
    changed_weights: dict[str, float] = field(default_factory=dict)
    changed_routes: dict[int, None] = field(default_factory=dict)

    def holds(self, endpoint: str) -> bool:
        """Whether a proxy that uses the table may have an entry for an endpoint, or is about to lose it."""
        return endpoint in self.weights or endpoint in self.changed_weights

    def forget_changes(self) -> None:
        """All sessions have been sent the changes."""
        self.changed_weights.clear()
        self.changed_routes.clear()


@dataclass(slots=True)
class SessionUpdates:
    """What a proxy has been sent in its session, and what is pending until the next flush.

    Attributes:
        may_hold_exclusions: whether other controllers may have excluded endpoints at this proxy.
        table_by_route: what it is bound to.
        excluded: endpoints that it was sent to exclude; a dict for its order.
        tables_to_replace: tables that it has to be sent completely; a dict for its order.
        pending_exclusions: by endpoint: True excludes it, False readmits it.
    """

    may_hold_exclusions: bool
    table_by_route: dict[int, int] = field(default_factory=dict)
    excluded: dict[str, None] = field(default_factory=dict)
    tables_to_replace: dict[int, None] = field(default_factory=dict)
    pending_exclusions: dict[str, bool] = field(default_factory=dict)

    def bound_tables(self) -> list[int]:
        """The tables that it is bound to, each once, in the order of its routes."""
        return list(dict.fromkeys(self.table_by_route.values()))

    def mark_sent(self) -> None:
        """All that was pending has been sent."""
        for endpoint, is_excluded in self.pending_exclusions.items():
            self.excluded.pop(endpoint, None)
            if is_excluded:
                self.excluded[endpoint] = None
        self.tables_to_replace.clear()
        self.pending_exclusions.clear()


@dataclass(slots=True)
class FlushCache:
    """Parts that several proxies get in the same flush are encoded once.

    Attributes:
        tables: by table, the routes that use it, and whether it is sent completely.
        last_parts: by the exclusions in them.
    """

    tables: dict[tuple[int, tuple[int, ...], bool], EncodedParts] = field(default_factory=dict)
    last_parts: dict[tuple[tuple[str, bool], ...], EncodedParts] = field(default_factory=dict)


SendUpdate = Callable[[int, EncodedParts], None]


class ProxyUpdates:
    """The part of `ControllerRuntime` that concerns tables and proxies.

    Commands for a proxy without a session are ignored: it has left.

    Args:
        settings: name the routes.
        send: takes each message; it may close this or another session.
    """

    def __init__(self, settings: DeploymentSettings, send: SendUpdate) -> None:
        self._encoder = UpdateEncoder(settings)
        self._send = send
        self._tables: dict[int, CommandedTable] = {}
        self._sessions: dict[int, SessionUpdates] = {}
        self._excluded: dict[str, None] = {}  # at all proxies; a dict for its order
        self._pending: dict[int, None] = {}  # proxies that updates are pending for; a dict for its order
        self._sync_marker: int | None = None

    # Sessions.

    def open_session(self, proxy: int, is_fresh: bool) -> None:
        """Starts a session that has been sent nothing.

        Args:
            proxy: its number.
            is_fresh: whether no controller has sent this proxy a table since it started.
        """
        self._sessions[proxy] = SessionUpdates(may_hold_exclusions=not is_fresh)

    def close_session(self, proxy: int) -> None:
        """Forgets a session, if there is one."""
        session = self._sessions.pop(proxy, None)
        self._pending.pop(proxy, None)
        if session is None:
            return
        for table in session.bound_tables():
            self._tables[table].routes_by_proxy.pop(proxy, None)

    # Commands, as `ControllerRuntime` describes them.

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of an endpoint in a table; 0 takes its entry out."""
        commanded = self._table(table)
        commanded.weights.pop(endpoint, None)  # set again, it goes to the end of the table
        if weight > 0:
            commanded.weights[endpoint] = weight
        commanded.changed_weights[endpoint] = weight
        self._mark_users_pending(commanded)

    def clear_table(self, table: int) -> None:
        """Takes out all entries and limits of a table."""
        commanded = self._table(table)
        commanded.weights.clear()
        commanded.admission.clear()
        for proxy in commanded.routes_by_proxy:
            self._sessions[proxy].tables_to_replace[table] = None
        self._mark_users_pending(commanded)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Makes a proxy use a table for these routes, in place of what it used."""
        session = self._sessions.get(proxy)
        if session is None:
            return
        self._table(table)
        affected_tables = [*session.bound_tables(), table]
        for route in routes:
            session.table_by_route[route] = table
        for affected in affected_tables:
            self._update_users(affected, proxy, session)
        session.tables_to_replace[table] = None
        self._pending[proxy] = None

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets what the proxies that use a table admit of a route."""
        commanded = self._table(table)
        commanded.admission[route] = admission
        commanded.changed_routes[route] = None
        self._mark_users_pending(commanded)

    def exclude_endpoint(self, endpoint: str) -> None:
        """Excludes an endpoint at all proxies that may hold an entry for it."""
        self._excluded[endpoint] = None
        holding_tables = [table for table in self._tables.values() if table.holds(endpoint)]
        for proxy, session in self._sessions.items():
            has_default_table = not session.table_by_route  # of unknown content
            if has_default_table or any(proxy in table.routes_by_proxy for table in holding_tables):
                session.pending_exclusions[endpoint] = True
                self._pending[proxy] = None

    def readmit_endpoint(self, endpoint: str) -> None:
        """Takes `exclude_endpoint` back at all proxies that any controller may have sent it to."""
        self._excluded.pop(endpoint, None)
        for proxy, session in self._sessions.items():
            was_sent = endpoint in session.excluded or endpoint in session.pending_exclusions
            if was_sent or session.may_hold_exclusions:
                session.pending_exclusions[endpoint] = False
                self._pending[proxy] = None

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Excludes endpoints at one proxy, which joined after they were excluded."""
        self._set_exclusions(proxy, endpoints, is_excluded=True)

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        """Readmits endpoints at one proxy, where another controller may have excluded them."""
        self._set_exclusions(proxy, endpoints, is_excluded=False)

    def forget_endpoint(self, endpoint: str) -> None:
        """Forgets the exclusion of an endpoint, which neither a list nor a table names any more."""
        self._excluded.pop(endpoint, None)
        for session in self._sessions.values():
            session.excluded.pop(endpoint, None)

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to each message of this flush."""
        self._sync_marker = marker

    # The end of a batch.

    def flush(self) -> None:
        """Sends one message to each proxy that the commands since the last flush concern."""
        cache = FlushCache()
        for proxy in list(self._pending):
            session = self._sessions.get(proxy)
            if session is None:
                continue  # closed as another one was sent to
            self._send_pending(proxy, session, cache)
        for table in self._tables.values():
            table.forget_changes()
        self._pending.clear()
        self._sync_marker = None

    def _send_pending(self, proxy: int, session: SessionUpdates, cache: FlushCache) -> None:
        frames: list[bytes] = []
        entry_count = 0
        for table in session.bound_tables():
            parts = self._encode_table(table, proxy, session, cache)
            frames += parts.frames
            entry_count += parts.entry_count
        if not frames and not session.pending_exclusions and self._sync_marker is None:
            return
        last_part = self._encode_last_part(session, cache)
        self._send(proxy, EncodedParts(frames + last_part.frames, entry_count + last_part.entry_count))
        session.mark_sent()

    def _encode_table(
        self, table: int, proxy: int, session: SessionUpdates, cache: FlushCache
    ) -> EncodedParts:
        """What a proxy has to be sent of a table; a complete one comes with the exclusions of its entries."""
        commanded = self._tables[table]
        routes = commanded.routes_by_proxy[proxy]
        is_complete = table in session.tables_to_replace
        key = (table, routes, is_complete)
        parts = cache.tables.get(key)
        if parts is None:
            weights = commanded.weights if is_complete else commanded.changed_weights
            sent_routes = (
                routes if is_complete else [route for route in routes if route in commanded.changed_routes]
            )
            limits = {
                route: commanded.admission[route] for route in sent_routes if route in commanded.admission
            }
            parts = self._encoder.encode_table(routes, weights, limits, replaces_table=is_complete)
            cache.tables[key] = parts
        if is_complete:
            for endpoint in commanded.weights:
                if endpoint in self._excluded:
                    session.pending_exclusions[endpoint] = True
        return parts

    def _encode_last_part(self, session: SessionUpdates, cache: FlushCache) -> EncodedParts:
        key = tuple(session.pending_exclusions.items())
        part = cache.last_parts.get(key)
        if part is None:
            part = self._encoder.encode_last_part(session.pending_exclusions, self._sync_marker)
            cache.last_parts[key] = part
        return part

    # Private helpers of the commands.

    def _table(self, table: int) -> CommandedTable:
        commanded = self._tables.get(table)
        if commanded is None:
            commanded = self._tables[table] = CommandedTable()
        return commanded

    def _mark_users_pending(self, commanded: CommandedTable) -> None:
        self._pending.update(dict.fromkeys(commanded.routes_by_proxy))

    def _update_users(self, table: int, proxy: int, session: SessionUpdates) -> None:
        """Notes which routes of a proxy use a table now; if none does, it need not be sent any more."""
        routes = tuple(route for route, used in sorted(session.table_by_route.items()) if used == table)
        if routes:
            self._tables[table].routes_by_proxy[proxy] = routes
        else:
            self._tables[table].routes_by_proxy.pop(proxy, None)
            session.tables_to_replace.pop(table, None)

    def _set_exclusions(self, proxy: int, endpoints: Sequence[str], *, is_excluded: bool) -> None:
        session = self._sessions.get(proxy)
        if session is None:
            return
        session.pending_exclusions.update(dict.fromkeys(endpoints, is_excluded))
        self._pending[proxy] = None
