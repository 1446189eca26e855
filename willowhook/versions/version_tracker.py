"""The version that one proxy is known to run of one resource type.

A version is certain when the proxy has acknowledged it and nothing newer is in flight. From just before a
response is sent until it is acknowledged or rejected, the proxy may run either version, so none is certain.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from .resources import Resource, ResourceSet

MAX_IN_FLIGHT = 8  # unanswered responses that are kept; a proxy requests again after each


class VersionState(StrEnum):
    """How certain a proxy's version is. The values are those of records and of the status page."""

    UNKNOWN = "unknown"
    ACKNOWLEDGED = "acknowledged"
    SENT = "sent"
    REJECTED = "refused"
    CONNECTION_LOST = "lost"


@dataclass(slots=True)
class VersionTracker:
    """Tracks the version that one proxy runs of one type.

    Attributes:
        kind: the resource type.
        known: the set that the proxy acknowledged last.
        in_flight: by nonce, the sets that were sent and neither acknowledged nor rejected.
        reported: versions by name that it states it holds, until it acknowledges a set that it was sent.
        rejected: by name, resources that must not be sent to it again.
        errors: by name, the reason that it stated for rejecting a resource.
        is_connection_lost: whether the connection was lost with responses in flight.
        previous: by name, the resource that the one in `known` replaced.
    """

    kind: str
    known: ResourceSet | None = None
    in_flight: dict[str, ResourceSet] = field(default_factory=dict)
    reported: dict[str, str] = field(default_factory=dict)
    rejected: dict[str, Resource] = field(default_factory=dict)
    errors: dict[str, str] = field(default_factory=dict)
    is_connection_lost: bool = False
    previous: dict[str, Resource] = field(default_factory=dict)

    @property
    def state(self) -> VersionState:
        """How certain it is which version the proxy runs."""
        if self.in_flight:
            return VersionState.CONNECTION_LOST if self.is_connection_lost else VersionState.SENT
        if self.rejected:
            return VersionState.REJECTED
        return VersionState.ACKNOWLEDGED if self.known is not None else VersionState.UNKNOWN

    @property
    def certain_version(self) -> str:
        """The version that the proxy runs; empty if that is not certain."""
        return self.known.version if self.known is not None and not self.in_flight else ""

    @property
    def delta_base(self) -> ResourceSet | dict[str, str]:
        """The base of a delta: the known set, or else the versions that the proxy reported."""
        return self.known if self.known is not None else self.reported

    def holds(self, resource: Resource) -> bool:
        """Whether the proxy is known to hold exactly this resource version."""
        return self.known is not None and self.known.resources.get(resource.name) is resource

    def record_sent(self, nonce: str, resources: ResourceSet) -> None:
        """Records a response that is about to be sent."""
        self.in_flight.pop(nonce, None)
        self.in_flight[nonce] = resources
        self.is_connection_lost = False
        if len(self.in_flight) > MAX_IN_FLIGHT:
            del self.in_flight[next(iter(self.in_flight))]

    def record_acknowledged(self, nonce: str) -> ResourceSet | None:
        """Records an acknowledgement. Returns the set that it proves to be applied; None if none newly is."""
        applied = self.in_flight.get(nonce)
        if applied is None or (
            self.known is not None and applied.resource_version < self.known.resource_version
        ):
            return None
        if self.known is not None:
            self._remember_previous(self.known, applied)
        self.known = applied
        # responses that were sent later may still be applied; earlier ones can no longer be
        self.in_flight = {
            key: each
            for key, each in self.in_flight.items()
            if each.resource_version > applied.resource_version
        }
        self.is_connection_lost = self.is_connection_lost and bool(self.in_flight)
        self.reported = {}
        return applied

    def _remember_previous(self, old: ResourceSet, new: ResourceSet) -> None:
        for name, resource in old.resources.items():
            if new.resources.get(name, resource) is not resource:
                self.previous[name] = resource
        for name in [name for name in self.previous if name not in new.resources]:
            del self.previous[name]

    def record_rejected(self, nonce: str, error: str) -> tuple[Resource, ...] | None:
        """Records a rejection. Returns the resources that were new in the rejected response.

        None if the nonce matches no response in flight.
        """
        sent = self.in_flight.pop(nonce, None)
        if sent is None:
            return None
        if self.known is not None:
            held = self.known.resources
            new = tuple(each for name, each in sent.resources.items() if held.get(name) is not each)
        else:
            reported = self.reported
            new = tuple(each for name, each in sent.resources.items() if reported.get(name) != each.version)
        for resource in new:
            self.errors[resource.name] = error
        return new
