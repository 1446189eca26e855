"""A stand-in for a proxy that runs upstream and location blocks, by the published rules, not the import.

It reads the tree of directives itself and shares only the reader of the language and the brute-force search
with the rest.  It serves locations, `return`, `proxy_pass` with and without a URI, weights in turn, least
connections, chance, hashes, backups, `max_fails`, `proxy_next_upstream`, splits, maps.
"""

from __future__ import annotations

import random
import re
import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..nginx.locations import Location, read_locations
from ..nginx.syntax import Directive
from ..web.wire import Call, ConnectionLostError, Reply
from .nginx_check import brute

Ask = Callable[[str, Call, bytes], Awaitable[Reply]]  # host, call, path; raises Broken
UNSAFE = (b"POST", b"LOCK", b"PATCH")


@dataclass(slots=True)
class Peer:
    name: str
    weight: int
    backup: bool
    most_fails: int
    now: float = 0.0  # of the turn
    out: int = 0
    fails: int = 0
    until: float = 0.0


@dataclass(slots=True)
class Pool:
    peers: list[Peer]
    how: list[str] = field(default_factory=list)

    def able(self, clock: float, tried: list[str]) -> list[Peer]:
        rows = [p for p in self.peers if p.name not in tried and p.until <= clock]
        return [p for p in rows if not p.backup] or [p for p in rows if p.backup]

    def pick(self, clock: float, tried: list[str], key: str, chance: random.Random) -> Peer | None:
        rows = self.able(clock, tried)
        if not rows:
            return None
        word = self.how[0] if self.how else ""
        if word in ("hash", "ip_hash"):
            points = [p for p in rows for _ in range(p.weight)]
            return points[zlib.crc32(f"{key}{len(tried)}".encode()) % len(points)]
        if word == "random" and len(self.how) == 1:
            return chance.choices(rows, [p.weight for p in rows])[0]
        if word in ("least_conn", "random"):
            least = min(p.out / p.weight for p in rows)
            rows = [p for p in rows if p.out / p.weight == least]
        for peer in rows:  # in turn, smoothly
            peer.now += peer.weight
        best = max(rows, key=lambda peer: peer.now)
        best.now -= sum(peer.weight for peer in rows)
        return best


