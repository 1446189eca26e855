"""Encodes the parts of one `assign` message, which updates a proxy.

The protocol allows a message in several parts, one frame each. A proxy applies all parts together when it has
received the last one, which is the only one not marked `part`.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings
from .fields import Fields
from .framing import encode_frame


class EncodedParts(NamedTuple):
    """Encoded parts of a message, and their cost.

    Attributes:
        frames: the encoded parts, in the order in which they are sent.
        entry_count: the number of entries that the platform charges for the parts. It is not sent; tests
            compare it with the number of entries that the controller charged for its commands.
    """

    frames: list[bytes]
    entry_count: int


class UpdateEncoder:
    """Encodes parts of messages. It has no mutable state.

    Args:
        settings: the settings of the deployment, which define the names of the routes.
    """

    def __init__(self, settings: DeploymentSettings) -> None:
        self._route_names = [route.name for route in settings.routes]

    def encode_table(
        self,
        routes: Iterable[int],
        weights: Mapping[str, float],
        admission: Mapping[int, AdmissionLimit],
        *,
        replaces_table: bool,
    ) -> EncodedParts:
        """Encodes the changes of a table, for the routes that use it.

        Args:
            routes: the indices of the routes that use the table.
            weights: weight by endpoint, in the order of the table; 0 removes the entry.
            admission: the new limits, by route.
            replaces_table: whether the weights are the complete table, which replaces the previous table of
                the routes.
        """
        parts: list[Fields] = []
        entry_count = len(weights)
        if replaces_table or weights:
            parts.append(self._weights_part(routes, weights, replaces_table))
            entry_count += replaces_table
        for route, limit in admission.items():
            parts.append(self._admission_part(route, limit))
            entry_count += 1
        return EncodedParts([encode_frame(part) for part in parts], entry_count)

    def encode_last_part(self, exclusions: Mapping[str, bool], sync_marker: int | None) -> EncodedParts:
        """Encodes the last part of a message.

        Args:
            exclusions: by endpoint: True excludes it, False readmits it.
            sync_marker: the marker that the proxy acknowledges once it has applied the message, or None.
        """
        part: Fields = {"t": "assign"}
        entry_count = len(exclusions)
        excluded = [endpoint for endpoint, is_excluded in exclusions.items() if is_excluded]
        readmitted = [endpoint for endpoint, is_excluded in exclusions.items() if not is_excluded]
        if excluded:
            part["drop"] = excluded
        if readmitted:
            part["undrop"] = readmitted
        if sync_marker is not None:
            part["stamp"] = sync_marker
            entry_count += 1
        return EncodedParts([encode_frame(part)], entry_count)

    def _weights_part(
        self, routes: Iterable[int], weights: Mapping[str, float], replaces_table: bool
    ) -> Fields:
        part: Fields = {
            "t": "assign",
            "for": [self._route_names[route] for route in routes],
            "rows": list(weights.items()),
            "part": True,
        }
        if replaces_table:
            part["replace"] = True
        return part

    def _admission_part(self, route: int, limit: AdmissionLimit) -> Fields:
        return {
            "t": "assign",
            "for": [self._route_names[route]],
            "part": True,
            "gate": limit.limit,
            "again": limit.retries,
        }
