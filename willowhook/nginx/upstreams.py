"""Reads upstream blocks, retry directives and `proxy_pass` into plain values."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from .syntax import ConfigSyntaxError, Directive, Word

TIME_PART = re.compile(r"(?:(\d+)(ms|s|m|h|d|w|M|y)?)")
UNIT_MILLISECONDS = {"ms": 1, "s": 1000, "m": 60_000, "h": 3_600_000, "d": 86_400_000, "w": 604_800_000,
                     "M": 2_592_000_000, "y": 31_536_000_000}  # fmt: skip
# Of proxy_next_upstream.  After any of these the endpoint may have executed the request.
RETRY_CONDITIONS = ("error", "timeout", "invalid_header", "http_500", "http_502", "http_503", "http_504",
                    "http_403", "http_404", "http_429")  # fmt: skip


def parse_milliseconds(word: Word) -> int:
    """Parses a time such as `30s`, `1m30s` or `10` (seconds); raises ConfigSyntaxError."""
    text, offset, total = word.text, 0, 0
    while offset < len(text):
        match = TIME_PART.match(text, offset)
        if match is None or match.end() == offset:
            raise ConfigSyntaxError(word.position, f"{text!r} is not a valid time")
        total += int(match.group(1)) * UNIT_MILLISECONDS[match.group(2) or "s"]
        offset = match.end()
    if not text:
        raise ConfigSyntaxError(word.position, "an empty time")
    return total


def parse_integer(word: Word, text: str, minimum: int = 0) -> int:
    """Parses an integer of at least `minimum`; raises ConfigSyntaxError."""
    if not text.isascii() or not text.isdigit() or int(text) < minimum:
        raise ConfigSyntaxError(word.position, f"{text!r} is not an integer of {minimum} or more")
    return int(text)


@dataclass(slots=True)
class UpstreamServer:
    """One `server` of an upstream block, with its parameters."""

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
    """An upstream block: its servers and its load balancing method."""

    name: str
    directive: Directive
    servers: list[UpstreamServer] = field(default_factory=list)
    # wheel (round robin), pair (two random choices), lottery (random), hash or ip_hash
    load_balancing: str = "wheel"
    hash_key: str = ""  # the variable that is hashed
    consistent_hash: bool = False  # hash ... consistent

    def primaries(self) -> list[UpstreamServer]:
        """Servers in use that are not backups."""
        return [server for server in self.servers if not server.backup and not server.down]

    def backups(self) -> list[UpstreamServer]:
        """Backup servers in use; they serve only when no primary is available."""
        return [server for server in self.servers if server.backup and not server.down]

    def shares(self) -> dict[str, float]:
        """Each server's share of the requests by its weight, keyed by `address:port`."""
        servers = self.primaries() or self.backups()
        total = sum(server.weight for server in servers)
        return {f"{server.address}:{server.port}": server.weight / total for server in servers}


def parse_address(word: Word, text: str, default_port: int = 80) -> tuple[str, int]:
    """Parses host and port; raises ConfigSyntaxError."""
    if text.startswith("unix:"):
        raise ConfigSyntaxError(word.position, f"{text!r}: a Unix socket cannot be an endpoint of a fleet")
    host, colon, port = text.rpartition(":") if not text.endswith("]") else (text, "", "")
    if not colon:
        host, port = text, str(default_port)
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ConfigSyntaxError(word.position, f"{text!r} is not a valid address")
    return host, int(port)


def parse_server(directive: Directive) -> UpstreamServer:
    """Reads one `server` of an upstream; raises ConfigSyntaxError."""
    if not directive.args:
        raise ConfigSyntaxError(directive.position, "server without an address")
    server = UpstreamServer(*parse_address(directive.args[0], directive.arg(0)), directive)
    for word in directive.args[1:]:
        name, equals, value = word.text.partition("=")
        if word.text == "backup":
            server.backup = True
        elif word.text == "down":
            server.down = True
        elif word.text in ("resolve", "drain"):
            server.down = server.down or word.text == "drain"
        elif not equals:
            raise ConfigSyntaxError(word.position, f"{word.text!r} is not a parameter of server")
        elif name == "weight":
            server.weight = parse_integer(word, value, 1)
        elif name == "max_conns":
            server.max_conns = parse_integer(word, value)
        elif name == "max_fails":
            server.max_fails = parse_integer(word, value)
        elif name in ("fail_timeout", "slow_start"):
            duration_ms = parse_milliseconds(Word(value, word.position))
            if name == "fail_timeout":
                server.fail_timeout_ms = duration_ms
            else:
                server.slow_start_ms = duration_ms
        elif name not in ("route", "service"):
            raise ConfigSyntaxError(word.position, f"{name!r} is not a parameter of server")
    return server


