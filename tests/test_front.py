"""The front that answers calls: bounds, turns, bodies, credentials; and a real director on real sockets."""

from __future__ import annotations

import copy
import gzip
import hashlib
import json
import random
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Any

import msgspec
import pytest
import trio
import zstandard
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from service_harness import FakeDiscovery, FileProxy, RecordingLog, wait_until

from willowhook.cli.main import main
from willowhook.config.example import EXAMPLE
from willowhook.config.terms import FrontTerms
from willowhook.controlplane.service import Service
from willowhook.decisions.controller import Controller
from willowhook.decisions.runtime import AdmissionLimit
from willowhook.files.swap import read_group
from willowhook.front.bodies import ResponseCache, chosen
from willowhook.front.identity import BearerIdentity, CredentialError
from willowhook.front.limits import Bucket, Gate
from willowhook.front.serve import Line, Server, Timeouts, Waiting
from willowhook.front.turns import Turns
from willowhook.records.writer import read_records
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.trial.swaps import ChurnDecider
from willowhook.web.wire import Call, ClientConnection, Reply, open_connection, serve_connection
from willowhook.xds import forms, tables
from willowhook.xds.codec import decode, encode

# What decides.


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, 5000), max_size=60), st.integers(1, 50), st.integers(1, 20))
def test_a_bucket_never_lets_more_through_than_its_rate(waits: list[int], rate: int, burst: int) -> None:
    bucket, now, let = Bucket(rate / TICKS_PER_SECOND, burst, burst, 0), 0, 0
    for wait in waits:
        now += wait
        told = bucket.take(now)
        if told == 0:
            let += 1
        else:
            assert bucket.take(now + told) == 0  # when to come back is true
            now, let = now + told, let + 1
    assert let <= burst + rate * now / TICKS_PER_SECOND + 1e-6


def test_the_gate_counts_all_and_each() -> None:
    gate = Gate(3, 2, 0.001, 2)
    assert gate.opened() and gate.opened() and gate.opened() and not gate.opened()
    assert gate.named("a") and gate.named("a") and not gate.named("a") and gate.named("b")
    gate.closed("a")
    assert gate.opened() and gate.named("a")
    assert [gate.asks(0, "a"), gate.asks(0, "a")] == [0, 0] and gate.asks(0, "a") == 1000
    assert gate.asks(0, "b") == 0 and gate.turned_away == {"connections": 1, "of one proxy": 1, "asks": 1}


def test_whoever_waited_longest_is_first_and_nobody_twice() -> None:
    turns = Turns()
    for key, at in (("often", 90), ("long", 10), ("never", 0), ("often", 5), ("long", 99)):
        turns.want(key, at)
    turns.want("gone", 1)
    turns.drop("gone")
    assert len(turns) == 3 and turns.take(2) == ["never", "long"] and turns.take(9) == ["often"]
    turns.want("often", 7)
    assert turns.take(9) == ["often"] and not turns.take(1)


@pytest.mark.parametrize(
    ("accepts", "what"),
    [(b"", b""), (b"gzip", b"gzip"), (b"gzip, zstd", b"zstd"), (b"zstd;q=0.1, gzip;q=0.9", b"gzip"),
     (b"*", b"zstd"), (b"zstd;q=0, *", b"gzip"), (b"br", b""), (b"gzip;q=x", b""), (b"GZip ;q=1", b"gzip")],
)  # fmt: skip
def test_the_encoding_is_one_that_the_caller_takes(accepts: bytes, what: bytes) -> None:
    assert chosen(accepts) == what


