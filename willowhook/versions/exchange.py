"""What a proxy and its session say to each other, whatever form it has on the wire."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from .resources import ResourceDelta, ResourceSet

ALL_NAMES = "*"  # among the names of a subscription


@dataclass(slots=True)
class ResourceRequest:
    """A call of a proxy for resources of one type.

    Attributes:
        kind: the resource type.
        is_full: whether it wants complete sets; otherwise deltas.
        is_first: whether it is the first of its connection, so that it states what the proxy holds.
        version: the version that the proxy states it runs; with complete sets.
        held_versions: the versions by name that the proxy states it holds; with deltas.
        nonce: the nonce of the response that this answers; empty: none.
        error: why the proxy rejected that response; empty: it applied it.
        subscribe: names that it wants from now on.
        unsubscribe: names that it does not want any more.
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
    """What a proxy is sent.

    Attributes:
        resource_set: what the proxy holds once it has applied this.
        nonce: the nonce that the proxy's answer names.
        base: the set that `delta` starts from, where one response serves many proxies.
        delta: what changes; None: the complete set is sent.
    """

    resource_set: ResourceSet
    nonce: str
    base: ResourceSet | None
    delta: ResourceDelta | None
