"""Converts the controller's commands on tables and proxies into one message per proxy and flush.

The decisions determine the content of each table and which proxy is bound to which table. This module records
what each session has been sent, and thereby what is pending for it: complete tables for newly bound proxies,
changes for the others. It does no I/O and has no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings
from ..decisions.update_cost import message_overhead
from .update_encoder import EncodedParts, UpdateEncoder


@dataclass(slots=True)
class CommandedTable:
    """The content of a table as the controller commanded it, and its changes since the last flush.

    Attributes:
        weights: weight by endpoint, without weights of 0, in the order of the commands.
        admission: admission limit by route.
        routes_by_proxy: the routes for which each bound proxy uses the table.
        changed_weights: changed weight by endpoint; 0 if the entry was removed.
        changed_routes: routes with a new limit, as a dict to keep the order.
    """

    weights: dict[str, float] = field(default_factory=dict)
    admission: dict[int, AdmissionLimit] = field(default_factory=dict)
    routes_by_proxy: dict[int, tuple[int, ...]] = field(default_factory=dict)
    changed_weights: dict[str, float] = field(default_factory=dict)
    changed_routes: dict[int, None] = field(default_factory=dict)

    def holds(self, endpoint: str) -> bool:
        """Whether a proxy that uses the table has an entry for an endpoint after the next flush."""
        return endpoint in self.weights

    def forget_changes(self) -> None:
        """Discards the changes, once they have been sent to all sessions."""
        self.changed_weights.clear()
        self.changed_routes.clear()


@dataclass(slots=True)
class SessionUpdates:
    """What a proxy has been sent in its session, and what is pending for the next flush.

    Attributes:
        may_hold_exclusions: whether other controllers may have excluded endpoints at this proxy.
        table_by_route: the table that the proxy is bound to, by route.
        excluded: endpoints whose exclusion has been sent to the proxy, as a dict to keep the order.
        tables_to_replace: tables that must be sent completely, as a dict to keep the order.
        pending_exclusions: by endpoint: True excludes it, False readmits it.
    """

    may_hold_exclusions: bool
    table_by_route: dict[int, int] = field(default_factory=dict)
    excluded: dict[str, None] = field(default_factory=dict)
    tables_to_replace: dict[int, None] = field(default_factory=dict)
    pending_exclusions: dict[str, bool] = field(default_factory=dict)

    def bound_tables(self) -> list[int]:
        """The tables that the proxy is bound to, each once, in the order in which routes were first bound."""
        return list(dict.fromkeys(self.table_by_route.values()))

    def mark_sent(self) -> None:
        """Records that all pending updates have been sent; they may not have been acknowledged."""
        for endpoint, is_excluded in self.pending_exclusions.items():
            self.excluded.pop(endpoint, None)
            if is_excluded:
                self.excluded[endpoint] = None
        self.tables_to_replace.clear()
        self.pending_exclusions.clear()


@dataclass(slots=True)
class FlushCache:
    """The parts encoded in one flush, so that parts sent to several proxies are encoded once.

    Attributes:
        tables: parts by table, the routes that use it, and whether it is sent completely.
        last_parts: last parts of messages by the exclusions in them.
    """

    tables: dict[tuple[int, tuple[int, ...], bool], EncodedParts] = field(default_factory=dict)
    last_parts: dict[tuple[tuple[str, bool], ...], EncodedParts] = field(default_factory=dict)


SendUpdate = Callable[[int, EncodedParts], None]


class ProxyUpdates:
    """The part of `ControllerRuntime` that concerns tables and proxies.

    Commands for a proxy without a session are ignored: the proxy has left.

    Args:
        settings: the settings of the deployment, which define the names of the routes.
        send: sends a message to a proxy; it may close this or another session.
    """

    def __init__(self, settings: DeploymentSettings, send: SendUpdate) -> None:
        self._encoder = UpdateEncoder(settings)
        self._overhead_entries = message_overhead(settings.channel)
        self._send = send
        self._tables: dict[int, CommandedTable] = {}
        self._sessions: dict[int, SessionUpdates] = {}
        self._excluded: dict[str, None] = {}  # at all proxies, as a dict to keep the order
        self._pending: dict[int, None] = {}  # proxies with pending updates, as a dict to keep the order
        self._sync_marker: int | None = None

    # Sessions.

    def open_session(self, proxy: int, is_fresh: bool) -> None:
        """Starts a session, to which nothing has been sent yet.

        Args:
            proxy: the number of the proxy.
            is_fresh: whether no controller has sent this proxy a table since it started.
        """
        self._sessions[proxy] = SessionUpdates(may_hold_exclusions=not is_fresh)

    def close_session(self, proxy: int) -> None:
        """Discards the state of a session, if there is one."""
        session = self._sessions.pop(proxy, None)
        self._pending.pop(proxy, None)
        if session is None:
            return
        for table in session.bound_tables():
            self._tables[table].routes_by_proxy.pop(proxy, None)

    # Commands; `ControllerRuntime` documents them.

    def set_weight(self, table: int, endpoint: str, weight: float) -> None:
        """Sets the weight of an endpoint in a table; 0 removes its entry."""
        commanded = self._get_or_create_table(table)
        commanded.weights.pop(endpoint, None)  # an endpoint that is set again moves to the end of the table
        if weight > 0:
            commanded.weights[endpoint] = weight
        commanded.changed_weights[endpoint] = weight
        self._mark_users_pending(commanded)

    def clear_table(self, table: int) -> None:
        """Removes all entries and limits of a table."""
        commanded = self._get_or_create_table(table)
        commanded.weights.clear()
        commanded.admission.clear()
        for proxy in commanded.routes_by_proxy:
            self._sessions[proxy].tables_to_replace[table] = None
        self._mark_users_pending(commanded)

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        """Makes a proxy use a table for these routes, in place of the table that it used before."""
        session = self._sessions.get(proxy)
        if session is None:
            return
        self._get_or_create_table(table)
        affected_tables = [*session.bound_tables(), table]
        for route in routes:
            session.table_by_route[route] = table
        for affected in affected_tables:
            self._update_table_users(affected, proxy, session)
        session.tables_to_replace[table] = None
        self._pending[proxy] = None

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        """Sets the admission limit of a route for the proxies that use a table."""
        commanded = self._get_or_create_table(table)
        commanded.admission[route] = admission
        commanded.changed_routes[route] = None
        self._mark_users_pending(commanded)

    def exclude_endpoint(self, endpoint: str) -> None:
        """Excludes an endpoint at all proxies that may hold an entry for it."""
        self._excluded[endpoint] = None
        holding_tables = [table for table in self._tables.values() if table.holds(endpoint)]
        for proxy, session in self._sessions.items():
            is_unbound = not session.table_by_route  # it uses a default table of unknown content
            if is_unbound or any(proxy in table.routes_by_proxy for table in holding_tables):
                session.pending_exclusions[endpoint] = True
                self._pending[proxy] = None

    def readmit_endpoint(self, endpoint: str) -> None:
        """Revokes `exclude_endpoint` at all proxies where any controller may have excluded the endpoint."""
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
        """Discards the exclusion of an endpoint that neither a list nor a table names any more."""
        self._excluded.pop(endpoint, None)
        for session in self._sessions.values():
            session.excluded.pop(endpoint, None)

    def send_sync_marker(self, marker: int) -> None:
        """Adds a marker to each message of this flush."""
        self._sync_marker = marker

    # The end of a batch.

    def flush(self) -> dict[int, int]:
        """Sends one message to each proxy that is affected by the commands since the last flush.

        Returns the entries that the platform counts for each message, by proxy.
        """
        cache = FlushCache()
        sent_entries: dict[int, int] = {}
        for proxy in list(self._pending):
            session = self._sessions.get(proxy)
            if session is None:
                continue  # the session was closed while a message was sent to another proxy
            entry_count = self._send_pending(proxy, session, cache)
            if entry_count is not None:
                sent_entries[proxy] = self._overhead_entries + entry_count
        for table in self._tables.values():
            table.forget_changes()
        self._pending.clear()
        self._sync_marker = None
        return sent_entries

    def _send_pending(self, proxy: int, session: SessionUpdates, cache: FlushCache) -> int | None:
        """Sends the pending updates of a session; returns their entries, or None if there are none."""
        frames: list[bytes] = []
        entry_count = 0
        for table in session.bound_tables():
            parts = self._encode_table(table, proxy, session, cache)
            frames += parts.frames
            entry_count += parts.entry_count
        if not frames and not session.pending_exclusions and self._sync_marker is None:
            return None
        last_part = self._encode_last_part(session, cache)
        entry_count += last_part.entry_count
        self._send(proxy, EncodedParts(frames + last_part.frames, entry_count))
        session.mark_sent()
        return entry_count

    def _encode_table(
        self, table: int, proxy: int, session: SessionUpdates, cache: FlushCache
    ) -> EncodedParts:
        """Encodes the pending changes of a table, or all of it.

        With a complete table, the exclusions of its endpoints become pending as well.
        """
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

    # Helpers of the commands.

    def _get_or_create_table(self, table: int) -> CommandedTable:
        commanded = self._tables.get(table)
        if commanded is None:
            commanded = self._tables[table] = CommandedTable()
        return commanded

    def _mark_users_pending(self, commanded: CommandedTable) -> None:
        self._pending.update(dict.fromkeys(commanded.routes_by_proxy))

    def _update_table_users(self, table: int, proxy: int, session: SessionUpdates) -> None:
        """Records which routes of a proxy use a table. If none does, it is no longer sent to the proxy."""
        routes = tuple(
            route for route, used_table in sorted(session.table_by_route.items()) if used_table == table
        )
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
