"""Upstream blocks and what a location does with them, as plain values; faults with their place."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from .syntax import ConfigSyntaxError, Directive, Word

TIME = re.compile(r"(?:(\d+)(ms|s|m|h|d|w|M|y)?)")
UNITS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000, "w": 604_800_000,
         "M": 2_592_000_000, "y": 31_536_000_000}  # fmt: skip
# of proxy_next_upstream; a call that met any of these may have run
CONDITIONS = ("error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504",
              "http_403", "http_404", "http_429")  # fmt: skip


def milliseconds(word: Word) -> int:
    """A time such as `30s`, `1m30s` or `10` (seconds); raises SyntaxFault."""
    text, at, total = word.text, 0, 0
    while at < len(text):
        got = TIME.match(text, at)
        if got is None or got.end() == at:
            raise ConfigSyntaxError(word.position, f"{text!r} is no time")
        total += int(got.group(1)) * UNITS[got.group(2) or "s"]
        at = got.end()
    if not text:
        raise ConfigSyntaxError(word.position, "an empty time")
    return total


def whole(word: Word, text: str, least: int = 0) -> int:
    if not text.isascii() or not text.isdigit() or int(text) < least:
        raise ConfigSyntaxError(word.position, f"{text!r} is no whole number of {least} or more")
    return int(text)


@dataclass(slots=True)
class Server:
    address: str
    port: int
    directive: Directive
    weight: int = 1
    max_conns: int = 0
    max_fails: int = 1
    fail_timeout_ms: int = 10_000
    slow_start_ms: int = 0
    backup: bool = False
    down: bool = False


@dataclass(slots=True)
class Upstream:
    name: str
    directive: Directive
    servers: list[Server] = field(default_factory=list)
    pick: str = "wheel"  # or pair, lottery, hash, ip_hash
    key: str = ""  # of a hash
    ring: bool = False  # hash ... consistent

    def primaries(self) -> list[Server]:
        return [server for server in self.servers if not server.backup and not server.down]

    def backups(self) -> list[Server]:
        """They serve only when no primary is open."""
        return [server for server in self.servers if server.backup and not server.down]

    def shares(self) -> dict[str, float]:
        rows = self.primaries() or self.backups()
        total = sum(server.weight for server in rows)
        return {f"{server.address}:{server.port}": server.weight / total for server in rows}


def address_of(word: Word, text: str, usual: int = 80) -> tuple[str, int]:
    """Host and port; raises SyntaxFault."""
    if text.startswith("unix:"):
        raise ConfigSyntaxError(word.position, f"{text!r}: a socket of this machine is no host of a fleet")
    host, colon, port = text.rpartition(":") if not text.endswith("]") else (text, "", "")
    if not colon:
        host, port = text, str(usual)
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigSyntaxError(word.position, f"{text!r} is no address")
    return host, int(port)


def server_of(row: Directive) -> Server:
    """One `server` of an upstream; raises SyntaxFault."""
    if not row.args:
        raise ConfigSyntaxError(row.position, "server without an address")
    made = Server(*address_of(row.args[0], row.arg(0)), row)
    for word in row.args[1:]:
        name, equals, value = word.text.partition("=")
        if word.text == "backup":
            made.backup = True
        elif word.text == "down":
            made.down = True
        elif word.text in ("resolve", "drain"):
            made.down = made.down or word.text == "drain"
        elif not equals:
            raise ConfigSyntaxError(word.position, f"{word.text!r} is no parameter of server")
        elif name == "weight":
            made.weight = whole(word, value, 1)
        elif name == "max_conns":
            made.max_conns = whole(word, value)
        elif name == "max_fails":
            made.max_fails = whole(word, value)
        elif name in ("fail_timeout", "slow_start"):
            time = milliseconds(Word(value, word.position))
            if name == "fail_timeout":
                made.fail_timeout_ms = time
            else:
                made.slow_start_ms = time
        elif name not in ("route", "service"):
            raise ConfigSyntaxError(word.position, f"{name!r} is no parameter of server")
    return made


def upstream_of(block: Directive) -> Upstream:
    """Raises SyntaxFault."""
    if len(block.args) != 1 or block.block is None:
        raise ConfigSyntaxError(block.position, "upstream has one name and a block")
    made = Upstream(block.arg(0), block)
    for row in block.block:
        if row.name == "server":
            made.servers.append(server_of(row))
        elif row.name == "least_conn":
            made.pick = "pair"
        elif row.name == "random":
            made.pick = "pair" if row.arg(0) == "two" else "lottery"
        elif row.name == "ip_hash":
            made.pick, made.key = "ip_hash", "$remote_addr"
        elif row.name == "hash":
            if not row.args:
                raise ConfigSyntaxError(row.position, "hash without a key")
            made.pick, made.key, made.ring = "hash", row.arg(0), row.arg(1) == "consistent"
    if not made.servers:
        raise ConfigSyntaxError(block.position, f"upstream {made.name!r} has no server")
    if made.pick in ("hash", "ip_hash", "lottery") and any(server.backup for server in made.servers):
        bad = next(server for server in made.servers if server.backup)
        raise ConfigSyntaxError(bad.directive.position, f"a backup server goes with no {made.pick}")
    return made


@dataclass(slots=True)
class Retry:
    """What a proxy would try again, and how often."""

    conditions: tuple[str, ...] = ("error", "timeout")
    non_idempotent: bool = False
    tries: int = 0  # 0: as many as there are servers
    timeout_ms: int = 0

    @property
    def off(self) -> bool:
        return "off" in self.conditions

    def may_run_twice(self) -> tuple[str, ...]:
        """Conditions under which a call that may have run is tried once more."""
        return () if self.off else tuple(c for c in self.conditions if c in CONDITIONS)


def retry_of(rows: list[Directive], outer: Retry) -> Retry:
    """Of one block; what it does not say it has from the one around it.  Raises SyntaxFault."""
    made = Retry(outer.conditions, outer.non_idempotent, outer.tries, outer.timeout_ms)
    for row in rows:
        if row.name == "proxy_next_upstream":
            for word in row.args:
                if word.text not in (*CONDITIONS, "off", "non_idempotent"):
                    raise ConfigSyntaxError(
                        word.position, f"{word.text!r} is no condition of proxy_next_upstream"
                    )
            made.conditions = tuple(w.text for w in row.args if w.text != "non_idempotent")
            made.non_idempotent = any(w.text == "non_idempotent" for w in row.args)
        elif row.name == "proxy_next_upstream_tries" and row.args:
            made.tries = whole(row.args[0], row.arg(0))
        elif row.name == "proxy_next_upstream_timeout" and row.args:
            made.timeout_ms = milliseconds(row.args[0])
    return made


def passed_to(row: Directive) -> tuple[str, str]:
    """Of `proxy_pass`: the upstream's name (or address) and the URI that replaces the prefix; raises
    SyntaxFault.
    """
    if len(row.args) != 1:
        raise ConfigSyntaxError(row.position, f"proxy_pass has one argument, here are {len(row.args)}")
    scheme, mark, rest = row.arg(0).partition("://")
    if not mark or scheme not in ("http", "https"):
        raise ConfigSyntaxError(
            row.args[0].position, f"{row.arg(0)!r} begins with neither http:// nor https://"
        )
    name, slash, uri = rest.partition("/")
    return name, slash + uri
