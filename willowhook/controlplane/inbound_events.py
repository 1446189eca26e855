"""The typed events that tasks which do I/O send to the decision task.

Events of the controller itself, such as the result of a health check, go through the same queue.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import trio

from ..decisions.events import Event
from ..membership.handoff import Packet
from ..registry.endpoint import DiscoveredEndpoint
from ..versions.resources import Resource, ResourceSet
from .proxy_events import UpdateApplied

FolderIdentity = tuple[int, ...]
"""Distinguishes a folder of a proxy from a later folder of the same name; empty if there is none."""


@dataclass(frozen=True, slots=True)
class WorkAvailable:
    """Work waits outside the queue, such as a load report."""


@dataclass(frozen=True, slots=True)
class EndpointListFetched:
    """Service discovery has returned the complete endpoint list."""

    endpoints: Sequence[DiscoveredEndpoint]


# From the folders of proxies.


@dataclass(frozen=True, slots=True)
class ProxyFolderFound:
    """A proxy's folder was created, or replaced.

    Attributes:
        name: the name of the proxy.
        identity: the identity of the folder.
        files: the files that the proxy has written, by name.
        previous: the files that an earlier controller process wrote for it, if any.
    """

    name: str
    identity: FolderIdentity
    files: Mapping[str, bytes]
    previous: Mapping[str, bytes] | None


@dataclass(frozen=True, slots=True)
class ProxyFolderRemoved:
    """A proxy's folder was removed."""

    name: str


@dataclass(frozen=True, slots=True)
class ProxyFileWritten:
    """A proxy has written a file."""

    name: str
    file: str
    data: bytes


@dataclass(frozen=True, slots=True)
class ProxyFileUnreadable:
    """A file of a proxy could not be read."""

    name: str
    file: str
    cause: str


# From the xDS discovery server.


@dataclass(slots=True)
class SessionReply:
    """The result of a request for a session.

    Attributes:
        error: what is malformed in the request; empty if the session is open.
        is_ready: set once `error` is final.
    """

    error: str = ""
    is_ready: trio.Event = field(default_factory=trio.Event)


@dataclass(frozen=True, slots=True)
class SessionRequested:
    """A proxy requests a session from the xDS discovery server.

    Attributes:
        name: the name of the proxy.
        term: the term of the session as the proxy states it; not checked yet.
        files: the contents of the request, as files.
        reply: where the result is set.
    """

    name: str
    term: object
    files: Mapping[str, bytes]
    reply: SessionReply


@dataclass(frozen=True, slots=True)
class ProxyCalled:
    """A proxy has sent a request to the xDS discovery server."""

    name: str


@dataclass(frozen=True, slots=True)
class ResourceRejected:
    """A proxy that uses the xDS discovery server has rejected a resource."""

    proxy: int
    resource: Resource
    cause: str


@dataclass(frozen=True, slots=True)
class PartAcknowledged:
    """A proxy that uses the xDS discovery server has acknowledged a part of its resources."""

    proxy: int
    part: ResourceSet


# From the link to other controllers.


@dataclass(frozen=True, slots=True)
class HandoffReceived:
    """A peer has sent a packet."""

    packet: Packet


@dataclass(frozen=True, slots=True)
class HandoffAcknowledged:
    """A peer has accepted a packet.

    Attributes:
        peer: its index in the configuration.
        epoch: the epoch of this controller when it sent the packet.
        number: the number of the packet.
    """

    peer: int
    epoch: int
    number: int


# From the publisher.


@dataclass(frozen=True, slots=True)
class PublisherCallDue:
    """The publisher's task has a function called in the decision task, with the current tick."""

    call: Callable[[int], None]


FolderEvent = ProxyFolderFound | ProxyFolderRemoved | ProxyFileWritten | ProxyFileUnreadable

DiscoveryEvent = SessionRequested | ProxyCalled | UpdateApplied | ResourceRejected | PartAcknowledged

InboundEvent = (
    WorkAvailable
    | EndpointListFetched
    | FolderEvent
    | DiscoveryEvent
    | HandoffReceived
    | HandoffAcknowledged
    | PublisherCallDue
    | Event
)