def parse_upstream(block: Directive) -> Upstream:
    """Reads an `upstream` block; raises ConfigSyntaxError."""
    if len(block.args) != 1 or block.block is None:
        raise ConfigSyntaxError(block.position, "upstream has one name and a block")
    upstream = Upstream(block.arg(0), block)
    for directive in block.block:
        if directive.name == "server":
            upstream.servers.append(parse_server(directive))
        elif directive.name == "least_conn":
            upstream.load_balancing = "pair"
        elif directive.name == "random":
            upstream.load_balancing = "pair" if directive.arg(0) == "two" else "lottery"
        elif directive.name == "ip_hash":
            upstream.load_balancing, upstream.hash_key = "ip_hash", "$remote_addr"
        elif directive.name == "hash":
            if not directive.args:
                raise ConfigSyntaxError(directive.position, "hash without a key")
            upstream.load_balancing, upstream.hash_key, upstream.consistent_hash = (
                "hash",
                directive.arg(0),
                directive.arg(1) == "consistent",
            )
    if not upstream.servers:
        raise ConfigSyntaxError(block.position, f"upstream {upstream.name!r} has no server")
    if upstream.load_balancing in ("hash", "ip_hash", "lottery") and any(
        server.backup for server in upstream.servers
    ):
        backup = next(server for server in upstream.servers if server.backup)
        raise ConfigSyntaxError(
            backup.directive.position, f"backup servers cannot be combined with {upstream.load_balancing}"
        )
    return upstream


@dataclass(slots=True)
class RetryPolicy:
    """After which failures nginx retries a request, and how often."""

    conditions: tuple[str, ...] = ("error", "timeout")
    non_idempotent: bool = False
    max_attempts: int = 0  # 0: one for each server
    timeout_ms: int = 0

    @property
    def disabled(self) -> bool:
        """Whether the conditions contain `off`."""
        return "off" in self.conditions

    def retried_conditions(self) -> tuple[str, ...]:
        """Conditions under which a request is retried although it may have been executed."""
        return () if self.disabled else tuple(c for c in self.conditions if c in RETRY_CONDITIONS)


def parse_retry_policy(directives: list[Directive], outer: RetryPolicy) -> RetryPolicy:
    """Reads the retry policy of one block, which inherits from the `outer` one; raises ConfigSyntaxError."""
    policy = RetryPolicy(outer.conditions, outer.non_idempotent, outer.max_attempts, outer.timeout_ms)
    for directive in directives:
        if directive.name == "proxy_next_upstream":
            for word in directive.args:
                if word.text not in (*RETRY_CONDITIONS, "off", "non_idempotent"):
                    raise ConfigSyntaxError(
                        word.position, f"{word.text!r} is not a condition of proxy_next_upstream"
                    )
            policy.conditions = tuple(
                argument.text for argument in directive.args if argument.text != "non_idempotent"
            )
            policy.non_idempotent = any(argument.text == "non_idempotent" for argument in directive.args)
        elif directive.name == "proxy_next_upstream_tries" and directive.args:
            policy.max_attempts = parse_integer(directive.args[0], directive.arg(0))
        elif directive.name == "proxy_next_upstream_timeout" and directive.args:
            policy.timeout_ms = parse_milliseconds(directive.args[0])
    return policy


def parse_proxy_pass(directive: Directive) -> tuple[str, str]:
    """The upstream's name (or address) in `proxy_pass` and the URI that replaces the location's prefix.

    Raises ConfigSyntaxError.
    """
    if len(directive.args) != 1:
        raise ConfigSyntaxError(
            directive.position, f"proxy_pass has one argument, here are {len(directive.args)}"
        )
    scheme, separator, rest = directive.arg(0).partition("://")
    if not separator or scheme not in ("http", "https"):
        raise ConfigSyntaxError(
            directive.args[0].position, f"{directive.arg(0)!r} begins with neither http:// nor https://"
        )
    name, slash, uri = rest.partition("/")
    return name, slash + uri
