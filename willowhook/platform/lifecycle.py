"""The lifecycle of the server's process: its tasks run until a signal ends them."""

from __future__ import annotations

import signal
from collections.abc import Awaitable, Callable, Sequence

import trio

Task = Callable[[], Awaitable[None]]


async def run_until_terminated(tasks: Sequence[Task], reload: Task) -> None:
    """Runs tasks until SIGTERM or SIGINT cancels them, and `reload` at each SIGHUP.

    An exception of a task cancels the others and is raised in an exception group.
    """
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            for task in tasks:
                nursery.start_soon(task)
            async for received in signals:
                if received != signal.SIGHUP:
                    nursery.cancel_scope.cancel()
                    break
                nursery.start_soon(reload)
