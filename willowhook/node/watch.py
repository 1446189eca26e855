"""Follows discovery: one watch after the other, each asking for what is newer than the last answer."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..frames.codec import Fields, Spoilt, Unreadable, read_object
from ..web.wire import Broken, Caller, dial

# A watch waits so long for news, and an answer may be late by so much: together, how long a silent discovery
# goes unnoticed.  The wait is under what is counted as told, with room to dial and ask once more.
WAIT_MS, PATIENCE_S, DIAL_S = 2000, 1.2, 1.0
MOST = 16 << 20  # bytes of an answer


class Watch:
    """`told` is handed every answer and returns the version to ask after; `lost` hears that none came."""

    def __init__(
        self, address: tuple[str, int], told: Callable[[Fields], int], lost: Callable[[str], None], after: int
    ) -> None:
        self._address, self._told, self._lost, self._after = address, told, lost, after
        self._wanted, self._scope = trio.Event(), trio.CancelScope()
        self._whole = False
        self._caller: Caller | None = None

    def watch(self, on: bool) -> None:
        if on:
            self._wanted.set()
        else:
            self._wanted = trio.Event()

    def fetch(self) -> None:
        """The next question is for the whole list, and it is asked at once."""
        self._whole = True
        self._wanted.set()
        self._scope.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Discovery answers elsewhere from now on; what waits at the old address is let go."""
        if address != self._address:
            self._address = address
            self._scope.cancel()

    async def follow(self) -> None:
        while True:
            await self._wanted.wait()
            with trio.CancelScope() as self._scope:
                try:
                    answer = await self._ask()
                except (Broken, trio.TooSlowError, Unreadable) as fault:
                    await self._drop()
                    self._wanted = trio.Event()  # the module says when to ask again
                    self._lost(f"{type(fault).__name__}: {fault}".rstrip(": "))
                    continue
                try:
                    self._after = self._told(answer)
                    self._whole = False
                except Spoilt as fault:
                    self._wanted, self._whole = trio.Event(), True
                    self._lost(f"an answer of no use: {fault}")
            if self._scope.cancelled_caught:
                await self._drop()

    async def _ask(self) -> Fields:
        target, wait = "/v1/servers", 0.0
        if not self._whole and self._after >= 0:
            target, wait = f"{target}?after={self._after}&wait_ms={WAIT_MS}", WAIT_MS / 1000
        with trio.fail_after(wait + PATIENCE_S):
            if self._caller is None or not self._caller.usable:
                await self._drop()
                self._caller = await dial(*self._address, DIAL_S)
            reply = await self._caller.call(b"GET", target.encode(), most=MOST)
        if reply.status != 200:
            raise Broken(f"status {reply.status}", True)
        return read_object(reply.body)

    async def _drop(self) -> None:
        if self._caller is not None:
            caller, self._caller = self._caller, None
            await caller.close()
