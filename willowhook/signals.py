"""Receives the signals that reload or end a process, and outlasts those that follow."""

from __future__ import annotations

import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from types import FrameType

import trio


@contextmanager
def receive_signals(*numbers: signal.Signals) -> Iterator[AsyncIterator[int]]:
    """Receives signals as `trio.open_signal_receiver` does, and ignores them once it is closed.

    That receiver restores the action before it and delivers again what nobody has received: by the default
    action, a second SIGTERM would turn a regular exit into a death by signal.
    """
    for number in numbers:
        # not SIG_IGN: it would discard signals that the process has held back until now
        signal.signal(number, _do_nothing)
    try:
        with trio.open_signal_receiver(*numbers) as received:
            yield received
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)  # unlike a handler, it lasts through the interpreter's end


def _do_nothing(_number: int, _frame: FrameType | None) -> None:
    """Takes the place of the default action."""
