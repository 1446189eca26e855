"""The lifecycle of the server's process: its tasks run until a signal terminates them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import trio

from ..signals import receive_signals
from .held_signals import RELOAD_SIGNAL, SERVER_SIGNALS, unblock_signals

Task = Callable[[], Awaitable[None]]


async def run_until_terminated(tasks: Sequence[Task], reload: Task) -> None:
    """Runs tasks until SIGTERM or SIGINT cancels them, and `reload` at each SIGHUP.

    An exception of a task cancels the others and is raised in an exception group.
    """
    with receive_signals(*SERVER_SIGNALS) as signals:
        unblock_signals()
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(task)
            async for signal_number in signals:
                if signal_number != RELOAD_SIGNAL:
                    nursery.cancel_scope.cancel()
                    break
                nursery.start_soon(reload)