def test_bodies_are_made_once_and_kept_within_bounds() -> None:
    bodies, made = ResponseCache(10_000, 100), list[int]()

    def make(k: int) -> bytes:
        made.append(k)
        return b"%d" % k * 1000

    for encoding, unpack in ((b"gzip", gzip.decompress), (b"zstd", zstandard.ZstdDecompressor().decompress)):
        for _ in range(3):
            body, told = bodies.get("k", lambda: make(1), encoding)
            assert told == encoding and unpack(body) == b"1" * 1000
    assert made == [1] and bodies.compressed == 2
    for k in range(10, 40):
        bodies.get(k, lambda k=k: make(k), b"")  # type: ignore[misc]
    assert bodies.size <= 10_000 and len(made) == 31
    assert bodies.get("small", lambda: b"x", b"zstd") == (b"x", b"")
    bodies.get("huge", lambda: b"x" * 9000, b"")
    assert bodies.size <= 10_000


@pytest.mark.parametrize(
    ("text", "cause"),
    [("", "no list"), ("[]", "no list"), ('{"proxies": {"p": "12"}}', "$.proxies.p: not a SHA-256"),
     ('{"proxies": {"../p": "00"}}', "no name of a proxy"), ('{"proxy": {}}', "unknown field"),
     (json.dumps({"proxies": {"p": "00" * 32, "q": "00" * 32}}), "$.proxies.q: the same as that of p")],
)  # fmt: skip
def test_a_bad_file_of_credentials_names_place_and_cause(text: str, cause: str) -> None:
    with pytest.raises(CredentialError, match=cause.replace("$", r"\$")):
        BearerIdentity(text.encode())


def test_a_token_tells_one_proxy() -> None:
    who = BearerIdentity(
        json.dumps({"proxies": {"p1": hashlib.sha256(b"secret").hexdigest()}}).encode()
    ).authenticate
    assert who({b"authorization": b"Bearer secret"}, None) == "p1"
    for bad in (b"", b"Bearer", b"Bearer Secret", b"Basic secret", b"bearer secret2"):
        assert who({b"authorization": bad}, None) is None


# Connections.

QUICK = Timeouts(header=0.3, write=0.3, idle=0.5, wait=0.3)


def serving(
    play: Callable[[int, Server], Awaitable[None]],
    handler: Any = None,
    most: int = 20,
    times: Timeouts = QUICK,
) -> Server:
    """Runs a server on loopback while `play(port, server)` goes on."""
    held: list[Server] = []

    async def usual(line: Line, call: Call) -> Reply | Waiting:
        return Reply(200, [], call.body[::-1])

    async def run() -> None:
        server = Server(Gate(most, 5, 1, 100), times, 10_000, handler or usual, lambda line: None)
        held.append(server)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
            with trio.fail_after(60):
                await play(listeners[0].socket.getsockname()[1], server)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return held[0]


