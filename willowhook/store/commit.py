"""Group commit: one sync for all who wait, in a thread, with what arrives meanwhile as the next group."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .store import Op, Store, StoreError


class Committer:
    """`commit` returns when it is on disk.  `say(text)` is told of what an operator is to know."""

    def __init__(self, store: Store, say: Callable[[str], None] = lambda text: None) -> None:
        self.store, self._say = store, say
        self._news = trio.Event()
        self._waits: dict[int, trio.Event] = {}
        self._lost: dict[int, None] = {}
        self.batch_count = self.committed_count = 0

    async def commit(self, ops: list[Op]) -> bool:
        """False: it was dropped, as the disk is full and this is not dear enough.  Raises StoreError."""
        number = self.store.write(ops)
        if number is None:
            return False
        done = self._waits[number] = trio.Event()
        self._news.set()
        await done.wait()
        if id(done) in self._lost:
            del self._lost[id(done)]
            if self.store.read_only:
                raise StoreError(f"not kept: {self.store.read_only}")
            return False
        return True

    async def run(self) -> None:
        while True:
            await self._news.wait()
            self._news = trio.Event()
            while batch := self.store.next_batch():
                try:
                    await trio.to_thread.run_sync(self.store.write_batch, batch)
                except OSError as fault:
                    self._failed(fault)
                    await trio.sleep(0.05)
                    continue
                self.store.apply_batch(batch)
                self.batch_count += 1
                self.committed_count += len(batch)
                for each in batch:
                    if (event := self._waits.pop(each.number, None)) is not None:
                        event.set()
                self._tell()

    def _failed(self, fault: OSError) -> None:
        events = {id(each): self._waits.pop(each.number, None) for each in self.store._waiting}
        waiting = list(self.store._waiting)
        gone = self.store.handle_write_error(fault)
        for each in waiting:
            event = events[id(each)]
            if event is None:
                continue
            if any(each is row for row in gone):
                self._lost[id(event)] = None
                event.set()
            else:
                self._waits[each.number] = event
        self._tell()

    def _tell(self) -> None:
        for text in self.store.events:
            self._say(text)
        self.store.events.clear()
