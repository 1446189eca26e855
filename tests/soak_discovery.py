"""Service discovery of the soak test: its list changes, and its answers can be late, wrong or missing."""

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

# Limits given by the protocol: a lost answer counts as received this long after its request was sent or, if
# the request may wait, after its wait has ended.
LOST_ANSWER_RECEIVED_S = 6.0
LOST_CHANGES_RECEIVED_S = 2.0

WATCH = re.compile(rb"GET /v1/servers(?:\?after=(\d+)&wait_ms=(\d+))? ")


class AnswerMode(Enum):
    """How service discovery answers a request."""

    GOOD = "good"
    LATE = "late"
    PIECES = "in pieces"
    EMPTY = "an empty list"
    BACKWARDS = "versions that go backwards"
    SILENT = "not at all"
    RESET = "connections closed"


@dataclass
class ListedEndpoint:
    """An endpoint in its actual state, which the controllers may not have learned yet.

    Attributes:
        name: its name in the endpoint list.
        number: determines its zone and endpoint class.
        health: "active", "leaving" or "left".
        started_at_ms: when its process last started, in Unix time; 0: long ago, so it is warm.
        changed_version: the version of the list that contains its last change.
    """

    name: str
    number: int
    health: str = "active"
    started_at_ms: float = 0.0
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
            "born_ms": self.started_at_ms,
        }

    @property
    def endpoint_class(self) -> str:
        return "fast" if self.number % 3 != 2 else "std"


class SentList(NamedTuple):
    """An endpoint list that was sent to a controller.

    Attributes:
        version: the version of its entries.
        stated_version: the version that it states; a controller ignores one lower than its own.
        requested_at: when the controller sent the request.
        sent_at: when the answer had been sent.
    """

    version: int
    stated_version: int
    requested_at: float
    sent_at: float


@dataclass
class SoakDiscovery:
    """One endpoint list for all controllers, with a record of what each controller was sent.

    Attributes:
        random: the generator of the delays.
        sends_changes: whether a watch is answered with the changed entries only.
        answer_delay_s: how long it works on each request, after the wait for a change.
        endpoints: the endpoints by name, including those that have left.
        version: the present version of the list.
        mode: how requests are answered.
        sent_lists: the lists sent to each controller.
        lost_lists: the lists in lost answers to each controller; sent when they count as received.
    """

    random: random.Random
    sends_changes: bool
    answer_delay_s: float = 0.0
    endpoints: dict[str, ListedEndpoint] = field(default_factory=dict)
    version: int = 1
    mode: AnswerMode = AnswerMode.GOOD
    sent_lists: dict[str, list[SentList]] = field(default_factory=dict)
    lost_lists: dict[str, list[SentList]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._changed = trio.Event()

    def change(self, name: str, health: str, started_at_ms: float | None = None) -> None:
        """Changes the state of an endpoint, or adds the endpoint, and wakes all watches."""
        self.version += 1
        endpoint = self.endpoints.setdefault(name, ListedEndpoint(name, len(self.endpoints)))
        endpoint.health = health
        endpoint.changed_version = self.version
        if started_at_ms is not None:
            endpoint.started_at_ms = started_at_ms
        self._changed.set()
        self._changed = trio.Event()

    def sent_list_at(self, controller: str, version: int, started_at: float = 0.0) -> float | None:
        """Returns when a controller was first sent a valid list of at least this version; None: not yet.

        Requests made before `started_at` came from an earlier process of the controller. Their answers are
        skipped, even if they were sent after the restart, because the present process never received them.
        """
        highest_stated = 0
        for sent in self.sent_lists.get(controller, []):
            if sent.requested_at < started_at or sent.stated_version < highest_stated:
                continue
            if sent.version >= version:
                return sent.sent_at
            highest_stated = sent.stated_version
        return None

    def received_list_at(self, controller: str, version: int, started_at: float = 0.0) -> float | None:
        """Returns when a controller received this version, or counts as having received it; None: not yet.

        As `sent_list_at`, but a lost answer counts as well.
        """
        lost = self.lost_lists.get(controller, [])
        times = [each.sent_at for each in lost if each.requested_at >= started_at and each.version >= version]
        sent_at = self.sent_list_at(controller, version, started_at)
        return min([*times, *([sent_at] if sent_at is not None else [])], default=None)

    def has_sent_list_since(self, controller: str, time: float) -> bool:
        """Returns whether a controller was sent a list that it requested at or after this time."""
        return any(each.requested_at >= time for each in self.sent_lists.get(controller, []))

    async def serve(
        self, controller: str, port: int, task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serves one controller on its own port."""
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
        """Answers one request; returns False if the connection must be closed."""
        match = WATCH.match(request)
        assert match, request
        after = int(match[1]) if match[1] else None
        requested_at = trio.current_time()
        if after == self.version and self.mode is not AnswerMode.BACKWARDS:
            with trio.move_on_after(int(match[2]) / 1000):
                await self._changed.wait()
        mode = self.mode
        if mode is AnswerMode.RESET:
            return False
        if mode is AnswerMode.SILENT:
            self._record_lost_list(controller, requested_at, int(match[2]) / 1000 if match[2] else None)
            await trio.sleep(60)
            return False
        await trio.sleep(self.answer_delay_s)
        if mode is AnswerMode.LATE:
            await trio.sleep(self.random.uniform(0.1, 0.9))
        version = self.version
        sent_list = self._build_list(mode, after)
        body = json.dumps(sent_list).encode()
        answer = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)
        for piece in self._split_answer(mode, answer):
            await stream.send_all(piece)
            if mode is AnswerMode.PIECES:
                await trio.sleep(self.random.uniform(0.0, 0.04))
        if mode is not AnswerMode.EMPTY:
            self.sent_lists.setdefault(controller, []).append(
                SentList(version, sent_list["seq"], requested_at, trio.current_time())
            )
        return True

    def _record_lost_list(self, controller: str, requested_at: float, wait_s: float | None) -> None:
        delay_s = LOST_ANSWER_RECEIVED_S if wait_s is None else wait_s + LOST_CHANGES_RECEIVED_S
        self.lost_lists.setdefault(controller, []).append(
            SentList(self.version, self.version, requested_at, requested_at + delay_s)
        )

    def _build_list(self, mode: AnswerMode, after: int | None) -> Fields:
        if mode is AnswerMode.EMPTY:
            return {"seq": self.version, "whole": True, "hosts": []}
        seq = self.version if mode is not AnswerMode.BACKWARDS else max(self.version - 3, 1)
        if after is not None and self.sends_changes and mode is not AnswerMode.BACKWARDS:
            changed = [each for each in self.endpoints.values() if each.changed_version > after]
            return {"seq": seq, "whole": False, "hosts": [each.entry() for each in changed]}
        listed = [each for each in self.endpoints.values() if each.health != "left"]
        return {"seq": seq, "whole": True, "hosts": [each.entry() for each in listed]}

    def _split_answer(self, mode: AnswerMode, answer: bytes) -> Iterator[bytes]:
        size = len(answer) if mode is not AnswerMode.PIECES else max(len(answer) // 12, 1)
        for start in range(0, len(answer), size):
            yield answer[start : start + size]
