"""Group commit: one sync in a thread for all waiting writes; those that come meanwhile are the next batch."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .store import Op, Store, StoreError


class Committer:
    """Commits operations in batches; `commit` returns when they are on disk.

    Attributes:
        store: the store.
        batch_count: the number of batches committed.
        committed_count: the number of writes committed.
    """

    def __init__(self, store: Store, announce: Callable[[str], None] = lambda text: None) -> None:
        """`announce` receives the store's messages for the operator."""
        self.store, self._announce = store, announce
        self._write_pending = trio.Event()
        self._waiters: dict[int, trio.Event] = {}  # by the number of the write
        self._dropped: dict[int, None] = {}  # the ids of the events whose write was dropped
        self.batch_count = self.committed_count = 0

    async def commit(self, ops: list[Op]) -> bool:
        """Returns False if the write was dropped because the disk is full and its rank is too low.

        Raises:
            StoreError: the store is read-only.
        """
        number = self.store.write(ops)
        if number is None:
            return False
        done = self._waiters[number] = trio.Event()
        self._write_pending.set()
        await done.wait()
        if id(done) in self._dropped:
            del self._dropped[id(done)]
            if self.store.read_only:
                raise StoreError(f"write not committed: {self.store.read_only}")
            return False
        return True

    async def run(self) -> None:
        """Commits pending writes until cancelled."""
        while True:
            await self._write_pending.wait()
            self._write_pending = trio.Event()
            while batch := self.store.next_batch():
                try:
                    await trio.to_thread.run_sync(self.store.write_batch, batch)
                except OSError as error:
                    self._handle_write_error(error)
                    await trio.sleep(0.05)
                    continue
                self.store.apply_batch(batch)
                self.batch_count += 1
                self.committed_count += len(batch)
                for write in batch:
                    if (event := self._waiters.pop(write.number, None)) is not None:
                        event.set()
                self._announce_events()

    def _handle_write_error(self, error: OSError) -> None:
        """Wakes the waiters of dropped writes; the other writes get new numbers, so their waiters move."""
        events = {id(write): self._waiters.pop(write.number, None) for write in self.store._pending}
        pending = list(self.store._pending)
        dropped = self.store.handle_write_error(error)
        for write in pending:
            event = events[id(write)]
            if event is None:
                continue
            if any(write is dropped_write for dropped_write in dropped):
                self._dropped[id(event)] = None
                event.set()
            else:
                self._waiters[write.number] = event
        self._announce_events()

    def _announce_events(self) -> None:
        for text in self.store.events:
            self._announce(text)
        self.store.events.clear()