async def raw(port: int, data: bytes, then_wait: float = 2.0) -> bytes:
    """What comes back for these bytes until the other side closes."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    found = b""
    with trio.move_on_after(then_wait):
        try:
            await stream.send_all(data)
            while chunk := await stream.receive_some(65536):
                found += chunk
        except trio.BrokenResourceError:
            pass  # closed while it was still being sent to: what came before that counts
    await trio.aclose_forcefully(stream)
    return found


HEAD = b"POST /x HTTP/1.1\r\nhost: a\r\n"


def test_who_is_slow_or_large_or_no_http_is_told_and_cut_off() -> None:
    async def play(port: int, server: Server) -> None:
        assert b" 408 " in await raw(port, HEAD)  # the head never ends
        assert b" 408 " in await raw(port, HEAD + b"content-length: 5\r\n\r\nab")
        assert b" 413 " in await raw(port, HEAD + b"content-length: 99999\r\n\r\n")
        chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        assert b" 413 " in await raw(port, HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunk * 5)
        assert b" 431 " in await raw(port, HEAD + b"a: " + b"b" * 40_000)
        assert b" 400 " in await raw(port, b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n")
        assert await raw(port, b"") == b""  # silent: closed without a word
        assert b" 100 " in await raw(port, HEAD + b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n")
        await wait_until(lambda: server.gate.open == 0)

    server = serving(play)
    assert server.late >= 2 and server.bad >= 6


def test_a_flood_of_connections_is_bounded_and_the_rest_served() -> None:
    async def play(port: int, server: Server) -> None:
        streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(60)]
        await wait_until(lambda: server.gate.turned_away["connections"] >= 40)
        assert server.gate.peak == 20
        for stream in streams:
            await trio.aclose_forcefully(stream)
        await wait_until(lambda: server.gate.open == 0)
        caller = await open_connection("127.0.0.1", port)
        assert (await caller.request(b"POST", b"/x", [], b"abc")).body == b"cba"
        await caller.close()

    serving(play)


def test_a_call_waits_ends_when_its_time_is_over_and_who_goes_away_is_noticed() -> None:
    waits: list[Waiting] = []
    ended: list[int] = []

    async def handler(line: Line, call: Call) -> Reply | Waiting:
        if call.body == b"now":
            return Reply(200, [], b"now")
        waiting = Waiting(lambda over: Reply(304) if over else said.get("it"), ended=lambda: ended.append(1))
        waits.append(waiting)
        return waiting

    said: dict[str, Reply] = {}

    async def play(port: int, server: Server) -> None:
        caller = await open_connection("127.0.0.1", port)
        assert (await caller.request(b"POST", b"/x", [], b"a")).status == 304
        async with trio.open_nursery() as nursery:

            async def news() -> None:
                await trio.sleep(0.1)
                waits[-1].wake.set()  # nothing yet
                await trio.sleep(0.05)
                said["it"] = Reply(200, [], b"news")
                waits[-1].wake.set()

            nursery.start_soon(news)
            assert (await caller.request(b"POST", b"/x", [], b"b")).body == b"news"
        # two calls at once on one connection: the second is answered after the first
        del said["it"]
        two = HEAD + b"content-length: 1\r\n\r\nc" + HEAD + b"content-length: 3\r\n\r\nnow"
        got = await raw(port, two, 1.0)
        assert got.startswith(b"HTTP/1.1 304") and got.endswith(b"now")
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(HEAD + b"content-length: 1\r\n\r\nd")
        await wait_until(lambda: len(waits) == 4)
        await trio.aclose_forcefully(stream)
        await wait_until(lambda: len(ended) == 4)
        await caller.close()

    serving(play, handler)


def test_who_does_not_read_is_cut_off_and_holds_up_nobody() -> None:
    async def handler(line: Line, call: Call) -> Reply | Waiting:
        return Reply(200, [], b"x" * (64 << 20) if call.body == b"big" else b"ok")

    async def play(port: int, server: Server) -> None:
        slow = await trio.open_tcp_stream("127.0.0.1", port)
        await slow.send_all(HEAD + b"content-length: 3\r\n\r\nbig")
        caller = await open_connection("127.0.0.1", port)
        assert (await caller.request(b"POST", b"/x", [], b"small")).body == b"ok"
        await wait_until(lambda: server.slow_readers == 1)
        await trio.aclose_forcefully(slow)
        await caller.close()

    serving(play, handler)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(st.one_of(
    st.binary(max_size=60),
    st.sampled_from([HEAD, b"\r\n", b"content-length: 3\r\n\r\nabc", b"0\r\n\r\n",
                     b"transfer-encoding: chunked\r\n\r\n", b"GET / HTTP/1.1\r\n", b"HTTP/1.1",
                     b": \r\n", b"content-length: 3, 4\r\n", b"\x00"]),
), max_size=12), st.booleans())  # fmt: skip
def test_no_bytes_break_a_connection(parts: list[bytes], half: bool) -> None:
    """Whatever comes, the connection ends within its times, and the server is as before."""

    async def run() -> None:
        ours, theirs = trio.testing.memory_stream_pair()
        server = Server(Gate(5, 5, 1, 9), QUICK, 1000, usual, lambda line: None)

        async def usual_side() -> None:
            with trio.move_on_after(0.01):
                await ours.send_all(b"".join(parts))
                if half:
                    await ours.send_eof()
                while await ours.receive_some(4096):
                    pass
            await ours.aclose()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.serve, theirs)
            nursery.start_soon(usual_side)
        assert server.gate.open == 0

    async def usual(line: Line, call: Call) -> Reply | Waiting:
        return Reply(200, [], b"y")

    import trio.testing

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


# A real director.

LOST_AFTER_S = 0.8  # in the test of silent proxies


class ByCalls:
    """A proxy's side of the protocol, by hand."""

    def __init__(self, service: Service, name: str, term: int = 1) -> None:
        self.service, self.name = service, name
        self.node = forms.Node(
            name, "calls", forms.Locality(zone="north"),
            {"usual_calls_per_s": 4, "term": term, "director": service.terms.name},
        )  # fmt: skip
        self.callers: dict[str, ClientConnection] = {}
        self.headers = [(b"authorization", b"Bearer token of " + name.encode())]

    async def post(self, path: bytes, body: bytes, key: str = "", headers: Any = None) -> Reply:
        key = key or path.decode()
        caller = self.callers.get(key)
        if caller is None or not caller.usable:
            caller = self.callers[key] = await open_connection("127.0.0.1", self.service.discovery_port)
        return await caller.request(b"POST", path, self.headers if headers is None else headers, body)

    async def whole(self, kind: str, version: str = "", nonce: str = "", error: str = "") -> Reply:
        word = {"cds": "clusters", "eds": "endpoints", "rds": "routes"}[kind]
        detail = forms.Status(3, error) if error else None
        asked = forms.DiscoveryRequest(version, self.node, [], forms.TYPE_URLS[kind], nonce, detail)
        return await self.post(f"/v3/discovery:{word}".encode(), encode(asked))

    async def settle(self, rounds: int = 3) -> dict[str, forms.DiscoveryResponse]:
        """Acknowledges whatever comes until nothing new does."""
        got: dict[str, forms.DiscoveryResponse] = {}
        for _ in range(rounds):
            for kind in ("cds", "eds", "rds"):
                last = got.get(kind)
                reply = await self.whole(kind, last.version_info if last else "", last.nonce if last else "")
                if reply.status == 200:
                    got[kind] = decode(reply.body, forms.DiscoveryResponse)
        return got

    async def close(self) -> None:
        for caller in self.callers.values():
            await caller.close()


