"""Follows the roster for the deciding task: every list that is news, and every failure to get one."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import trio

from ..config.terms import Terms
from ..files.layout import LIST
from ..files.ops import FileOps
from ..files.swap import read_at, swap_file
from ..roster.forms import Host, RosterError, read_hosts
from ..roster.reader import Roster


class ListFeed:
    """`listed` and `lost` hand on to the deciding task; `mode` logs when a trouble begins and ends."""

    def __init__(
        self, terms: Terms, folder: str, ops: FileOps, mode: Callable[..., None],
        listed: Callable[[list[Host]], Awaitable[None]], lost: Callable[[], Awaitable[None]],
    ) -> None:  # fmt: skip
        self._terms, self._folder, self._ops, self._mode = terms, folder, ops, mode
        self._listed, self._lost = listed, lost
        self._wanted, self._whole = trio.Event(), trio.Event()
        if not terms.roster.subscribe:
            self._wanted.set()

    def last(self) -> list[Host]:
        """The list as this folder last had it, maybe stale."""
        try:
            return read_hosts(read_at(None, f"{self._folder}/{LIST}", 1 << 26))
        except (OSError, RosterError):
            return []

    def watch(self, on: bool) -> None:
        if on:
            self._wanted.set()
        else:
            self._wanted = trio.Event()

    def fetch(self) -> None:
        self._whole.set()

    async def _ask(self, roster: Roster, whole: bool) -> bool:
        """One question; False if it failed."""
        try:
            hosts = await roster.ask(whole)
        except RosterError as fault:
            self._mode("roster", True, "no list from the roster", cause=str(fault))
            return False
        self._mode("roster", False, "the roster answers again")
        if hosts is not None:
            await self._listed(hosts)
            self._keep(roster.body)
        return True

    def _keep(self, body: bytes) -> None:
        try:
            swap_file(self._ops, self._folder, LIST, body)
        except OSError as fault:
            self._mode("list", True, "the list cannot be kept", cause=str(fault))
        else:
            self._mode("list", False, "the list can be kept again")

    def _roster(self) -> Roster:
        terms = self._terms.roster
        waits = (terms.wait_ms / 1000, terms.timeout_ms / 1000)
        return Roster(terms.url, terms.service, *waits, agent=self._terms.name)

    async def follow(self) -> None:
        """Whole lists, as they change, for as long as they are wanted."""
        roster, whole = self._roster(), True
        while True:
            await self._wanted.wait()
            if await self._ask(roster, whole):
                whole = False
                continue
            whole = True
            if self._terms.roster.subscribe:  # the module says when to ask again
                self._wanted = trio.Event()
                await self._lost()
            else:
                await trio.sleep(1.0)

    async def fetch_whole(self) -> None:
        """One whole list each time that one is asked for."""
        roster: Any = self._roster()
        while True:
            await self._whole.wait()
            self._whole = trio.Event()
            if not await self._ask(roster, True):
                await self._lost()
