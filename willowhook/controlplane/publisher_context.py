"""What the parts of the publisher share."""

from __future__ import annotations

from dataclasses import dataclass

from .condition_log import Logger
from .proxy_session import SessionRegistry
from .publisher_listener import PublisherListener
from .publisher_records import PublisherRecords
from .resource_renderer import ResourceRenderer


@dataclass(frozen=True, slots=True)
class PublisherContext:
    """The surroundings of each part of the publisher.

    Attributes:
        epoch: of this run of the controller; the second part of the versions of messages.
        renderer: renders views as resources.
        sessions: the joined proxies.
        listener: is told of what happens.
        records: takes the records.
        log: takes the log lines.
    """

    epoch: int
    renderer: ResourceRenderer
    sessions: SessionRegistry
    listener: PublisherListener
    records: PublisherRecords
    log: Logger
