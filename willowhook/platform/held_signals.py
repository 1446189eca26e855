"""Blocks signals while the process starts.

By default each of these signals terminates the process, and most of the startup time is spent on imports.
This module therefore imports nothing that takes time.
"""

from __future__ import annotations

import signal

RELOAD_SIGNAL = signal.SIGHUP
SERVER_SIGNALS = (signal.SIGTERM, signal.SIGINT, RELOAD_SIGNAL)


def block_signals() -> None:
    """Blocks the server's signals. Those that arrive stay pending until `unblock_signals`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SERVER_SIGNALS)


def unblock_signals() -> None:
    """Delivers pending signals now, and later ones as they arrive."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SERVER_SIGNALS)
