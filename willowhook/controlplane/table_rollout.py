"""Staged rollout of tables: replaces contents that a proxy may not have yet or any more.

A content whose rollout was halted, or is limited to canaries, is replaced by the last content that was good
at all proxies. `willowhook.versions.rollout` makes these decisions. This module applies them to messages, and
resends the state of proxies that got a replacement.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from ..config.terms import RolloutTerms
from ..decisions.settings import ChannelSettings
from ..decisions.update_cost import bind_cost, message_overhead
from ..ticks import ticks_from_milliseconds
from ..versions.resources import Resource
from ..versions.rollout import Rollout, RolloutMode, RolloutSettings
from ..versions.rollout_track import Content, Unit
from .proxy_session import Contents, PublisherSession, RolloutContent
from .proxy_state import ProxyView, UpdateMessage, VersionedTable
from .publisher_context import PublisherContext
from .publisher_records import MAX_CAUSE_LENGTH
from .update_queue import UpdateQueue
from .update_sinks import HttpUpdateSink

MAX_KEPT_TABLES = 400  # contents that a rollback may restore
MAX_REJECTED_RESOURCES = 1000


def table_unit(number: int) -> Unit:
    """Returns the rollout unit of the controller's table with this number."""
    return ("t", number)


def rollout_settings(terms: RolloutTerms) -> RolloutSettings:
    """Converts the rollout section of the configuration to rollout settings."""
    return RolloutSettings(
        mode=RolloutMode(terms.mode),
        max_rejected_fraction=terms.refuse_share,
        min_rejections=terms.refuse_least,
        canary_fraction=terms.canary_share,
        settle_ticks=ticks_from_milliseconds(terms.settle_ms),
        canary_timeout_ticks=ticks_from_milliseconds(terms.patience_ms),
        max_failure_increase=terms.worse_share,
    )


def table_number(unit: Unit) -> int:
    """Returns the table number of a rollout unit that is a table."""
    assert isinstance(unit, tuple)
    number = unit[1]
    assert isinstance(number, int)
    return number


class StagedMessage(NamedTuple):
    """A message whose tables the rollout allows for its proxy, and the contents of these tables."""

    message: UpdateMessage
    contents: Contents


