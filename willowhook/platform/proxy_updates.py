"""The decision module's orders as messages on streams: one message a proxy and moment, of what changed.

Here is the one place that knows what each stream was told.  What is ordered between two `moment_over` calls
becomes one chain of parts for each proxy concerned: the tables it is bound to, whole, or the lines of its
tables that changed; their levels; hosts to shut out or let back, with the mark.  Parts that several proxies
get are encoded once.  No I/O and no clock.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from ..decisions.runtime import AdmissionLimit
from ..decisions.settings import DeploymentSettings
from .fields import Fields
from .framing import encode_frame


class Sheet:
    """A table, and what changed in it since the last moment."""

    def __init__(self) -> None:
        self.lines: dict[str, float] = {}
        self.levels: dict[int, AdmissionLimit] = {}
        self.users: dict[int, tuple[int, ...]] = {}  # by proxy: the routes that it uses this table for
        self.moved: dict[str, float] = {}
        self.shifted: dict[int, None] = {}  # routes with another level


class Stream:
    """What the stream of a joined proxy was told."""

    def __init__(self, doubtful: bool) -> None:
        self.doubtful = doubtful  # other directors gave it orders, and may have shut hosts out of it
        self.bound: dict[int, int] = {}  # by route: its table
        self.out: dict[str, None] = {}  # shut out on this stream
        # since the last moment:
        self.anew: dict[int, None] = {}  # tables to tell whole
        self.shut: dict[str, bool] = {}  # hosts to shut out, or to let back


class Orders:
    """The part of the module's host that concerns proxies; `out` takes proxy, frames and their rows."""

    def __init__(self, settings: DeploymentSettings, out: Callable[[int, list[bytes], int], None]) -> None:
        self._names = [route.name for route in settings.routes]
        self._out = out
        self._sheets: dict[int, Sheet] = {}
        self._streams: dict[int, Stream] = {}
        self._withdrawn: dict[str, None] = {}
        self._touched: dict[int, None] = {}
        self._stamp = -1

    # Members and hosts.

    def join(self, proxy: int, fresh: bool) -> None:
        self._streams[proxy] = Stream(not fresh)

    def leave(self, proxy: int) -> None:
        stream = self._streams.pop(proxy, None)
        self._touched.pop(proxy, None)
        for table in dict.fromkeys(stream.bound.values()) if stream else ():
            self._sheets[table].users.pop(proxy, None)

    def forget_endpoint(self, host: str) -> None:
        """No list names it any more, and no table: nothing is kept of it."""
        self._withdrawn.pop(host, None)
        for stream in self._streams.values():
            stream.out.pop(host, None)

    # Orders.

    def set_weight(self, table: int, host: str, weight: float) -> None:
        sheet = self._sheet(table)
        sheet.lines.pop(host, None)
        if weight > 0:
            sheet.lines[host] = weight
        sheet.moved[host] = weight
        self._touch(sheet)

    def clear_table(self, table: int) -> None:
        sheet = self._sheet(table)
        sheet.lines.clear()
        sheet.levels.clear()
        for proxy in sheet.users:
            self._streams[proxy].anew[table] = None
        self._touch(sheet)

    def exclude_endpoint(self, endpoint: str) -> None:
        self._withdrawn[endpoint] = None
        self._withdraw(endpoint, True)

    def readmit_endpoint(self, endpoint: str) -> None:
        self._withdrawn.pop(endpoint, None)
        self._withdraw(endpoint, False)

    def _withdraw(self, host: str, on: bool) -> None:
        holding = [s for s in self._sheets.values() if host in s.lines or host in s.moved]
        for proxy, stream in self._streams.items():
            if on:
                told = not stream.bound or any(proxy in sheet.users for sheet in holding)
            else:
                told = host in stream.out or host in stream.shut or stream.doubtful
            if told:
                stream.shut[host] = on
                self._touched[proxy] = None

    def bind(self, proxy: int, table: int, routes: Sequence[int]) -> None:
        stream = self._streams.get(proxy)
        if stream is None:
            return
        self._sheet(table)
        old = dict.fromkeys(stream.bound.values())
        stream.bound.update(dict.fromkeys(routes, table))
        for number in [*old, table]:
            used = tuple(k for k, at in sorted(stream.bound.items()) if at == number)
            if used:
                self._sheets[number].users[proxy] = used
            else:
                self._sheets[number].users.pop(proxy, None)
                stream.anew.pop(number, None)
        stream.anew[table] = None
        self._touched[proxy] = None

    def exclude_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        self._shut(proxy, dict.fromkeys(endpoints, True))

    def readmit_for_proxy(self, proxy: int, endpoints: Sequence[str]) -> None:
        self._shut(proxy, dict.fromkeys(endpoints, False))

    def _shut(self, proxy: int, hosts: dict[str, bool]) -> None:
        stream = self._streams.get(proxy)
        if stream is not None:
            stream.shut.update(hosts)
            self._touched[proxy] = None

    def set_admission(self, table: int, route: int, admission: AdmissionLimit) -> None:
        sheet = self._sheet(table)
        sheet.levels[route] = admission
        sheet.shifted[route] = None
        self._touch(sheet)

    def send_sync_marker(self, marker: int) -> None:
        self._stamp = marker

    def moment_over(self) -> None:
        """Hands out what was ordered since the last moment."""
        made: dict[object, tuple[list[bytes], int]] = {}  # shared parts
        for proxy in list(self._touched):
            stream = self._streams.get(proxy)
            if stream is None:  # it broke as another was written to, and took its place here with it
                continue
            frames, rows = list[bytes](), 0
            for table in dict.fromkeys(stream.bound.values()):
                sheet, anew = self._sheets[table], table in stream.anew
                key = (table, sheet.users[proxy], anew)
                if key not in made:
                    made[key] = self._table(sheet, key[1], anew)
                frames += made[key][0]
                rows += made[key][1]
                if anew:
                    stream.shut.update((h, True) for h in sheet.lines if h in self._withdrawn)
            shut = tuple(stream.shut.items())
            if shut not in made:
                made[shut] = self._last(shut)
            if not frames and not shut and self._stamp < 0:
                continue
            self._out(proxy, frames + made[shut][0], rows + made[shut][1])
            for host, on in shut:
                stream.out.pop(host, None)
                if on:
                    stream.out[host] = None
            stream.anew.clear()
            stream.shut.clear()
        for sheet in self._sheets.values():
            sheet.moved.clear()
            sheet.shifted.clear()
        self._touched.clear()
        self._stamp = -1

    def _table(self, sheet: Sheet, used: tuple[int, ...], anew: bool) -> tuple[list[bytes], int]:
        names = [self._names[k] for k in used]
        parts: list[Fields] = []
        lines, shifted = (sheet.lines if anew else sheet.moved), (used if anew else sheet.shifted)
        rows = len(lines) + anew
        if anew or lines:
            told: Fields = {"t": "assign", "for": names, "rows": list(lines.items()), "part": True}
            parts.append({**told, "replace": True} if anew else told)
        for k in used:
            level = sheet.levels.get(k)
            if k in shifted and level is not None:
                told = {"t": "assign", "for": [self._names[k]], "part": True}
                parts.append({**told, "gate": level.limit, "again": level.retries})
                rows += 1
        return [encode_frame(part) for part in parts], rows

    def _last(self, shut: tuple[tuple[str, bool], ...]) -> tuple[list[bytes], int]:
        part: Fields = {"t": "assign"}
        for key, wish in (("drop", True), ("undrop", False)):
            hosts = [host for host, on in shut if on == wish]
            if hosts:
                part[key] = hosts
        if self._stamp >= 0:
            part["stamp"] = self._stamp
        return [encode_frame(part)], len(shut) + (self._stamp >= 0)

    def _sheet(self, table: int) -> Sheet:
        return self._sheets.setdefault(table, Sheet())

    def _touch(self, sheet: Sheet) -> None:
        self._touched.update(dict.fromkeys(sheet.users))
