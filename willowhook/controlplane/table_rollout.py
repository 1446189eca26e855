"""Staged rollout of tables: a content that was halted, or may go only to canaries yet, is replaced.

It is replaced by the last content that was good everywhere. `willowhook.versions.rollout` decides; here its
decisions are applied to messages, and proxies that were sent a replacement are sent their state again.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import NamedTuple

from ..config.terms import RolloutTerms
from ..decisions.settings import ChannelSettings
from ..decisions.update_cost import message_overhead
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

MAX_KEPT_TABLES = 400  # contents that a rollback may return to
MAX_REJECTED_RESOURCES = 1000


def table_unit(number: int) -> Unit:
    """Returns the rollout unit of the controller's table of this number."""
    return ("t", number)


def rollout_settings(terms: RolloutTerms) -> RolloutSettings:
    """Returns the settings of the rollout from those of the configuration."""
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
    """Returns the number of the table that is this rollout unit."""
    assert isinstance(unit, tuple)
    number = unit[1]
    assert isinstance(number, int)
    return number


class StagedMessage(NamedTuple):
    """A message with tables that its proxy may have now, and which contents these are."""

    message: UpdateMessage
    contents: Contents


class TableRollout:
    """Chooses the tables of each message, and sends proxies their state again when a choice changes."""

    def __init__(
        self,
        context: PublisherContext,
        settings: RolloutSettings,
        channel_settings: ChannelSettings,
        queue: UpdateQueue,
        wake: Callable[[], None],
    ) -> None:
        """`queue` receives what is sent again; `wake` is called when there is something to send."""
        self.rollout = Rollout(settings, self)
        self._message_overhead = message_overhead(channel_settings)
        self._queue = queue
        self._wake = wake
        self._sessions = context.sessions
        self._listener = context.listener
        self._records = context.records
        self._log = context.log
        self._tables: dict[Content, VersionedTable] = {}  # that a rollback may return to
        self._rejected: dict[tuple[Unit, Content], Resource] = {}
        self._resend: dict[int, None] = {}  # proxies that are to be sent their state again

    # Choice.

    def choose(self, now: int, session: PublisherSession, message: UpdateMessage) -> StagedMessage:
        """Replaces the tables of a message that its proxy may not have now."""
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
            substitute = self._make_usable(self._tables[content], table, view)
            if substitute is not None:
                return substitute, content
        self._keep(table)
        return table, table.version

    def _keep(self, table: VersionedTable) -> None:
        if table.version in self._tables:
            return
        self._tables[table.version] = table
        if len(self._tables) > MAX_KEPT_TABLES:
            tracks = self.rollout.tracks.values()
            used = {content for track in tracks for content in (*track.contents, track.good)}
            self._tables = {content: kept for content, kept in self._tables.items() if content in used}

    def _make_usable(
        self, good: VersionedTable, new: VersionedTable, view: ProxyView
    ) -> VersionedTable | None:
        """The good content without endpoints that were removed; None if it has none in service.

        The new content may be what brings the endpoints that are left, so it is not kept back then.
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
        """Rolls back the proxies that run a content."""
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
            count = self._ban(resource)
        elif good is not None:
            count = self._resend_to_users(RolloutContent(unit, bad))
        else:
            count = 0
        self._records.record_rolled_back(now, unit, bad, count)
        self._wake()

    def handle_released(self, unit: Unit) -> None:
        """Sends the ordered content to proxies that were sent another one."""
        self._records.record_released(self._listener.now(), unit)
        for session in self._sessions.by_number.values():
            if session.is_substituted:
                self._resend[session.number] = None
        self._wake()

    def _ban(self, resource: Resource) -> int:
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
        """Whether proxies wait to be sent their state again."""
        return bool(self._resend)

    def remove_proxy(self, proxy: int) -> None:
        """Forgets a proxy that has left."""
        self.rollout.remove_proxy(proxy)
        self._resend.pop(proxy, None)

    def queue_resends(self, now: int) -> None:
        """Queues resends as long as the queue is low."""
        for proxy in list(self._resend):
            if not self._queue.has_room_for_resends:
                return
            del self._resend[proxy]
            session = self._sessions.by_number.get(proxy)
            if session is not None and session.newest is not None:
                self._queue.put_newest_again(now, session, self._resend_cost(session.newest.view))

    def _resend_cost(self, view: ProxyView) -> int:
        entries = {table.number: len(table.weights) for table in view.bound.values()}
        return self._message_overhead + sum(entries.values())

    # Answers of proxies.

    def record_sent(self, now: int, proxy: int, contents: Contents) -> None:
        """Notes that contents go out to a proxy."""
        for unit, content in contents:
            self.rollout.record_offered(now, proxy, unit, content)

    def record_acknowledged(self, now: int, proxy: int, contents: Contents) -> None:
        """Notes that a proxy has applied contents."""
        for unit, content in contents:
            self.rollout.record_acknowledged(now, proxy, unit, content)

    def record_rejected(self, now: int, proxy: int, contents: Contents, cause: str) -> None:
        """Notes that a proxy has rejected contents."""
        for unit, content in contents:
            self.rollout.record_rejected(now, proxy, unit, content, cause)

    def record_resource_acknowledged(self, now: int, proxy: int, resource: Resource) -> None:
        """Notes that a proxy has applied a cluster or a route set, which is a unit by itself."""
        unit = (resource.kind, resource.name)
        self.rollout.record_offered(now, proxy, unit, resource.version)
        self.rollout.record_acknowledged(now, proxy, unit, resource.version)

    def record_resource_rejected(self, now: int, proxy: int, resource: Resource, cause: str) -> None:
        """Notes that a proxy has rejected a cluster or a route set, which is a unit by itself."""
        unit = (resource.kind, resource.name)
        self._rejected[unit, resource.version] = resource
        if len(self._rejected) > MAX_REJECTED_RESOURCES:
            del self._rejected[next(iter(self._rejected))]
        self.rollout.record_offered(now, proxy, unit, resource.version)
        self.rollout.record_rejected(now, proxy, unit, resource.version, cause)
