"""Receives the signals that reload or terminate a process, and ignores those that arrive after that."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import FrameType

import trio


@contextmanager
def receive_signals(*numbers: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Receives signals as `trio.open_signal_receiver` does, and ignores them once it is closed.

    When trio's receiver closes, it restores the previous action and redelivers the signals that were not
    consumed. With the default action, a second SIGTERM would kill a process that is exiting regularly.
    """
    for number in numbers:
        # not SIG_IGN, which would discard pending signals that the process has blocked until now
        signal.signal(number, _do_nothing)
    try:
        with trio.open_signal_receiver(*numbers) as received:
            yield received
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)  # unlike a handler, stays set while Python shuts down


def _do_nothing(_number: int, _frame: FrameType | None) -> None:
    """Replaces the default action of a signal."""
