"""Stores the outcomes of requests: each attempt is on disk before it is sent, its result after it ended.

For a client that sends attempts. After a crash, `unreported` lists the requests whose outcome was not
reported to the caller, and the `retry_decision` of a request's record says whether it may be attempted again.
"""

from __future__ import annotations

import msgspec

from .commit import Committer
from .outcomes import IN_FLIGHT, NOT_EXECUTED, RequestRecord, after_recovery
from .store import Op, Store

SPACE = "outcomes"


class StoredRequest(msgspec.Struct, array_like=True):
    """The stored form of a request's record; the order and types of the fields are the format."""

    semantics: str
    group: str
    window: int
    first_out: int
    tries: dict[int, str]
    groups: dict[int, str]
    answer: bytes
    reported: bool = False  # whether the caller has received the outcome


_encode = msgspec.msgpack.Encoder().encode
_request_decoder = msgspec.msgpack.Decoder(StoredRequest)


class RequestLedger:
    """The stored requests.

    Raises StoreError if the store is read-only: then nothing may be sent. A write that the store drops
    because the disk is full and the rank of `SPACE` is too low raises nothing, so the store must give
    `SPACE` the highest rank.
    """

    def __init__(self, store: Store, committer: Committer) -> None:
        self._store, self._committer = store, committer
        self._requests: dict[str, tuple[RequestRecord, bool]] = {}

    def request(self, key: str) -> RequestRecord:
        """Returns what is known of a request, now or after a recovery."""
        cached = self._requests.get(key)
        if cached is not None:
            return cached[0]
        entry = self._store.get(SPACE, key)
        if entry is None:
            record, reported = after_recovery(None, self._store.has_lost_entries), False
        else:
            stored = _request_decoder.decode(entry.value)
            known = RequestRecord(
                stored.semantics,
                stored.group,
                stored.window,
                stored.first_out,
                stored.tries,
                stored.groups,
                stored.answer,
            )
            record, reported = after_recovery(known, self._store.has_lost_entries), stored.reported
        self._requests[key] = (record, reported)
        return record

    def unreported(self) -> list[str]:
        """Returns the requests whose outcome was not reported, in the order of their last write."""
        return [
            key
            for key, entry in self._store.by_time(SPACE)
            if not _request_decoder.decode(entry.value).reported
        ]

    async def begin(self, key: str, semantics: str, now: int, group: str = "", window: int = 0) -> None:
        """Stores a new request."""
        self._requests[key] = (RequestRecord(semantics, group, window), False)
        await self._commit(key, now)

    async def start_attempt(self, key: str, now: int, group: str = "") -> int:
        """Returns the number of a new attempt, which may be sent from then on."""
        record = self.request(key)
        number = 1 + max(record.tries, default=-1)
        record.start_attempt(number, now, group)
        await self._commit(key, now)
        return number

    async def end_attempt(self, key: str, number: int, state: str, now: int, response: bytes = b"") -> None:
        """Stores the result of an attempt."""
        self.request(key).end_attempt(number, state, response)
        await self._commit(key, now)

    async def cancel_attempt(self, key: str, number: int, now: int) -> None:
        """Stores that an attempt was not sent after all."""
        if self.request(key).tries.get(number) == IN_FLIGHT:
            await self.end_attempt(key, number, NOT_EXECUTED, now)

    async def mark_reported(self, key: str, now: int) -> None:
        """Stores that the outcome was reported to the caller."""
        self._requests[key] = (self.request(key), True)
        await self._commit(key, now)
        self._requests.pop(key, None)

    async def _commit(self, key: str, now: int) -> None:
        record, reported = self._requests[key]
        stored = StoredRequest(record.semantics, record.group, record.window, record.first_out, record.tries,
                               record.groups, record.answer, reported)  # fmt: skip
        await self._committer.commit([Op(SPACE, key, now, _encode(stored))])