class StandInNginxProxy:
    """`ask` makes one try; `clock` in seconds."""

    def __init__(self, rows: list[Directive], site: Directive, ask: Ask, clock: Callable[[], float]) -> None:
        self._ask, self._clock = ask, clock
        self._chance = random.Random(4)
        self._top = [inner for row in rows for inner in (row.block or [] if row.name == "http" else [row])]
        self._site = site.block or []
        self._locations = read_locations(self._site, lambda at, fault: None)
        self._around: dict[int, list[list[Directive]]] = {}
        self._nest(self._locations, [self._top, self._site])
        self._pools = {row.arg(0): self._pool(row) for row in self._top if row.name == "upstream"}

    def _nest(self, locations: list[Location], around: list[list[Directive]]) -> None:
        for each in locations:
            blocks = [*around, each.directive.block or []]
            self._around[id(each)] = blocks
            self._nest(each.nested, blocks)

    @staticmethod
    def _pool(row: Directive) -> Pool:
        peers: dict[str, Peer] = {}
        how: list[str] = []
        for each in row.block or []:
            words = [word.text for word in each.args]
            if each.name == "server":
                told = dict(word.partition("=")[::2] for word in words[1:])
                if "down" in told or "drain" in told:
                    continue
                name = words[0] if re.search(r":\d+$", words[0]) else f"{words[0]}:80"
                if name in peers:
                    peers[name].weight += int(told.get("weight", 1))
                    continue
                fails = int(told.get("max_fails", 1))
                peers[name] = Peer(name, int(told.get("weight", 1)), "backup" in told, fails)
            elif each.name in ("hash", "ip_hash", "least_conn", "random"):
                how = [each.name, *words]
        return Pool(list(peers.values()), how)

    def _said(self, location: Location, name: str) -> list[str]:
        """The words of the innermost block that has this directive."""
        for block in reversed(self._around[id(location)]):
            for row in block:
                if row.name == name:
                    return [word.text for word in row.args]
        return []

    def _value(self, variable: str, path: str, call: Call) -> str:
        for row in self._top:
            if row.name == "split_clients" and row.arg(1).strip("${}") == variable:
                point, total = self._chance.random() * 100, 0.0
                for each in row.block or []:
                    if each.name == "*":
                        return each.arg(0)
                    total += float(each.name.rstrip("%"))
                    if point < total:
                        return each.arg(0)
            if row.name == "map" and row.arg(1).strip("${}") == variable:
                subject = (
                    path if row.arg(0) in ("$uri", "$request_uri") else self._key(row.arg(0), path, call)
                )
                usual = ""
                for each in row.block or []:
                    if each.name == subject:
                        return each.arg(0)
                for each in row.block or []:
                    flags = re.IGNORECASE if each.name.startswith("~*") else 0
                    if each.name.startswith("~") and re.search(each.name.lstrip("~*"), subject, flags):
                        return each.arg(0)
                    if each.name == "default":
                        usual = each.arg(0)
                return usual
        return ""

    @staticmethod
    def _key(text: str, path: str, call: Call) -> str:
        target = call.target.decode("latin-1")
        if text == "$request_uri":
            return target
        if text.startswith("$http_"):
            return call.headers.get(text[6:].replace("_", "-").encode(), b"").decode()
        if text.startswith("$arg_"):
            return dict(part.partition("=")[::2] for part in target.partition("?")[2].split("&")).get(
                text[5:], ""
            )
        if text.startswith("$cookie_"):
            told = call.headers.get(b"cookie", b"").decode()
            return dict(part.strip().partition("=")[::2] for part in told.split(";")).get(text[8:], "")
        return call.headers.get(b"x-source", b"").decode()

    async def answer(self, call: Call) -> Reply:
        path, _, query = call.target.decode("latin-1").partition("?")
        location, _ = brute(self._locations, path)
        if location is None:
            return Reply(404)
        block = location.directive.block or []
        for row in block:
            if row.name == "return":
                return Reply(int(row.arg(0)) if row.arg(0).isdigit() else 302)
        passes = next((row.arg(0) for row in block if row.name == "proxy_pass"), None)
        if passes is None:
            return Reply(404)
        rest = passes.partition("://")[2]
        for tail in ("$request_uri", "$uri$is_args$args"):
            rest = rest.removesuffix(tail)
        name, slash, uri = rest.partition("/")
        if name.startswith("$"):
            name = self._value(name.strip("${}"), path, call)
        asked = path
        for row in block:
            if row.name == "rewrite" and row.arg(2) == "break":
                asked = re.sub(row.arg(0), row.arg(1).replace("$", "\\"), asked, count=1)
        if slash and location.regex is None:
            asked = slash + uri + path[len(location.pattern) :]
        pool = self._pools.get(name) or Pool([Peer(name if ":" in name else f"{name}:80", 1, False, 1)])
        self._pools.setdefault(name, pool)
        return await self._pass(location, pool, call, asked + ("?" + query if query else ""))

    async def _pass(self, location: Location, pool: Pool, call: Call, asked: str) -> Reply:
        after = self._said(location, "proxy_next_upstream") or ["error", "timeout"]
        told = self._said(location, "proxy_next_upstream_tries")
        most = int(told[0]) if told and int(told[0]) else len(pool.peers)
        # else tried again only where nothing was sent
        safe_only = call.method in UNSAFE and "non_idempotent" not in after
        key = self._key(pool.how[1], asked, call) if pool.how[:1] == ["hash"] else self._key("", asked, call)
        tried: list[str] = []
        reply = Reply(502)
        while len(tried) < most:
            peer = pool.pick(self._clock(), tried, key, self._chance)
            if peer is None:
                return reply
            tried.append(peer.name)
            peer.out += 1
            try:
                reply = await self._ask(peer.name, call, asked.encode("latin-1"))
                peer.fails = 0
                failed, sent = f"http_{reply.status}" in after, True
            except ConnectionLostError as fault:
                reply, failed, sent = Reply(502), "error" in after, fault.sent
                peer.fails += 1
                if peer.most_fails and peer.fails >= peer.most_fails:
                    peer.until = self._clock() + 10.0
            finally:
                peer.out -= 1
            if not failed or "off" in after or (safe_only and sent):
                return reply
        return reply
