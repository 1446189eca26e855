"""Outcomes of calls, kept: what is about to be tried is on disk before it leaves, what became of it after.

For whoever makes the tries.  After a crash `pending` are the calls whose outcome was not told, each with what
is known of it; `repeat` says what may be done about it.
"""

from __future__ import annotations

import msgspec

from .commit import Committer
from .outcomes import IN_FLIGHT, NOT_EXECUTED, RequestRecord, after_recovery
from .store import Op, Store

SPACE = "outcomes"


class Line(msgspec.Struct, array_like=True):
    """As it is written."""

    semantics: str
    group: str
    window: int
    first_out: int
    tries: dict[int, str]
    groups: dict[int, str]
    answer: bytes
    told: bool = False  # to whoever made the call


_encode = msgspec.msgpack.Encoder().encode
_line = msgspec.msgpack.Decoder(Line)


class RequestLedger:
    """Raises StoreError where something cannot be kept: then nothing may leave."""

    def __init__(self, store: Store, committer: Committer) -> None:
        self._store, self._committer = store, committer
        self._calls: dict[str, tuple[RequestRecord, bool]] = {}

    def request(self, call: str) -> RequestRecord:
        """What is known of a call, now or after a recovery."""
        held = self._calls.get(call)
        if held is not None:
            return held[0]
        entry = self._store.get(SPACE, call)
        if entry is None:
            made, told = after_recovery(None, self._store.has_lost_entries), False
        else:
            row = _line.decode(entry.value)
            found = RequestRecord(
                row.semantics, row.group, row.window, row.first_out, row.tries, row.groups, row.answer
            )
            made, told = after_recovery(found, self._store.has_lost_entries), row.told
        self._calls[call] = (made, told)
        return made

    def unreported(self) -> list[str]:
        """Calls whose outcome was not told, in the order in which they were last written."""
        return [key for key, entry in self._store.by_time(SPACE) if not _line.decode(entry.value).told]

    async def begin(self, call: str, semantics: str, at: int, group: str = "", window: int = 0) -> None:
        self._calls[call] = (RequestRecord(semantics, group, window), False)
        await self._keep(call, at)

    async def start_attempt(self, call: str, at: int, group: str = "") -> int:
        """A try may leave when this returns; its number."""
        known = self.request(call)
        number = 1 + max(known.tries, default=-1)
        known.start_attempt(number, at, group)
        await self._keep(call, at)
        return number

    async def end_attempt(self, call: str, number: int, what: str, at: int, answer: bytes = b"") -> None:
        self.request(call).end_attempt(number, what, answer)
        await self._keep(call, at)

    async def cancel_attempt(self, call: str, number: int, at: int) -> None:
        """The try was written down and then did not leave after all."""
        if self.request(call).tries.get(number) == IN_FLIGHT:
            await self.end_attempt(call, number, NOT_EXECUTED, at)

    async def mark_reported(self, call: str, at: int) -> None:
        """Its outcome has been given to whoever made it."""
        self._calls[call] = (self.request(call), True)
        await self._keep(call, at)
        self._calls.pop(call, None)

    async def _keep(self, call: str, at: int) -> None:
        known, told = self._calls[call]
        row = Line(known.semantics, known.group, known.window, known.first_out, known.tries, known.groups,
                   known.answer, told)  # fmt: skip
        await self._committer.commit([Op(SPACE, call, at, _encode(row))])
