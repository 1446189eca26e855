"""The ports of the platform's tests: one for each server, also while many tests run at once."""

from __future__ import annotations

import socket

from platform_process import reserve_port

MANY = 250  # drawn from 14,000, two of them would be the same nine times in ten


def test_reserved_ports_differ_and_can_be_listened_at() -> None:
    """Guards against two servers of one test, or of tests that run at once, with the same port."""
    ports = [reserve_port() for _ in range(MANY)]
    assert len(set(ports)) == MANY
    for _ in range(2):  # a server that restarts has the same port
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(("127.0.0.1", ports[0]))
            listener.listen()