class Held:
    """What a proxy holds, however it was told."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, Any]] = {"cds": {}, "eds": {}, "rds": {}}

    def whole(self, kind: str, got: forms.DiscoveryResponse) -> None:
        rows = [json.loads(bytes(raw)) for raw in got.resources]
        self.rows[kind] = {row.get("cluster_name") or row["name"]: row for row in rows}

    def delta(self, kind: str, got: forms.DeltaDiscoveryResponse) -> None:
        for row in got.resources:
            self.rows[kind][row.name] = json.loads(bytes(row.resource))
        for name in got.removed_resources:
            self.rows[kind].pop(name, None)


def read_files(proxy: FileProxy) -> Held:
    """What a proxy on files can read now."""
    files = Held()
    for name, data in read_group(str(proxy.down))[1].items():
        files.whole(name[:-5], decode(data, forms.DiscoveryResponse))
    return files


def is_final(held: Held, endpoints: int) -> bool:
    """Whether a proxy holds what `Restless` ends with: table 1 alone, with all endpoints alike."""
    rows = [decode(encode(row), forms.ClusterLoadAssignment) for row in held.rows["eds"].values()]
    lines = [line for table in rows for line in tables.lines(table)]
    names = [table.cluster_name.rpartition(".")[2] for table in rows]
    return names == ["t1"] and [line[4] for line in lines] == [1.0] * endpoints


def hosts_of(got: forms.DiscoveryResponse) -> set[str]:
    rows = [decode(bytes(raw), forms.ClusterLoadAssignment) for raw in got.resources]
    return {line[0] for table in rows for line in tables.lines(table) if not line[5]}


Play = Callable[[Service, FakeDiscovery, RecordingLog], Awaitable[None]]


def directed(
    tmp_path: Path, play: Play, decider: Any = Controller, proxy_lost_after_ms: float = 20_000, **parts: Any
) -> RecordingLog:
    """Runs a director with a front while `play` goes on."""
    log = RecordingLog()

    async def run() -> None:
        discovery = FakeDiscovery()

        async def handler(stream: trio.SocketStream) -> None:
            await serve_connection(stream, discovery.answer)

        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            url = f"http://127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            nursery.start_soon(trio.serve_listeners, handler, listeners)
            replace = msgspec.structs.replace
            sums = {n: hashlib.sha256(f"token of {n}".encode()).hexdigest() for n in ("p1", "p2", "p3")}
            (tmp_path / "credentials").write_text(json.dumps({"proxies": sums}))
            front = FrontTerms(
                listen="127.0.0.1:0", credentials=str(tmp_path / "credentials"), wait_ms=200, asks_per_s=500,
                asks_burst=500,
            )  # fmt: skip
            terms = replace(
                EXAMPLE,
                fleet=replace(EXAMPLE.fleet, standing=0),  # proxies played by hand start with nothing
                files=replace(
                    EXAMPLE.files, folder=str(tmp_path / "d"), proxy_lost_after_ms=proxy_lost_after_ms
                ),
                roster=replace(EXAMPLE.roster, url=url, wait_ms=300, timeout_ms=200),
                records=replace(EXAMPLE.records, file=str(tmp_path / "records")),
                front=replace(front, **parts),
            )
            service = Service(terms, log=log, decider=decider)
            await nursery.start(service.run)
            with trio.fail_after(30):
                await play(service, discovery, log)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return log


def test_a_proxy_joins_by_calls_is_bound_make_before_break_and_hears_of_a_drain(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        one = ByCalls(service, "p1")
        got = await one.settle()
        assert set(got) == {"cds", "eds", "rds"} and hosts_of(got["eds"]) == {"a", "b", "c"}
        session = service.publisher.sessions[0]
        await wait_until(lambda: session.acknowledged > 0)
        # the controller handles the acknowledgement a turn later
        await wait_until(lambda: not any(service.controller.channel.unacknowledged.values()))
        discovery.endpoints["b"], discovery.index = True, 2
        news: dict[str, forms.DiscoveryResponse] = {}
        while "eds" not in news or "b" in hosts_of(news["eds"]):
            reply = await one.whole("eds", got["eds"].version_info, got["eds"].nonce)
            if reply.status == 200:
                got["eds"] = news["eds"] = decode(reply.body, forms.DiscoveryResponse)
        report = encode(forms.LoadStatsRequest(one.node))
        path = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
        reply = await one.post(path, report)
        assert reply.status == 200 and b"load_reporting_interval" in reply.body
        await one.close()

    log = directed(tmp_path, play)
    assert log.texts("warning") == []
    beliefs = [row for row in read_records(str(tmp_path / "records")) if row["kind"] == "belief"]
    assert {row["state"] for row in beliefs} >= {"sent", "acknowledged"}


def test_differences_bring_only_what_changed(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        one = ByCalls(service, "p1")
        path = b"/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints"
        asked = forms.DeltaDiscoveryRequest(one.node, forms.ASSIGNMENT)
        reply = await one.post(path, encode(asked))
        while reply.status == 304:
            reply = await one.post(path, encode(forms.DeltaDiscoveryRequest(type_url=forms.ASSIGNMENT)))
        first = decode(reply.body, forms.DeltaDiscoveryResponse)
        assert len(first.resources) >= 1
        # the connection breaks; on the next one it says what it holds, and gets nothing again
        await one.close()
        one.callers.clear()
        asked.initial_resource_versions = {row.name: row.version for row in first.resources}
        asked.response_nonce = first.nonce
        assert (await one.post(path, encode(asked))).status in (200, 304)
        await one.close()
        one.callers.clear()
        asked.initial_resource_versions, asked.response_nonce = {}, ""  # it lost its base: all again
        again = decode((await one.post(path, encode(asked))).body, forms.DeltaDiscoveryResponse)
        assert {row.name for row in again.resources} >= {row.name for row in first.resources}
        await one.close()

    directed(tmp_path, play)


class Restless(ChurnDecider):
    """Orders by chance, for a while, then gives all endpoints one weight and keeps still."""

    left = 60

    def evaluate(self, now: int) -> None:
        if self.endpoints and len(self.joined_proxies) == 3 and self.left > 0:
            self.left -= 1
            chance = random.Random(self.left)
            for name in self.endpoints:
                self.runtime.set_weight(chance.randrange(3), name, chance.choice([0.0, 0.5, 1.0, 2.5]))
            name, is_out = chance.choice(self.endpoints), chance.random() < 0.5
            (self.runtime.exclude_endpoint if is_out else self.runtime.readmit_endpoint)(name)
            table, route = chance.randrange(3), chance.randrange(2)
            self.runtime.set_admission(table, route, AdmissionLimit(chance.randrange(3), 5.0 * self.left))
            for proxy in self.joined_proxies:
                self.runtime.bind(proxy, self.left % 3, [self.left % 2])
        if self.left == 0:
            self.left = -1
            for name in self.endpoints:
                self.runtime.set_weight(1, name, 1.0)
            for proxy in self.joined_proxies:
                self.runtime.bind(proxy, 1, self.routes)
        self.runtime.schedule_evaluation(200)

    def order(self) -> None:
        """The list alone changes nothing."""


def test_both_fronts_give_the_same_for_the_same_orders(tmp_path: Path) -> None:
    """A proxy on files, one that is told whole and one by difference, through sixty changes."""

    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        by_files, by_calls, by_delta = (
            FileProxy(service, "p3"),
            ByCalls(service, "p1"),
            ByCalls(service, "p2"),
        )
        by_files.join()
        one, two = Held(), Held()

        async def whole(kind: str) -> None:
            version = nonce = ""
            while True:
                reply = await by_calls.whole(kind, version, nonce)
                nonce = ""
                if reply.status == 200:
                    got = decode(reply.body, forms.DiscoveryResponse)
                    version, nonce = got.version_info, got.nonce
                    one.whole(kind, got)

        async def delta(kind: str, word: str) -> None:
            path = f"/envoy.service.{word.lower()}.v3.{word}DiscoveryService/Delta{word}s".encode()
            nonce = ""
            while True:
                asked = forms.DeltaDiscoveryRequest(
                    by_delta.node, forms.TYPE_URLS[kind], response_nonce=nonce
                )
                reply = await by_delta.post(path, encode(asked))
                nonce = ""
                if reply.status == 200:
                    got = decode(reply.body, forms.DeltaDiscoveryResponse)
                    nonce = got.nonce
                    two.delta(kind, got)

        async with trio.open_nursery() as nursery:
            for kind, word in (("cds", "Cluster"), ("eds", "Endpoint"), ("rds", "Route")):
                nursery.start_soon(whole, kind)
                nursery.start_soon(delta, kind, word)
            decider: Any = service.controller
            await wait_until(lambda: decider.left == -1, 20)
            with trio.fail_after(5):
                while not (
                    read_files(by_files).rows == one.rows == two.rows
                    and is_final(one, len(discovery.endpoints))
                ):
                    await trio.sleep(0.1)
                    by_files.acknowledge()
            final = copy.deepcopy(one.rows)
            for _ in range(10):  # nothing may follow: the decider keeps still
                await trio.sleep(0.1)
                by_files.acknowledge()
                assert decider.left == -1
                assert read_files(by_files).rows == one.rows == two.rows == final
            assert len(final["cds"]) == len(service.terms.routes) and final["rds"]
            nursery.cancel_scope.cancel()
        await by_calls.close()
        await by_delta.close()

    directed(tmp_path, play, decider=partial(Restless, bool))


def test_nobody_asks_for_another_and_bad_calls_are_told_why(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        one, two = ByCalls(service, "p1"), ByCalls(service, "p2")
        await one.settle()
        path = b"/v3/discovery:endpoints"
        body = encode(forms.DiscoveryRequest("", one.node, [], forms.ASSIGNMENT))
        assert (await two.post(path, body, "as p1")).status == 403
        assert (await two.post(path, body, "no token", [])).status == 401
        assert (await two.post(path, body, "a wrong one", [(b"authorization", b"Bearer x")])).status == 401
        report = encode(forms.LoadStatsRequest(one.node))
        loads = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
        assert (await two.post(loads, report, "loads as p1")).status == 403
        for bad, cause in (
            (b"{", b"not a DiscoveryRequest"), (b"[]", b"not a DiscoveryRequest"), (b"\xff", b"not a"),
            (encode(forms.DiscoveryRequest("", two.node, [], forms.CLUSTER)), b"type_url"),
            (encode(forms.DiscoveryRequest()), b"node"),
        ):  # fmt: skip
            reply = await two.post(path, bad, f"bad {bad[:4]!r}{cause!r}")
            assert reply.status == 400 and cause in reply.body, reply.body
        two.node.metadata["term"] = "x"
        reply = await two.whole("eds")
        assert reply.status == 400 and b"term" in reply.body
        two.node.metadata.update(term=2, director="another")
        assert (await two.whole("eds")).status == 400
        assert (await two.post(b"/v3/nothing", b"{}")).status == 404
        assert "p2" not in service.intake.sessions and "p1" in service.intake.sessions
        await one.close()
        await two.close()

    directed(tmp_path, play)


def test_a_stay_that_is_over_is_told_so_and_a_newer_one_is_taken_up(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        old, new = ByCalls(service, "p1", 1), ByCalls(service, "p1", 2)
        await old.settle()
        await new.settle()
        assert service.intake.sessions["p1"].term == 2
        assert (await old.whole("eds")).status in (409, 503)  # on its old connection
        late = ByCalls(service, "p1", 1)
        assert (await late.whole("eds")).status == 409  # and on a new one
        for each in (old, new, late):
            await each.close()

    directed(tmp_path, play)


def test_proxy_whose_call_waits_is_not_silent_and_one_without_calls_is(tmp_path: Path) -> None:
    """Guards against proxies that lose their tables while their calls wait and no report of theirs counts."""

    async def play(service: Service, _discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = ByCalls(service, "p1")

        async def follow(kind: str) -> None:
            version = nonce = ""
            while True:
                reply = await proxy.whole(kind, version, nonce)
                assert reply.status == 200
                response = decode(reply.body, forms.DiscoveryResponse)
                version, nonce = response.version_info, response.nonce

        async with trio.open_nursery() as nursery:
            for kind in forms.TYPE_URLS:
                nursery.start_soon(follow, kind)
            await wait_until(lambda: "p1" in service.intake.sessions)
            await trio.sleep(4 * LOST_AFTER_S)
            assert "proxy left" not in log.texts() and "p1" in service.intake.sessions
            nursery.cancel_scope.cancel()
        await proxy.close()
        await wait_until(lambda: "proxy left" in log.texts())
        assert [parts["reason"][:6] for _, text, parts in log.lines if text == "proxy left"] == ["silent"]

    directed(tmp_path, play, proxy_lost_after_ms=LOST_AFTER_S * 1000, wait_ms=10_000)


def test_a_proxy_that_asks_too_often_is_given_up_at_once_and_told_when_to_come_back(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        one, two = ByCalls(service, "p1"), ByCalls(service, "p2")
        await one.settle(1)
        loads = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
        replies = []
        for _ in range(40):  # on one connection its answers would come no sooner than reports are due
            other = ByCalls(service, "p1")
            replies.append(await other.post(loads, encode(forms.LoadStatsRequest(one.node))))
            await other.close()
        refused = [reply for reply in replies if reply.status == 429]
        assert refused and all(int(reply.header(b"retry-after") or 0) >= 1 for reply in refused)
        assert (await two.post(loads, encode(forms.LoadStatsRequest(two.node)))).status == 400  # not here yet
        assert len(await two.settle()) == 3
        await one.close()
        await two.close()

    directed(tmp_path, play, asks_per_s=20, asks_burst=15)


def test_a_refused_table_is_held_for_that_proxy_and_a_corrected_one_comes(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        one = ByCalls(service, "p1")
        got = await one.settle()
        discovery.endpoints["b"], discovery.index = True, 2
        reply = await one.whole("eds", got["eds"].version_info, got["eds"].nonce)
        while reply.status != 200:
            reply = await one.whole("eds", got["eds"].version_info)
        bad = decode(reply.body, forms.DiscoveryResponse)
        reply = await one.whole("eds", got["eds"].version_info, bad.nonce, "I do not like it")
        seen = [reply.status]
        for _ in range(3):
            reply = await one.whole("eds", got["eds"].version_info)
            seen.append(reply.status)
            if reply.status == 200:
                now = decode(reply.body, forms.DiscoveryResponse)
                assert now.resources != bad.resources  # never the same content again
        assert "update rejected by proxy" in log.texts("warning")
        discovery.endpoints["b"], discovery.endpoints["c"], discovery.index = False, True, 3
        while reply.status != 200 or "c" in hosts_of(decode(reply.body, forms.DiscoveryResponse)):
            reply = await one.whole("eds", got["eds"].version_info)
        await one.close()

    directed(tmp_path, play)


def test_a_draining_director_ends_waits_with_a_reason_and_when_to_come_back(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        one = ByCalls(service, "p1")
        got = await one.settle()
        (tmp_path / "d" / "drain").write_bytes(b"")
        reply = Reply(304)
        while reply.status in (200, 304):
            reply = await one.whole("eds", got["eds"].version_info)
        assert reply.status == 503 and b"drains" in reply.body and reply.header(b"retry-after")
        await one.close()

    directed(tmp_path, play)


def test_operators_see_who_runs_what_and_why_not(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        one = ByCalls(service, "p1")
        got = await one.settle()
        discovery.endpoints["b"], discovery.index = True, 2
        reply = await one.whole("eds", got["eds"].version_info, got["eds"].nonce)
        while reply.status != 200:
            reply = await one.whole("eds", got["eds"].version_info)
        bad = decode(reply.body, forms.DiscoveryResponse)
        await one.whole("eds", got["eds"].version_info, bad.nonce, "I do not like it")
        await trio.sleep(0.3)
        shown = CliRunner().invoke(main, ["versions", str(tmp_path / "records")]).output
        assert "1 proxies are here: 1 cds acknowledged" in shown and "1 rds acknowledged" in shown
        shown = CliRunner().invoke(main, ["versions", str(tmp_path / "records"), "--proxy", "p1"]).output
        assert "refused" in shown and "I do not like it" in shown
        await one.close()

    directed(tmp_path, play)
    assert CliRunner().invoke(main, ["versions", str(tmp_path / "none")]).exit_code == 2


def test_a_front_without_credentials_does_not_start(tmp_path: Path) -> None:
    async def play(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        raise AssertionError("it started")

    with pytest.raises(BaseExceptionGroup) as caught:
        directed(tmp_path, play, credentials="")
    assert caught.group_contains(CredentialError)
