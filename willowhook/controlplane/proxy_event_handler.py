"""Passes the events of proxies to the components that handle them, in the decision task."""

from __future__ import annotations

from .context import ServiceContext
from .load_recorder import LoadRecorder
from .proxy_events import (
    AttemptsReported,
    ProxyEvent,
    ProxyInputRejected,
    ProxySessionClosed,
    ProxySessionOpened,
    RequestsReported,
    UpdateApplied,
    UpdateRejected,
)
from .publisher import Publisher
from .session_manager import SessionManager


class ProxyEventHandler:
    """Passes each event of a proxy to the component that handles it."""

    def __init__(
        self,
        context: ServiceContext,
        publisher: Publisher,
        sessions: SessionManager,
        load_recorder: LoadRecorder,
    ) -> None:
        """Receives the components that handle the events."""
        self._context = context
        self._publisher = publisher
        self._sessions = sessions
        self._load_recorder = load_recorder

    def handle(self, event: ProxyEvent) -> None:
        """Handles one event."""
        now = self._context.now()
        match event:
            case ProxySessionOpened():
                self._sessions.open(event)
            case ProxySessionClosed():
                self._sessions.close(event)
            case UpdateApplied():
                self._publisher.handle_acknowledged(now, event.proxy, event.message)
            case UpdateRejected():
                self._publisher.handle_group_rejected(
                    now, event.proxy, event.kind, event.message, event.cause
                )
            case AttemptsReported():
                self._load_recorder.record_attempts(event)
            case RequestsReported():
                self._load_recorder.record_requests(event)
            case ProxyInputRejected():
                self._context.log.warning("input of a proxy rejected", proxy=event.name, cause=event.cause)
                self._context.records.append(now, "fault", proxy=event.name, cause=event.cause)
