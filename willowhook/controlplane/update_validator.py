"""Update validation: each message is checked by its effect just before it is written."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import ParamSpec

from ..ticks import TICKS_PER_SECOND
from ..validation.model import UpdateVersion
from ..validation.verdict import Outcome, Verdict
from .proxy_session import FIRST_REFUSAL_BACKOFF_TICKS, PublisherSession, RefusedMessage, WithheldMessage
from .proxy_state import UpdateMessage
from .publisher_context import PublisherContext
from .publisher_listener import Condition
from .validation_context import ValidationContext

SLOW_VALIDATION_MICROS = 50_000  # a validation that takes longer is reported
MAX_TIMINGS = 10_000
MIN_HOLD_TICKS = TICKS_PER_SECOND // 10
DEFAULT_HOLD_TICKS = TICKS_PER_SECOND  # if a verdict states no time

P = ParamSpec("P")


class UpdateValidator:
    """Validates each message and acts on the verdict.

    It fails open: if validation raises, updates are sent without it. The controller's commands keep the
    rules without validation as well, whereas sending no updates would certainly break them.
    """

    def __init__(self, context: PublisherContext, validation: ValidationContext, is_enabled: bool) -> None:
        """Nothing is validated unless `is_enabled`."""
        self.validation = validation
        self.is_enabled = is_enabled
        self.timings_micros: deque[int] = deque(maxlen=MAX_TIMINGS)  # of messages that passed
        self._epoch = context.epoch
        self._sessions = context.sessions
        self._listener = context.listener
        self._records = context.records
        self._log = context.log

    def update(self, method: Callable[P, None], *args: P.args, **kwargs: P.kwargs) -> None:
        """Calls a method of `validation`. If it raises, validation is disabled, as its state may be wrong."""
        if self.is_enabled:
            try:
                method(*args, **kwargs)
            except Exception as error:
                self._disable(error)

    def record_sent(self, now: int, session: PublisherSession, message: UpdateMessage) -> None:
        """Records that a message is on its way to its proxy."""
        self.update(self.validation.record_sent, now, message, self._version(session, message))

    def validate(
        self, now: int, session: PublisherSession, message: UpdateMessage, waiting_entries: int
    ) -> UpdateMessage | None:
        """Returns the message as it may be written now; None if it is refused or held back."""
        if not self.is_enabled:
            return message
        started_at = time.perf_counter()
        try:
            version = self._version(session, message)
            verdict = self.validation.judge(now, message, version, waiting_entries)
        except Exception as error:
            self._disable(error)
            return message
        micros = round((time.perf_counter() - started_at) * 1e6)
        self._report_timing(micros)
        if verdict.has_passed and not verdict.exemption and not verdict.check_errors:
            self.timings_micros.append(micros)
            return message
        self._records.record_validated(now, session, message, verdict, micros)
        for fault in verdict.check_errors:
            self._listener.report_condition(
                Condition.VALIDATION_CHECK_FAILED, True, "validation check failed", cause=fault
            )
        if verdict.has_passed:
            return message
        return self._follow_verdict(now, session, message, verdict)

    def is_refused(
        self, now: int, session: PublisherSession, message: UpdateMessage, waiting_entries: int
    ) -> bool:
        """Whether validation would refuse a message now. Nothing is recorded."""
        if not self.is_enabled:
            return False
        try:
            version = self._version(session, message)
            verdict = self.validation.preview(now, message, version, waiting_entries)
        except Exception as error:
            self._disable(error)
            return False
        return verdict.outcome is Outcome.REFUSED

    def _follow_verdict(
        self, now: int, session: PublisherSession, message: UpdateMessage, verdict: Verdict
    ) -> UpdateMessage | None:
        is_held = verdict.outcome in (Outcome.HELD, Outcome.SPLIT)
        self._log.warning(
            "update held by validation" if is_held else "update refused by validation",
            proxy=session.name,
            message=message.number,
            verdict=verdict.outcome.value,
            cause=verdict.findings[0].line(),
        )
        if is_held:
            last_step = max((step.not_before for step in verdict.steps), default=now + DEFAULT_HOLD_TICKS)
            until = verdict.held_until() or last_step
            session.withheld = WithheldMessage(max(until, now + MIN_HOLD_TICKS), message)
        else:
            revalidate_at = now + FIRST_REFUSAL_BACKOFF_TICKS
            session.refused = RefusedMessage(revalidate_at, 2 * FIRST_REFUSAL_BACKOFF_TICKS, message)
        self._sessions.mark_unfinished(session)
        if verdict.outcome is not Outcome.SPLIT:
            return None
        return replace(message, view=self.validation.first_step(message.view, verdict))

    def _version(self, session: PublisherSession, message: UpdateMessage) -> UpdateVersion:
        return UpdateVersion(session.term, self._epoch, message.number)

    def _report_timing(self, micros: int) -> None:
        is_slow = micros > SLOW_VALIDATION_MICROS
        text = "validation slow" if is_slow else "validation no longer slow"
        self._listener.report_condition(Condition.VALIDATION_SLOW, is_slow, text, took_us=micros)

    def _disable(self, error: Exception) -> None:
        self.is_enabled = False
        self._listener.report_condition(
            Condition.VALIDATION_DISABLED, True, "validation failed and is disabled", cause=repr(error)
        )
