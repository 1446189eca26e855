"""The address of a TCP socket."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """Where a socket listens.

    Attributes:
        host: name or IPv4 address.
        port: TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """As `host:port`."""
        return f"{self.host}:{self.port}"
