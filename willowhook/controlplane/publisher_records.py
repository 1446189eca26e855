"""The records that the publisher writes. Their words and fields are fixed, and known here only."""

from __future__ import annotations

from ..records.writer import RecordWriter
from ..validation.verdict import Verdict
from ..versions.rollout_track import Content, Unit
from .proxy_session import PublisherSession
from .proxy_state import UpdateMessage

NO_MARKER = -1
MAX_CAUSE_LENGTH = 300  # characters


class PublisherRecords:
    """Writes one kind of record a method; `now` is a tick."""

    def __init__(self, records: RecordWriter) -> None:
        """`records` is the file of records."""
        self._records = records

    # Messages.

    def record_queued(self, message: UpdateMessage, proxy_name: str) -> None:
        """A message waits in the channel."""
        self._records.append(
            message.ordered_at,
            "order",
            message=message.number,
            mark=NO_MARKER if message.marker is None else message.marker,
            proxy=proxy_name,
            lines=message.cost_entries,
        )

    def record_validated(
        self, now: int, session: PublisherSession, message: UpdateMessage, verdict: Verdict, micros: int
    ) -> None:
        """Validation took `micros` microseconds and found something."""
        data = verdict.data()
        for step in data["steps"]:
            del step["lines"]  # too long for a record
        self._records.append(now, "guard", message=message.number, proxy=session.name, took_us=micros, **data)

    def record_written(
        self,
        now: int,
        session: PublisherSession,
        message: UpdateMessage,
        waiting_entries: int,
        has_changed: bool,
    ) -> None:
        """A message is where its proxy reads it; `waiting_entries` are left in the channel."""
        self._records.append(
            now,
            "sent",
            message=message.number,
            proxy=session.name,
            waiting=waiting_entries,
            after=now - message.ordered_at,
            swapped=has_changed,
        )

    def record_rewritten(self, now: int, session: PublisherSession) -> None:
        """Files that were not acknowledged have been written again."""
        self._records.append(now, "again", proxy=session.name, message=session.written)

    # Answers.

    def record_acknowledged(self, now: int, session: PublisherSession, number: int, ordered_at: int) -> None:
        """A proxy has applied all messages up to this number; the last of them was ordered then."""
        self._records.append(now, "applied", message=number, proxy=session.name, after=now - ordered_at)

    def record_rejected(self, now: int, session: PublisherSession, kind: str, what: str, cause: str) -> None:
        """A proxy has rejected resources of a type."""
        shortened = cause[:MAX_CAUSE_LENGTH]
        self._records.append(now, "refused", proxy=session.name, form=kind, what=what, cause=shortened)

    def record_known_version(
        self, now: int, session: PublisherSession, part: str, version: str, state: str
    ) -> None:
        """The version that a proxy is known to run has changed."""
        self._records.append(
            now,
            "belief",
            proxy=session.name,
            term=session.term,
            part=part,
            version=version,
            state=state,
        )

    # Rollout.

    def record_halted(self, now: int, unit: Unit, bad: Content, good: Content | None, cause: str) -> None:
        """A content is not offered any more."""
        shortened = cause[:MAX_CAUSE_LENGTH]
        self._records.append(now, "halted", unit=str(unit), content=bad, good=good, why=shortened)

    def record_rolled_back(self, now: int, unit: Unit, bad: Content, proxy_count: int) -> None:
        """`proxy_count` proxies are sent something else in place of a halted content."""
        self._records.append(now, "rollback", unit=str(unit), content=bad, readers=proxy_count)

    def record_released(self, now: int, unit: Unit) -> None:
        """The newest content of a unit may go to all proxies."""
        self._records.append(now, "released", unit=str(unit))
