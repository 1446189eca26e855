"""Handles the answers of proxies to update messages: acknowledgements and rejections."""

from __future__ import annotations

from ..versions.resources import TABLES, Resource, ResourceSet
from .proxy_session import PublisherSession
from .publisher_context import PublisherContext
from .publisher_records import MAX_CAUSE_LENGTH
from .table_rollout import TableRollout, table_number
from .update_validator import UpdateValidator


class Acknowledgements:
    """Tracks acknowledgements and rejections of proxies; those of proxies that have left are ignored."""

    def __init__(self, context: PublisherContext, validator: UpdateValidator, rollout: TableRollout) -> None:
        """The validator and the rollout are notified of each answer."""
        self._epoch = context.epoch
        self._renderer = context.renderer
        self._sessions = context.sessions
        self._listener = context.listener
        self._records = context.records
        self._log = context.log
        self._validator = validator
        self._rollout = rollout

    def handle_acknowledged(self, now: int, proxy: int, number: int) -> None:
        """Records that a proxy has applied all messages up to this number.

        If the last of them carried a sync marker, the listener is notified of it.
        """
        session = self._sessions.by_number.get(proxy)
        if session is None:
            return
        session.acknowledged = max(session.acknowledged, number)
        if not session.uses_discovery and number >= session.written:
            version = f"{session.term}.{self._epoch}.{number}"
            self.record_known_version(session, "group", version, "acknowledged")
        self._acknowledge_contents(now, session, number)
        applied = [pending for pending in session.pending if pending.message <= number]
        if not applied:
            return
        del session.pending[: len(applied)]
        self._validator.update(self._validator.validation.record_acknowledged, proxy, number)
        last = applied[-1]
        self._records.record_acknowledged(now, session, number, last.ordered_at)
        if last.marker is not None:
            self._listener.handle_acknowledged(now, proxy, last.marker)

    def _acknowledge_contents(self, now: int, session: PublisherSession, number: int) -> None:
        """Records the applied contents and drops them, except those of the newest message, still in use."""
        for message in [message for message in session.contents if message <= number]:
            contents = session.contents[message]
            if message != next(reversed(session.contents)):
                del session.contents[message]
            self._rollout.record_acknowledged(now, session.number, contents)

    def handle_group_rejected(self, now: int, proxy: int, kind: str, number: int, cause: str) -> None:
        """Records that a proxy has rejected the files of a message; they are not written again."""
        session = self._sessions.by_number.get(proxy)
        if session is None:
            return
        self._report_rejection(now, session, kind, f"message {number}", cause)
        if number >= session.written:
            session.rewrite = None
            self.record_known_version(session, "group", "", "refused")
        if kind == TABLES:
            self._rollout.record_rejected(now, proxy, session.contents.get(number, ()), cause)

    def handle_resource_rejected(self, now: int, proxy: int, resource: Resource, cause: str) -> None:
        """Records that a proxy has rejected one resource; it is not offered to the proxy again."""
        session = self._sessions.by_number.get(proxy)
        if session is None:
            return
        self._report_rejection(now, session, resource.kind, f"{resource.name} at {resource.version}", cause)
        if resource.kind == TABLES:
            name_of = self._renderer.table_name
            contents = session.newest_contents
            rejected = [each for each in contents if name_of(table_number(each.unit)) == resource.name]
            self._rollout.record_rejected(now, proxy, tuple(rejected), cause)
        else:
            self._rollout.record_resource_rejected(now, proxy, resource, cause)

    def handle_part_acknowledged(self, now: int, proxy: int, resources: ResourceSet) -> None:
        """Records that a proxy that uses the xDS discovery server has applied all resources of one type."""
        if resources.kind != TABLES:
            for resource in resources.resources.values():
                self._rollout.record_resource_acknowledged(now, proxy, resource)

    def record_known_version(self, session: PublisherSession, part: str, version: str, state: str) -> None:
        """Records the version that a proxy is known to run; empty if it is uncertain."""
        self._listener.record_known_version(session.name, part, version)
        self._records.record_known_version(self._listener.now(), session, part, version, state)

    def _report_rejection(
        self, now: int, session: PublisherSession, kind: str, what: str, cause: str
    ) -> None:
        self._log.warning(
            "update rejected by proxy",
            proxy=session.name,
            resource_type=kind,
            update=what,
            cause=cause[:MAX_CAUSE_LENGTH],
        )
        self._records.record_rejected(now, session, kind, what, cause)
