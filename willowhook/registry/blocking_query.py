"""The index of blocking queries, by which a service registry tells new responses from old ones."""

from __future__ import annotations

from .endpoint import DiscoveryError


class BlockingQueryIndex:
    """The index of blocking queries: what to request next, and whether a response is new."""

    def __init__(self) -> None:
        self.index = 0

    def record_index(self, header: bytes | None) -> bool:
        """Records the index of a response; returns whether it differs from the previous one.

        Raises DiscoveryError if the header holds no number. After an index that decreases, or is below 1, the
        next query starts from 0, as the registry's protocol requires.
        """
        try:
            index = int(header or b"")
        except ValueError as error:
            raise DiscoveryError("no valid X-Consul-Index in the response") from error
        is_new = index != self.index
        self.index = 0 if index < self.index or index < 1 else index
        return is_new
