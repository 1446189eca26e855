"""State and services that the components of the publisher share."""

from __future__ import annotations

from dataclasses import dataclass

from .condition_log import Logger
from .proxy_session import SessionRegistry
from .publisher_listener import PublisherListener
from .publisher_records import PublisherRecords
from .resource_renderer import ResourceRenderer


@dataclass(frozen=True, slots=True)
class PublisherContext:
    """State and services that the components of the publisher share.

    Attributes:
        epoch: the epoch of this controller process, which is the second part of message versions.
        renderer: renders views as resources.
        sessions: the joined proxies.
        listener: the listener that is notified of the publisher's events.
        records: the writer of records.
        log: the log.
    """

    epoch: int
    renderer: ResourceRenderer
    sessions: SessionRegistry
    listener: PublisherListener
    records: PublisherRecords
    log: Logger
