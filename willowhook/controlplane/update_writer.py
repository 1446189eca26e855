"""Writes messages to where their proxies read, and writes unacknowledged files again."""

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

FIRST_REWRITE_TICKS = 2 * TICKS_PER_SECOND  # files that are not acknowledged by then are written again
MAX_REWRITE_TICKS = 30 * TICKS_PER_SECOND


class UpdateWriter:
    """Puts messages in place for their proxies and notes what went out."""

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
        """Puts a message in place. Returns False if its files cannot be written now.

        True also if the proxy has left meanwhile: the message is nobody's any more.
        """
        place = self._prepare(session, message)
        if not session.uses_discovery:
            self._acknowledgements.record_known_version(session, "group", "", "sent")
        try:
            has_changed = await _run(place, session.sink)
        except OSError as error:
            self._listener.report_condition(
                Condition.FILES_UNWRITABLE,
                True,
                "files cannot be swapped",
                proxy=session.name,
                cause=str(error),
            )
            return False
        self._listener.report_condition(
            Condition.FILES_UNWRITABLE, False, "files can be swapped again", proxy=session.name
        )
        now = self._listener.now()
        self._records.record_written(now, session, message, self._channel.waiting_entries, has_changed)
        # the proxy may have left, or joined again, while the disk worked
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
        # where nothing visible has changed, the answer to what is in place answers this message too
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
            pause = 2 * session.rewrite.backoff_ticks
            session.rewrite = RewriteTimer(now + pause, min(pause, MAX_REWRITE_TICKS))
            try:
                has_written = await trio.to_thread.run_sync(session.sink.prepare_rewrite())
            except OSError:
                continue  # a disk that fails is reported where messages are written
            if has_written:
                self._records.record_rewritten(now, session)


async def _run(place: Callable[[], bool], sink: UpdateSink) -> bool:
    """Calls `place`, in a thread if it may wait for a disk: the loop must not wait."""
    return await trio.to_thread.run_sync(place) if sink.may_block else place()
