"""Ports of stand-ins and of tests: one for each server, also while many run at once."""

from __future__ import annotations

import socket

import pytest

from willowhook.trial.ports import PortReservations

MANY = 250  # drawn from 14,000, two of them would be the same nine times in ten


def listen(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen()
    return listener


def test_reserved_ports_differ_and_can_be_listened_at() -> None:
    """Guards against two servers of one test, or of tests that run at once, with the same port."""
    with PortReservations() as reservations:
        ports = [reservations.reserve() for _ in range(MANY)]
        assert len(set(ports)) == MANY
        for _ in range(2):  # a server that restarts has the same port
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
