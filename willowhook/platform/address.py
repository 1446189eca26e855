"""The address of a TCP socket."""

from __future__ import annotations

from typing import NamedTuple


class Address(NamedTuple):
    """The host and port at which a socket listens.

    Attributes:
        host: host name or IPv4 address.
        port: TCP port.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """The address as `host:port`."""
        return f"{self.host}:{self.port}"
