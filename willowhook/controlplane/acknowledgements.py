"""What proxies say of the messages that they got: applied, or rejected."""

from __future__ import annotations

from typing import Any

from ..records.writer import Records
from ..versions.core import Part, Resource
from ..versions.desk import TABLES
from .proxy_session import ProxySession, SessionRegistry
from .publisher_listener import PublisherListener
from .resource_renderer import ResourceRenderer
from .table_rollout import MAX_CAUSE_LENGTH, TableRollout, table_number
from .update_validator import UpdateValidator


class Acknowledgements:
    """Follows acknowledgements and rejections of proxies; proxies that have left are ignored."""

    def __init__(
        self,
        epoch: int,
        renderer: ResourceRenderer,
        sessions: SessionRegistry,
        validator: UpdateValidator,
        rollout: TableRollout,
        listener: PublisherListener,
        records: Records,
        log: Any,
    ) -> None:
        """Validator and rollout are told of each answer; `epoch` is of this run of the controller."""
        self._epoch = epoch
        self._renderer = renderer
        self._sessions = sessions
        self._validator = validator
        self._rollout = rollout
        self._listener = listener
        self._records = records
        self._log = log

    def handle_acknowledged(self, now: int, proxy: int, number: int) -> None:
        """Notes that a proxy has applied all messages up to this number.

        The newest sync marker among them, if the last one carried any, goes to the listener.
        """
        session = self._sessions.by_number.get(proxy)
        if session is None:
            return
        session.acknowledged = max(session.acknowledged, number)
        if not session.is_http and number >= session.written:
            version = f"{session.term}.{self._epoch}.{number}"
            self.record_known_version(session, "group", version, "acknowledged")
        self._acknowledge_contents(now, session, number)
        applied = [pending for pending in session.pending if pending.message <= number]
        if not applied:
            return
        del session.pending[: len(applied)]
        self._validator.update(self._validator.context.record_acknowledged, proxy, number)
        last = applied[-1]
        self._records.note(now, "applied", message=number, proxy=session.name, after=now - last.ordered_at)
        if last.marker is not None:
            self._listener.handle_acknowledged(now, proxy, last.marker)

    def _acknowledge_contents(self, now: int, session: ProxySession, number: int) -> None:
        """Drops the contents that are applied, except those of the newest message, which are still in use."""
        for message in [message for message in session.contents if message <= number]:
            contents = session.contents[message]
            if message != next(reversed(session.contents)):
                del session.contents[message]
            self._rollout.record_acknowledged(now, session.number, contents)

    def handle_group_rejected(self, now: int, proxy: int, kind: str, number: int, cause: str) -> None:
        """Notes that a proxy has rejected the files of a message, which are not written again."""
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
        """Notes that a proxy has rejected one resource, which it is not offered again."""
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

    def handle_part_acknowledged(self, now: int, proxy: int, part: Part) -> None:
        """Notes that a proxy that calls has applied all resources of one type."""
        if part.kind != TABLES:
            for resource in part.rows.values():
                self._rollout.record_resource_acknowledged(now, proxy, resource)

    def record_known_version(self, session: ProxySession, part: str, version: str, state: str) -> None:
        """Records the version that a proxy is known to run; empty if it is not certain."""
        self._listener.record_known_version(session.name, part, version)
        self._records.note(
            self._listener.now(),
            "belief",
            proxy=session.name,
            term=session.term,
            part=part,
            version=version,
            state=state,
        )

    def _report_rejection(self, now: int, session: ProxySession, kind: str, what: str, cause: str) -> None:
        shortened = cause[:MAX_CAUSE_LENGTH]
        self._log.warning(
            "update rejected by proxy",
            proxy=session.name,
            resource_type=kind,
            update=what,
            cause=shortened,
        )
        self._records.note(now, "refused", proxy=session.name, form=kind, what=what, cause=shortened)
