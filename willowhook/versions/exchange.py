"""The requests and responses of a discovery session, independent of the wire format."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .resources import ResourceDelta, ResourceSet

ALL_NAMES = "*"  # a name that subscribes to all resources


@dataclass(slots=True)
class ResourceRequest:
    """A request of a proxy for resources of one type.

    Attributes:
        kind: the resource type.
        is_full: whether it asks for complete sets; otherwise for deltas.
        is_first: whether it is the first of its connection, so that it states what the proxy holds.
        version: the version that the proxy states it runs, if it asks for complete sets.
        held_versions: the versions by name that the proxy states it holds, if it asks for deltas.
        nonce: the nonce of the response that it acknowledges or rejects; empty: none.
        error: why the proxy rejected that response; empty: it applied it.
        subscribe: names to subscribe to.
        unsubscribe: names to unsubscribe from.
    """

    kind: str
    is_full: bool
    is_first: bool = False
    version: str = ""
    held_versions: Mapping[str, str] | None = None
    nonce: str = ""
    error: str = ""
    subscribe: tuple[str, ...] = ()
    unsubscribe: tuple[str, ...] = ()


@dataclass(slots=True)
class ResourceResponse:
    """A response to a proxy.

    Attributes:
        resource_set: the set that the proxy holds once it has applied the response.
        nonce: the nonce by which the proxy acknowledges or rejects the response.
        base: the set that `delta` is based on, if it is a known one, so that proxies can share the response.
        delta: the changes; None: the complete set is sent.
    """

    resource_set: ResourceSet
    nonce: str
    base: ResourceSet | None
    delta: ResourceDelta | None
