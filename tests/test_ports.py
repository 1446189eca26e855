"""Reserved ports of stand-ins and tests: no two servers get the same one, also in parallel runs."""

from __future__ import annotations

import socket

import pytest

from willowhook.trial.ports import PortReservations

PORT_COUNT = 250  # drawn at random from 14,000 ports, two would be the same nine times in ten


def listen(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen()
    return listener


def test_reserved_ports_differ_and_can_be_listened_at() -> None:
    """Guards against one port for two servers of a test, or of tests that run in parallel."""
    with PortReservations() as reservations:
        ports = [reservations.reserve() for _ in range(PORT_COUNT)]
        assert len(set(ports)) == PORT_COUNT
        for _ in range(2):  # a restarted server keeps its port
            with listen(ports[0]):
                pass


def test_a_reserved_port_is_refused_while_nobody_listens_and_free_after_the_end() -> None:
    with PortReservations() as reservations:
        port = reservations.reserve()
        with socket.socket() as caller, pytest.raises(ConnectionRefusedError):
            caller.connect(("127.0.0.1", port))
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", port))
    with socket.socket() as other:
        other.bind(("127.0.0.1", port))
