"""Writes messages to the sinks of their proxies, and writes unacknowledged files again."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..ticks import TICKS_PER_SECOND
from .acknowledgements import Acknowledgements
from .channel import RateLimitedChannel
from .proxy_session import Contents, PendingAcknowledgement, PublisherSession, RewriteTimer
from .proxy_state import UpdateMessage
from .publisher_context import PublisherContext
from .publisher_listener import Condition
from .table_rollout import TableRollout
from .update_sinks import UpdateSink
from .update_validator import UpdateValidator

FIRST_REWRITE_TICKS = 2 * TICKS_PER_SECOND  # after which unacknowledged files are written again
MAX_REWRITE_TICKS = 30 * TICKS_PER_SECOND


class UpdateWriter:
    """Writes messages for their proxies and notifies the other components of what was sent."""

    def __init__(
        self,
        context: PublisherContext,
        channel: RateLimitedChannel,
        validator: UpdateValidator,
        rollout: TableRollout,
        acknowledgements: Acknowledgements,
    ) -> None:
        """The validator, the rollout and the acknowledgements are notified of what was written."""
        self._renderer = context.renderer
        self._sessions = context.sessions
        self._listener = context.listener
        self._records = context.records
        self._channel = channel
        self._validator = validator
        self._rollout = rollout
        self._acknowledgements = acknowledgements

    async def write(self, session: PublisherSession, message: UpdateMessage, contents: Contents) -> bool:
        """Writes a message. Returns False if its files cannot be written now.

        Also returns True if the proxy has left meanwhile, as the message then needs no retry.
        """
        publish = self._prepare(session, message)
        if not session.uses_discovery:
            self._acknowledgements.record_known_version(session, "group", "", "sent")
        try:
            has_changed = await _run(publish, session.sink)
        except OSError as error:
            self._listener.report_condition(
                Condition.FILES_UNWRITABLE,
                True,
                "files cannot be written",
                proxy=session.name,
                cause=str(error),
            )
            return False
        self._listener.report_condition(
            Condition.FILES_UNWRITABLE, False, "files can be written again", proxy=session.name
        )
        now = self._listener.now()
        self._records.record_written(now, session, message, self._channel.waiting_entries, has_changed)
        # the proxy may have left, or joined again, while the files were written
        if self._sessions.by_number.get(session.number) is session:
            self._record_sent(now, session, message, contents)
            await self._expect_acknowledgement(now, session, message, has_changed)
        return True

    def _prepare(self, session: PublisherSession, message: UpdateMessage) -> Callable[[], bool]:
        view = message.view
        if view.is_sent_away:
            session.sink.send_away(self._renderer.render_send_away())
        resources = self._renderer.render(view, session.initial)
        return session.sink.prepare(message.number, resources, frozenset(view.excluded))

    def _record_sent(
        self, now: int, session: PublisherSession, message: UpdateMessage, contents: Contents
    ) -> None:
        self._validator.record_sent(now, session, message)
        self._listener.record_sent(session.name, session.term, message.number)
        self._rollout.record_sent(now, session.number, contents)
        session.remember_contents(message.number, contents)

    async def _expect_acknowledgement(
        self, now: int, session: PublisherSession, message: UpdateMessage, has_changed: bool
    ) -> None:
        if has_changed:
            session.written = message.number
            if session.uses_discovery:
                self._channel.hold_until_fetched(session.number, message.cost_entries)
            elif session.rewrite is None:
                session.rewrite = RewriteTimer(now + FIRST_REWRITE_TICKS, FIRST_REWRITE_TICKS)
                self._sessions.mark_unfinished(session)
        # if nothing visible has changed, the acknowledgement of the last written message covers this one
        written = session.written
        session.pending.append(PendingAcknowledgement(written, message.marker, message.ordered_at))
        if not has_changed and session.acknowledged >= written:
            proxy = session.number
            await self._listener.post_event(
                lambda now: self._acknowledgements.handle_acknowledged(now, proxy, written)
            )

    async def rewrite_unacknowledged(self, now: int) -> None:
        """Writes unacknowledged files again: a late rename by another controller may have replaced them."""
        for session in self._sessions.unfinished_sessions():
            if session.rewrite is None or now < session.rewrite.due_at:
                continue
            if session.acknowledged >= session.written:
                session.rewrite = None
                continue
            backoff_ticks = 2 * session.rewrite.backoff_ticks
            session.rewrite = RewriteTimer(now + backoff_ticks, min(backoff_ticks, MAX_REWRITE_TICKS))
            try:
                has_written = await trio.to_thread.run_sync(session.sink.prepare_rewrite())
            except OSError:
                continue  # `write` reports a failing disk
            if has_written:
                self._records.record_rewritten(now, session)


async def _run(publish: Callable[[], bool], sink: UpdateSink) -> bool:
    """Calls `publish`, in a thread if it may wait for a disk, so that the loop is not blocked."""
    return await trio.to_thread.run_sync(publish) if sink.may_block else publish()
