"""Service discovery of the soak: its list changes, and it answers well, late, wrongly or not at all."""

from __future__ import annotations

import json
import random
import re
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from typing import Any, NamedTuple

import trio

from willowhook.platform.fields import Fields

WATCH = re.compile(rb"GET /v1/servers(?:\?after=(\d+)&wait_ms=(\d+))? ")


class AnswerMode(Enum):
    """How discovery answers."""

    GOOD = "good"
    LATE = "late"
    PIECES = "in pieces"
    EMPTY = "an empty list"
    BACKWARDS = "versions that go backwards"
    SILENT = "not at all"
    RESET = "connections closed"


@dataclass
class ListedEndpoint:
    """An endpoint as it really is.

    Attributes:
        name: in the list.
        number: its zone and class follow from it.
        health: active, leaving or left.
        born_ms: its last start, in Unix time; 0: long ago.
        changed_version: the version of the list that had its last change.
    """

    name: str
    number: int
    health: str = "active"
    born_ms: float = 0.0
    changed_version: int = 1

    def entry(self) -> Fields:
        return {
            "host": self.name,
            "dial": f"127.0.0.1:{1 + self.number}",
            "site": ("north", "south")[self.number % 2],
            "class": self.endpoint_class,
            "block": self.number,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    @property
    def endpoint_class(self) -> str:
        return "fast" if self.number % 3 != 2 else "std"


class WrittenList(NamedTuple):
    """A list that was written to a controller.

    Attributes:
        version: of what it holds.
        named_version: as it says; a list that names a lower one than the process holds is not believed.
        asked_at: when the controller asked for it.
        at: when it was written.
    """

    version: int
    named_version: int
    asked_at: float
    at: float


@dataclass
class SoakDiscovery:
    """One list for all controllers; what each was told of it is recorded.

    Attributes:
        random: draws the delays.
        sends_changes: whether a watch is answered with the entries that changed, not with all.
        endpoints: by name, with those that have left.
        version: of the list.
        mode: how it answers.
        told: by controller, the lists that were written to it.
    """

    random: random.Random
    sends_changes: bool
    endpoints: dict[str, ListedEndpoint] = field(default_factory=dict)
    version: int = 1
    mode: AnswerMode = AnswerMode.GOOD
    told: dict[str, list[WrittenList]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._changed = trio.Event()

    def change(self, name: str, health: str, born_ms: float | None = None) -> None:
        """Changes an endpoint, or adds one."""
        self.version += 1
        endpoint = self.endpoints.setdefault(name, ListedEndpoint(name, len(self.endpoints)))
        endpoint.health = health
        endpoint.changed_version = self.version
        if born_ms is not None:
            endpoint.born_ms = born_ms
        self._changed.set()
        self._changed = trio.Event()

    def told_at(self, controller: str, version: int, started_at: float = 0.0) -> float | None:
        """When a controller was first written a believable list with this version or a later one.

        What the process asked for that was killed before this one started is not known to this one, also if
        it was written later.
        """
        highest_named = 0
        for each in self.told.get(controller, []):
            if each.asked_at < started_at or each.named_version < highest_named:
                continue
            if each.version >= version:
                return each.at
            highest_named = each.named_version
        return None

    def has_told_since(self, controller: str, time: float) -> bool:
        """Whether a controller was written a list that it asked for after this time."""
        return any(each.asked_at >= time for each in self.told.get(controller, []))

    async def serve(
        self, controller: str, port: int, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves one controller at a port of its own."""
        handler = partial(self._answer_connection, controller)
        await trio.serve_tcp(handler, port, host="127.0.0.1", task_status=task_status)

    async def _answer_connection(self, controller: str, stream: trio.SocketStream) -> None:
        received = b""
        try:
            while True:
                while b"\r\n\r\n" not in received:
                    data = await stream.receive_some(4096)
                    if not data:
                        return
                    received += data
                request, _, received = received.partition(b"\r\n\r\n")
                if not await self._answer(controller, stream, request):
                    return
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    async def _answer(self, controller: str, stream: trio.SocketStream, request: bytes) -> bool:
        """Answers one request; False if the connection is to be closed."""
        match = WATCH.match(request)
        assert match, request
        after = int(match[1]) if match[1] else None
        asked_at = trio.current_time()
        if after == self.version and self.mode is not AnswerMode.BACKWARDS:
            with trio.move_on_after(int(match[2]) / 1000):
                await self._changed.wait()
        mode = self.mode
        if mode is AnswerMode.RESET:
            return False
        if mode is AnswerMode.SILENT:
            await trio.sleep(60)
            return False
        if mode is AnswerMode.LATE:
            await trio.sleep(self.random.uniform(0.1, 0.9))
        version = self.version
        answered = self._list(mode, after)
        body = json.dumps(answered).encode()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        for piece in self._pieces(mode, answer):
            await stream.send_all(piece)
            if mode is AnswerMode.PIECES:
                await trio.sleep(self.random.uniform(0.0, 0.04))
        if mode is not AnswerMode.EMPTY:
            self.told.setdefault(controller, []).append(
                WrittenList(version, answered["seq"], asked_at, trio.current_time())
            )
        return True

    def _list(self, mode: AnswerMode, after: int | None) -> Fields:
        if mode is AnswerMode.EMPTY:
            return {"seq": self.version, "whole": True, "hosts": []}
        seq = self.version if mode is not AnswerMode.BACKWARDS else max(self.version - 3, 1)
        if after is not None and self.sends_changes and mode is not AnswerMode.BACKWARDS:
            changed = [each for each in self.endpoints.values() if each.changed_version > after]
            return {"seq": seq, "whole": False, "hosts": [each.entry() for each in changed]}
        listed = [each for each in self.endpoints.values() if each.health != "left"]
        return {"seq": seq, "whole": True, "hosts": [each.entry() for each in listed]}

    def _pieces(self, mode: AnswerMode, answer: bytes) -> Iterator[bytes]:
        size = len(answer) if mode is not AnswerMode.PIECES else max(len(answer) // 12, 1)
        for start in range(0, len(answer), size):
            yield answer[start : start + size]
