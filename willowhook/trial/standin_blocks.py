"""A stand-in for nginx as a proxy: it runs upstream and location blocks by the published rules.

It reads the tree of directives itself and does not use the import; they share only the parser and the
exhaustive search for a location. It has locations, `return`, `proxy_pass` with and without a URI, round
robin with weights, least connections, random choice, hashes, backups, `max_fails`, `proxy_next_upstream`,
splits and maps.
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

# endpoint, request, path; raises ConnectionLostError
SendRequest = Callable[[str, Call, bytes], Awaitable[Reply]]
NON_IDEMPOTENT_METHODS = (b"POST", b"LOCK", b"PATCH")


@dataclass(slots=True)
class Peer:
    """A server of an upstream block."""

    name: str
    weight: int
    backup: bool
    max_failures: int
    current_weight: float = 0.0  # of smooth weighted round robin
    open_requests: int = 0
    failures: int = 0
    unavailable_until: float = 0.0  # after `max_fails`


@dataclass(slots=True)
class UpstreamPool:
    """An upstream block: its servers and its balancing method, with arguments."""

    peers: list[Peer]
    method: list[str] = field(default_factory=list)

    def available(self, clock: float, tried: list[str]) -> list[Peer]:
        """The servers that were not tried and are available; backups only if there is no other."""
        peers = [p for p in self.peers if p.name not in tried and p.unavailable_until <= clock]
        return [p for p in peers if not p.backup] or [p for p in peers if p.backup]

    def pick(self, clock: float, tried: list[str], key: str, rng: random.Random) -> Peer | None:
        """Chooses the server of the next attempt."""
        peers = self.available(clock, tried)
        if not peers:
            return None
        method_name = self.method[0] if self.method else ""
        if method_name in ("hash", "ip_hash"):
            points = [peer for peer in peers for _ in range(peer.weight)]
            return points[zlib.crc32(f"{key}{len(tried)}".encode()) % len(points)]
        if method_name == "random" and len(self.method) == 1:
            return rng.choices(peers, [peer.weight for peer in peers])[0]
        if method_name in ("least_conn", "random"):
            fewest = min(peer.open_requests / peer.weight for peer in peers)
            peers = [peer for peer in peers if peer.open_requests / peer.weight == fewest]
        for peer in peers:  # smooth weighted round robin
            peer.current_weight += peer.weight
        best = max(peers, key=lambda peer: peer.current_weight)
        best.current_weight -= sum(peer.weight for peer in peers)
        return best


class StandInNginxProxy:
    """Serves one server block; `send` makes one attempt, `clock` gives seconds."""

    def __init__(
        self, directives: list[Directive], server: Directive, send: SendRequest, clock: Callable[[], float]
    ) -> None:
        self._send, self._clock = send, clock
        self._rng = random.Random(4)
        self._http_directives = [
            inner
            for directive in directives
            for inner in (directive.block or [] if directive.name == "http" else [directive])
        ]
        self._server_directives = server.block or []
        self._locations = read_locations(self._server_directives, lambda position, error: None)
        self._enclosing_blocks: dict[int, list[list[Directive]]] = {}
        self._index_locations(self._locations, [self._http_directives, self._server_directives])
        self._pools = {
            directive.arg(0): self._pool(directive)
            for directive in self._http_directives
            if directive.name == "upstream"
        }

    def _index_locations(self, locations: list[Location], enclosing: list[list[Directive]]) -> None:
        for location in locations:
            blocks = [*enclosing, location.directive.block or []]
            self._enclosing_blocks[id(location)] = blocks
            self._index_locations(location.nested, blocks)

    @staticmethod
    def _pool(directive: Directive) -> UpstreamPool:
        peers: dict[str, Peer] = {}
        method: list[str] = []
        for inner in directive.block or []:
            words = [word.text for word in inner.args]
            if inner.name == "server":
                options = dict(word.partition("=")[::2] for word in words[1:])
                if "down" in options or "drain" in options:
                    continue
                name = words[0] if re.search(r":\d+$", words[0]) else f"{words[0]}:80"
                if name in peers:
                    peers[name].weight += int(options.get("weight", 1))
                    continue
                max_failures = int(options.get("max_fails", 1))
                peers[name] = Peer(name, int(options.get("weight", 1)), "backup" in options, max_failures)
            elif inner.name in ("hash", "ip_hash", "least_conn", "random"):
                method = [inner.name, *words]
        return UpstreamPool(list(peers.values()), method)

    def _directive_arguments(self, location: Location, name: str) -> list[str]:
        """The arguments of this directive in the innermost block that has it."""
        for block in reversed(self._enclosing_blocks[id(location)]):
            for directive in block:
                if directive.name == name:
                    return [word.text for word in directive.args]
        return []

    def _value(self, variable: str, path: str, call: Call) -> str:
        """The value of a `split_clients` or `map` variable; empty if it has none."""
        for directive in self._http_directives:
            if directive.name == "split_clients" and directive.arg(1).strip("${}") == variable:
                draw, upper_bound = self._rng.random() * 100, 0.0
                for entry in directive.block or []:
                    if entry.name == "*":
                        return entry.arg(0)
                    upper_bound += float(entry.name.rstrip("%"))
                    if draw < upper_bound:
                        return entry.arg(0)
            if directive.name == "map" and directive.arg(1).strip("${}") == variable:
                subject = (
                    path
                    if directive.arg(0) in ("$uri", "$request_uri")
                    else self._key(directive.arg(0), path, call)
                )
                default = ""
                for entry in directive.block or []:
                    if entry.name == subject:
                        return entry.arg(0)
                for entry in directive.block or []:
                    flags = re.IGNORECASE if entry.name.startswith("~*") else 0
                    if entry.name.startswith("~") and re.search(entry.name.lstrip("~*"), subject, flags):
                        return entry.arg(0)
                    if entry.name == "default":
                        default = entry.arg(0)
                return default
        return ""

    @staticmethod
    def _key(text: str, path: str, call: Call) -> str:
        """The value of a variable that a hash or a map uses; else the address of the client."""
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
            cookies = call.headers.get(b"cookie", b"").decode()
            return dict(part.strip().partition("=")[::2] for part in cookies.split(";")).get(text[8:], "")
        return call.headers.get(b"x-source", b"").decode()

    async def answer(self, call: Call) -> Reply:
        """Serves a request."""
        path, _, query = call.target.decode("latin-1").partition("?")
        location, _ = brute(self._locations, path)
        if location is None:
            return Reply(404)
        block = location.directive.block or []
        for directive in block:
            if directive.name == "return":
                return Reply(int(directive.arg(0)) if directive.arg(0).isdigit() else 302)
        target = next((directive.arg(0) for directive in block if directive.name == "proxy_pass"), None)
        if target is None:
            return Reply(404)
        address = target.partition("://")[2]
        for suffix in ("$request_uri", "$uri$is_args$args"):
            address = address.removesuffix(suffix)
        name, slash, uri = address.partition("/")
        if name.startswith("$"):
            name = self._value(name.strip("${}"), path, call)
        upstream_path = path
        for directive in block:
            if directive.name == "rewrite" and directive.arg(2) == "break":
                upstream_path = re.sub(
                    directive.arg(0), directive.arg(1).replace("$", "\\"), upstream_path, count=1
                )
        if slash and location.regex is None:
            upstream_path = slash + uri + path[len(location.pattern) :]
        pool = self._pools.get(name) or UpstreamPool(
            [Peer(name if ":" in name else f"{name}:80", 1, False, 1)]
        )
        self._pools.setdefault(name, pool)
        return await self._forward(location, pool, call, upstream_path + ("?" + query if query else ""))

    async def _forward(self, location: Location, pool: UpstreamPool, call: Call, upstream_path: str) -> Reply:
        retry_conditions = self._directive_arguments(location, "proxy_next_upstream") or ["error", "timeout"]
        arguments = self._directive_arguments(location, "proxy_next_upstream_tries")
        max_attempts = int(arguments[0]) if arguments and int(arguments[0]) else len(pool.peers)
        # such a request is retried only if nothing of it was sent
        safe_only = call.method in NON_IDEMPOTENT_METHODS and "non_idempotent" not in retry_conditions
        key = (
            self._key(pool.method[1], upstream_path, call)
            if pool.method[:1] == ["hash"]
            else self._key("", upstream_path, call)
        )
        tried: list[str] = []
        reply = Reply(502)
        while len(tried) < max_attempts:
            peer = pool.pick(self._clock(), tried, key, self._rng)
            if peer is None:
                return reply
            tried.append(peer.name)
            peer.open_requests += 1
            try:
                reply = await self._send(peer.name, call, upstream_path.encode("latin-1"))
                peer.failures = 0
                failed, sent = f"http_{reply.status}" in retry_conditions, True
            except ConnectionLostError as error:
                reply, failed, sent = Reply(502), "error" in retry_conditions, error.sent
                peer.failures += 1
                if peer.max_failures and peer.failures >= peer.max_failures:
                    peer.unavailable_until = self._clock() + 10.0
            finally:
                peer.open_requests -= 1
            if not failed or "off" in retry_conditions or (safe_only and sent):
                return reply
        return reply
