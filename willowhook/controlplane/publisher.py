"""Publishes updates: messages leave the channel in order, are validated, and are written.

`Publisher` connects these components and runs their loop:

- `update_queue`: the update queue and its pacing,
- `table_rollout`: which content of a table may be sent to which proxy,
- `update_validator`: whether a message may be sent now,
- `update_writer`: writes messages, and writes unacknowledged files again,
- `acknowledgements`: handles the answers of proxies.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import ParamSpec

import trio

from ..config.terms import GuardTerms, Terms
from ..decisions.settings import DeploymentSettings
from ..records.writer import RecordWriter
from ..ticks import TICKS_PER_SECOND
from ..versions.resources import Resource, ResourceSet
from ..versions.rollout import Rollout
from .acknowledgements import Acknowledgements
from .channel import RateLimitedChannel
from .condition_log import Logger
from .proxy_session import PublisherSession, SessionRegistry
from .proxy_state import ProxyStateBook, UpdateMessage
from .publisher_context import PublisherContext
from .publisher_listener import PublisherListener
from .publisher_records import PublisherRecords
from .resource_renderer import ResourceRenderer
from .table_rollout import TableRollout, rollout_settings
from .update_queue import UpdateQueue
from .update_validator import UpdateValidator
from .update_writer import UpdateWriter
from .validation_context import ValidationContext, validation_settings

MAX_WAIT_TICKS = TICKS_PER_SECOND  # between two iterations of the loop
RESEND_WAIT_TICKS = TICKS_PER_SECOND / 4  # the same, while resends to proxies wait
WRITE_RETRY_TICKS = TICKS_PER_SECOND // 5

P = ParamSpec("P")


class Publisher:
    """Receives update messages, delivers them to their proxies, and handles the answers of the proxies.

    `run` is a task; all other methods are called by the decision task.
    """

    def __init__(
        self,
        terms: Terms,
        settings: DeploymentSettings,
        listener: PublisherListener,
        records: RecordWriter,
        log: Logger,
        renderer: ResourceRenderer,
        epoch: int,
        proxy_states: ProxyStateBook,
    ) -> None:
        """Connects the components; nothing is sent before `run`."""
        self.renderer = renderer
        self._listener = listener
        self._registry = SessionRegistry()
        context = PublisherContext(epoch, renderer, self._registry, listener, PublisherRecords(records), log)
        self._queue = UpdateQueue(context, settings.channel, proxy_states)
        self._validator = _make_validator(context, terms.guard, settings)
        self._table_rollout = TableRollout(
            context, rollout_settings(terms.rollout), settings.channel, self._queue, self.wake
        )
        self._acknowledgements = Acknowledgements(context, self._validator, self._table_rollout)
        self._writer = UpdateWriter(
            context, self._queue.channel, self._validator, self._table_rollout, self._acknowledgements
        )
        self._woken = trio.Event()
        self._write_retry_at = 0

    @property
    def sessions(self) -> dict[int, PublisherSession]:
        """The joined proxies by number."""
        return self._registry.by_number

    @property
    def channel(self) -> RateLimitedChannel:
        """The channel in which messages wait."""
        return self._queue.channel

    @property
    def validation(self) -> ValidationContext:
        """The state of update validation; it is changed through `update_validation`."""
        return self._validator.validation

    @property
    def validation_micros(self) -> deque[int]:
        """The durations of the last validations of messages that passed, in microseconds."""
        return self._validator.timings_micros

    @property
    def rollout(self) -> Rollout:
        """The staged rollout of contents."""
        return self._table_rollout.rollout

    def now(self) -> int:
        """Returns the current tick."""
        return self._listener.now()

    # Sessions.

    def add_session(self, session: PublisherSession) -> None:
        """Registers a proxy that has joined."""
        self.sessions[session.number] = session

    def remove_session(self, proxy: int) -> None:
        """Removes a proxy that has left, and drops the messages that wait for it."""
        session = self.sessions.pop(proxy, None)
        if session is not None:
            session.sink.close()
        self.channel.drop_proxy(proxy)
        self._table_rollout.remove_proxy(proxy)
        self.update_validation(self.validation.remove_proxy, proxy)

    # Updates.

    def enqueue(self, message: UpdateMessage) -> None:
        """Queues a message; `wake` must be called after the last one of a flush."""
        self._queue.put(message)

    def wake(self) -> None:
        """Makes the loop run its next iteration at once."""
        self._woken.set()

    def update_validation(self, method: Callable[P, None], *args: P.args, **kwargs: P.kwargs) -> None:
        """Calls a method of `validation`; never raises."""
        self._validator.update(method, *args, **kwargs)

    async def run(self) -> None:
        """Delivers messages to their proxies in order, until cancelled."""
        while True:
            now = await self._publish_departed()
            if now >= self._write_retry_at:
                await self._retry_writes(now)
            self._queue.put_held_messages(now)
            self._requeue_refused(now)
            await self._writer.rewrite_unacknowledged(now)
            self.rollout.evaluate(now)
            self._table_rollout.queue_resends(now)
            self._woken = trio.Event()
            with trio.move_on_after(max(self._wait_ticks(now), 0) / TICKS_PER_SECOND):
                await self._woken.wait()

    async def _publish_departed(self) -> int:
        """Publishes all messages that have left the channel. Returns the tick at which none remained."""
        now = self._listener.now()
        while (message := self._queue.take(now)) is not None:
            session = self.sessions.get(message.proxy)
            if session is not None:
                session.withheld = session.refused = None  # superseded: a message holds the complete state
                session.newest = message
                await self._publish(now, session, message)
            now = self._listener.now()
        return now

    def _requeue_refused(self, now: int) -> None:
        """Queues refused messages again that validation would no longer refuse."""
        for session in self._registry.unfinished_sessions():
            refused = session.refused
            if refused is None or now < refused.revalidate_at:
                continue
            if not self._queue.has_room_for(refused.message.cost_entries):
                continue
            if self._validator.is_refused(now, session, refused.message, self.channel.waiting_entries):
                session.refused = refused.postponed(now)
                continue
            session.refused = None
            self._queue.put_again_unless_superseded(now, refused.message)

    async def _retry_writes(self, now: int) -> None:
        for session in self._registry.unfinished_sessions():
            if session.unwritten is not None:
                await self._publish(now, session, session.unwritten)

    async def _publish(self, now: int, session: PublisherSession, message: UpdateMessage) -> None:
        """Writes the part of a message that rollout and validation allow; a failed write is retried."""
        staged = self._table_rollout.choose(now, session, message)
        waiting = self.channel.waiting_entries
        allowed = self._validator.validate(now, session, staged.message, waiting)
        if allowed is None or await self._writer.write(session, allowed, staged.contents):
            session.unwritten = None
        else:
            session.unwritten = message
            self._registry.mark_unfinished(session)
            self._write_retry_at = now + WRITE_RETRY_TICKS

    def _wait_ticks(self, now: int) -> float:
        """How long the loop may wait, in ticks; negative if work is overdue."""
        waits = [RESEND_WAIT_TICKS if self._table_rollout.has_resends else MAX_WAIT_TICKS]
        departure = self.channel.next_departure()
        if departure is not None:
            waits.append(departure - now)
        for session in self._registry.unfinished_sessions():
            if session.withheld is not None:
                waits.append(session.withheld.until - now)
            if session.refused is not None:
                waits.append(session.refused.revalidate_at - now)
            if session.unwritten is not None:
                waits.append(self._write_retry_at - now)
        return min(waits)

    # Answers of proxies.

    def handle_delivered(self, proxy: int) -> None:
        """Records that a proxy has fetched its update from the xDS discovery server."""
        self.channel.release_fetched(proxy)

    def handle_acknowledged(self, now: int, proxy: int, number: int) -> None:
        """See `Acknowledgements.handle_acknowledged`."""
        self._acknowledgements.handle_acknowledged(now, proxy, number)

    def handle_group_rejected(self, now: int, proxy: int, kind: str, number: int, cause: str) -> None:
        """See `Acknowledgements.handle_group_rejected`."""
        self._acknowledgements.handle_group_rejected(now, proxy, kind, number, cause)

    def handle_resource_rejected(self, now: int, proxy: int, resource: Resource, cause: str) -> None:
        """See `Acknowledgements.handle_resource_rejected`."""
        self._acknowledgements.handle_resource_rejected(now, proxy, resource, cause)

    def handle_part_acknowledged(self, now: int, proxy: int, resources: ResourceSet) -> None:
        """See `Acknowledgements.handle_part_acknowledged`."""
        self._acknowledgements.handle_part_acknowledged(now, proxy, resources)

    def record_known_version(self, session: PublisherSession, part: str, version: str, state: str) -> None:
        """See `Acknowledgements.record_known_version`."""
        self._acknowledgements.record_known_version(session, part, version, state)


def _make_validator(
    context: PublisherContext, terms: GuardTerms, settings: DeploymentSettings
) -> UpdateValidator:
    limits = validation_settings(settings, terms.cold_part, terms.swing, terms.capacity_calls_per_s)
    validation = ValidationContext(settings, limits, shadow=terms.mode == "shadow")
    return UpdateValidator(context, validation, is_enabled=terms.mode != "off")
