"""Ports on loopback that stay reserved for one server: before it listens, and while it restarts."""

from __future__ import annotations

import socket
from types import TracebackType


class PortReservations:
    """Holds ports until it is closed; servers that reuse addresses can listen at them meanwhile.

    A port that is merely chosen and released could be given to another process before its server listens.
    """

    def __init__(self) -> None:
        """Holds no port yet."""
        self._sockets: list[socket.socket] = []  # bound, and never listening

    def __enter__(self) -> PortReservations:
        return self

    def __exit__(
        self, _type: type[BaseException] | None, _error: BaseException | None, _trace: TracebackType | None
    ) -> None:
        self.close()

    def reserve(self) -> int:
        """Reserves a port that the kernel gives to no other process. Raises OSError if there is none."""
        reservation = socket.socket()
        self._sockets.append(reservation)
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind(("127.0.0.1", 0))
        return int(reservation.getsockname()[1])

    def close(self) -> None:
        """Releases all ports."""
        for reservation in self._sockets:
            reservation.close()
        self._sockets.clear()
