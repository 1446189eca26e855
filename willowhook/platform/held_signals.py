"""Holds signals back while the process starts. It imports nothing that takes time.

By default each of these signals ends the process; most of the start is spent on imports.
"""

from __future__ import annotations

import signal

RELOAD_SIGNAL = signal.SIGHUP
SERVER_SIGNALS = (signal.SIGTERM, signal.SIGINT, RELOAD_SIGNAL)


def hold_signals() -> None:
    """Holds the server's signals back until `release_signals`; none that comes until then is lost."""
    signal.pthread_sigmask(signal.SIG_BLOCK, SERVER_SIGNALS)


def release_signals() -> None:
    """Delivers the signals that were held back, and all later ones at once."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SERVER_SIGNALS)
