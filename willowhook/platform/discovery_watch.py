"""Follows discovery: one watch after the other, each asking for what is newer than the last answer."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..web.wire import Broken, Caller, Reply, dial
from .endpoint_list import change_request_target, list_request_target
from .fields import FieldError, Fields
from .framing import FramingError, decode_object

# A watch waits so long for news, and an answer may be late by so much: together, how long a silent discovery
# goes unnoticed.  The wait is under what is counted as told, with room to dial and ask once more.
WAIT_MS, PATIENCE_S, DIAL_S = 2000, 1.2, 1.0
# Between questions when an answer at once brought nothing: under the 200 ms within which a watch goes on.
PAUSE_S = 0.1
CLOSING_S = 0.1  # a question on a connection that had just been closed fails within this, on any network here
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
        self._at = address  # of the caller

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
        """Discovery answers elsewhere from now on, and is asked there at once; the old address is let go."""
        if address != self._address:
            self._address = address
            self._wanted.set()  # a pause was for the old address: the new one has not failed
            self._scope.cancel()

    async def follow(self) -> None:
        while True:
            await self._wanted.wait()
            with trio.CancelScope() as self._scope:
                await self._turn()
            if self._scope.cancelled_caught:
                await self._drop()

    async def _turn(self) -> None:
        """One question and its answer; a wish for the whole list that comes meanwhile is for the next."""
        whole, self._whole = self._whole or self._after < 0, False
        address, began, answer = self._address, trio.current_time(), None
        try:
            answer = await self._ask(whole)
        except (Broken, trio.TooSlowError, FramingError) as fault:
            with trio.CancelScope(shield=True):  # a move just now must not swallow that it was lost
                await self._drop()
            if address == self._address:
                self._wanted = trio.Event()  # the module says when to ask again
                self._lost(f"{type(fault).__name__}: {fault}".rstrip(": "))
            return
        finally:
            if answer is None:
                self._whole = self._whole or whole
        held = self._after
        try:
            self._after = self._told(answer)
        except FieldError as fault:
            self._wanted, self._whole = trio.Event(), True
            self._lost(f"an answer of no use: {fault}")
        else:
            if self._after == held and trio.current_time() - began < PAUSE_S:
                await trio.sleep(PAUSE_S)  # a discovery that answers at once with nothing new, for ever

    async def _ask(self, whole: bool) -> Fields:
        target, wait = list_request_target(), 0.0
        if not whole:
            target, wait = change_request_target(self._after, WAIT_MS), WAIT_MS / 1000
        with trio.fail_after(wait + PATIENCE_S):
            reply = await self._call(target.encode())
        if reply.status != 200:
            raise Broken(f"status {reply.status}", True)
        return decode_object(reply.body)

    async def _call(self, target: bytes) -> Reply:
        if self._caller is not None and self._caller.usable and self._at == self._address:
            began = trio.current_time()
            try:
                return await self._caller.call(b"GET", target, most=MOST)
            except Broken:
                if trio.current_time() - began > CLOSING_S:
                    raise
                # the other side closed an idle connection as the question was written: it is asked anew
        await self._drop()
        self._at = self._address
        self._caller = await dial(*self._at, DIAL_S)
        return await self._caller.call(b"GET", target, most=MOST)

    async def _drop(self) -> None:
        if self._caller is not None:
            caller, self._caller = self._caller, None
            await caller.close()