class TableRollout:
    """Chooses the tables of each message, and resends the state of proxies whose choice changes."""

    def __init__(
        self,
        context: PublisherContext,
        settings: RolloutSettings,
        channel_settings: ChannelSettings,
        queue: UpdateQueue,
        wake: Callable[[], None],
    ) -> None:
        """`queue` receives the resends; `wake` is called when there is something to send."""
        self.rollout = Rollout(settings, self)
        self._message_overhead = message_overhead(channel_settings)
        self._queue = queue
        self._wake = wake
        self._sessions = context.sessions
        self._listener = context.listener
        self._records = context.records
        self._log = context.log
        self._tables: dict[Content, VersionedTable] = {}  # that a rollback may restore
        self._rejected: dict[tuple[Unit, Content], Resource] = {}
        self._resend: dict[int, None] = {}  # proxies whose state is to be resent

    # Choice.

    def choose(self, now: int, session: PublisherSession, message: UpdateMessage) -> StagedMessage:
        """Replaces the tables of a message that the rollout does not allow for its proxy."""
        view = message.view
        bound: dict[int, VersionedTable] = {}
        contents: dict[Unit, Content] = {}
        for route, table in view.bound.items():
            bound[route], content = self._choose_table(now, session, table, view)
            contents[table_unit(table.number)] = content
        chosen = tuple(RolloutContent(unit, content) for unit, content in contents.items())
        session.is_substituted = any(bound[route] is not table for route, table in view.bound.items())
        if not session.is_substituted:
            return StagedMessage(message, chosen)
        return StagedMessage(replace(message, view=replace(view, bound=bound)), chosen)

    def _choose_table(
        self, now: int, session: PublisherSession, table: VersionedTable, view: ProxyView
    ) -> tuple[VersionedTable, Content]:
        unit = table_unit(table.number)
        content = self.rollout.choose(now, session.number, unit, table.version)
        if content is not None and content != table.version and content in self._tables:
            substitute = self._without_removed_endpoints(self._tables[content], table, view)
            if substitute is not None:
                return substitute, content
        self._retain(table)
        return table, table.version

    def _retain(self, table: VersionedTable) -> None:
        if table.version in self._tables:
            return
        self._tables[table.version] = table
        if len(self._tables) > MAX_KEPT_TABLES:
            tracks = self.rollout.tracks.values()
            used = {content for track in tracks for content in (*track.contents, track.good)}
            self._tables = {content: kept for content, kept in self._tables.items() if content in used}

    def _without_removed_endpoints(
        self, good: VersionedTable, new: VersionedTable, view: ProxyView
    ) -> VersionedTable | None:
        """Returns the good content without removed endpoints and with the new limits; None if none is usable.

        None lets the new content through, as it may be what adds the usable endpoints.
        """
        is_in_service = self._listener.is_in_service
        listed = [name for name in good.weights if name in new.weights or is_in_service(name)]
        if not any(is_in_service(name) and name not in view.excluded for name in listed):
            return None
        if len(listed) == len(good.weights) and good.limits == new.limits:
            return good
        usable = VersionedTable(good.number, {name: good.weights[name] for name in listed}, new.limits)
        usable.is_shared = True
        return usable

    # The rollout's decisions.

    def handle_halted(self, unit: Unit, bad: Content, good: Content | None, cause: str) -> None:
        """Rolls back the proxies that run the halted content."""
        self._log.warning(
            "rollout halted",
            unit=str(unit),
            content=bad,
            rollback_to=good,
            cause=cause[:MAX_CAUSE_LENGTH],
        )
        now = self._listener.now()
        self._records.record_halted(now, unit, bad, good, cause)
        resource = self._rejected.get((unit, bad))
        if resource is not None:
            count = self._halt_resource(resource)
        elif good is not None:
            count = self._resend_to_users(RolloutContent(unit, bad))
        else:
            count = 0
        self._records.record_rolled_back(now, unit, bad, count)
        self._wake()

    def handle_released(self, unit: Unit) -> None:
        """Sends the commanded content to the proxies that got a replacement."""
        self._records.record_released(self._listener.now(), unit)
        for session in self._sessions.by_number.values():
            if session.is_substituted:
                self._resend[session.number] = None
        self._wake()

    def _halt_resource(self, resource: Resource) -> int:
        sinks = [session.sink for session in self._sessions.by_number.values()]
        return sum(isinstance(sink, HttpUpdateSink) and sink.halt(resource) for sink in sinks)

    def _resend_to_users(self, content: RolloutContent) -> int:
        sessions = self._sessions.by_number.values()
        users = [session.number for session in sessions if content in session.newest_contents]
        self._resend.update(dict.fromkeys(users))
        return len(users)

    # Resends.

    @property
    def has_resends(self) -> bool:
        """Whether any proxies wait for a resend."""
        return bool(self._resend)

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        self.rollout.remove_proxy(proxy)
        self._resend.pop(proxy, None)

    def queue_resends(self, now: int) -> None:
        """Queues waiting resends while the update queue has room for them."""
        for proxy in list(self._resend):
            session = self._sessions.by_number.get(proxy)
            if session is not None and session.newest is not None:
                cost = self._resend_cost(session.newest.view)
                if not (self._queue.has_room_for_resends and self._queue.has_room_for(cost)):
                    return
                self._queue.put_newest_again(now, session, cost)
            del self._resend[proxy]

    def _resend_cost(self, view: ProxyView) -> int:
        """Returns the cost of the complete state of a proxy."""
        tables = {table.number: table for table in view.bound.values()}.values()
        return self._message_overhead + sum(
            bind_cost(
                len(table.weights),
                len(table.limits),
                sum(endpoint in view.excluded for endpoint in table.weights),
            )
            for table in tables
        )

    # Acknowledgements and rejections.

    def record_sent(self, now: int, proxy: int, contents: Contents) -> None:
        """Records that contents were sent to a proxy."""
        for unit, content in contents:
            self.rollout.record_offered(now, proxy, unit, content)

    def record_acknowledged(self, now: int, proxy: int, contents: Contents) -> None:
        """Records that a proxy has applied contents."""
        for unit, content in contents:
            self.rollout.record_acknowledged(now, proxy, unit, content)

    def record_rejected(self, now: int, proxy: int, contents: Contents, cause: str) -> None:
        """Records that a proxy has rejected contents."""
        for unit, content in contents:
            self.rollout.record_rejected(now, proxy, unit, content, cause)

    def record_resource_acknowledged(self, now: int, proxy: int, resource: Resource) -> None:
        """Records that a proxy has applied a cluster or a route set, each of which is a rollout unit."""
        unit = (resource.kind, resource.name)
        self.rollout.record_offered(now, proxy, unit, resource.version)
        self.rollout.record_acknowledged(now, proxy, unit, resource.version)

    def record_resource_rejected(self, now: int, proxy: int, resource: Resource, cause: str) -> None:
        """Records that a proxy has rejected a cluster or a route set, each of which is a rollout unit."""
        unit = (resource.kind, resource.name)
        self._rejected[unit, resource.version] = resource
        if len(self._rejected) > MAX_REJECTED_RESOURCES:
            del self._rejected[next(iter(self._rejected))]
        self.rollout.record_offered(now, proxy, unit, resource.version)
        self.rollout.record_rejected(now, proxy, unit, resource.version, cause)
