"""The discovery server: its parts, its HTTP server, and a controller that serves proxies on real sockets."""

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
from willowhook.front.bodies import ResponseCache, choose_encoding
from willowhook.front.identity import BearerIdentity, CredentialError
from willowhook.front.limits import Bucket, Gate
from willowhook.front.serve import Line, Server, Timeouts, Waiting
from willowhook.front.turns import WakeupQueue
from willowhook.records.writer import read_records
from willowhook.ticks import TICKS_PER_SECOND
from willowhook.trial.swaps import ChurnDecider
from willowhook.web.wire import Call, ClientConnection, Reply, open_connection, serve_connection
from willowhook.xds import forms, tables
from willowhook.xds.codec import decode, encode

# Parts without connections.


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


def test_gate_limits_connections_and_requests_in_total_and_by_proxy() -> None:
    gate = Gate(3, 2, 0.001, 2)
    assert gate.try_open() and gate.try_open() and gate.try_open() and not gate.try_open()
    assert gate.try_assign("a") and gate.try_assign("a") and not gate.try_assign("a") and gate.try_assign("b")
    gate.release("a")
    assert gate.try_open() and gate.try_assign("a")
    assert [gate.acquire(0, "a"), gate.acquire(0, "a")] == [0, 0] and gate.acquire(0, "a") == 1000
    assert gate.acquire(0, "b") == 0 and gate.rejected == {"connections": 1, "of one proxy": 1, "asks": 1}


def test_wakeup_queue_returns_the_longest_waiting_first_and_each_key_once() -> None:
    queue = WakeupQueue()
    for key, at in (("often", 90), ("long", 10), ("never", 0), ("often", 5), ("long", 99)):
        queue.add(key, at)
    queue.add("discarded", 1)
    queue.discard("discarded")
    assert len(queue) == 3 and queue.pop(2) == ["never", "long"] and queue.pop(9) == ["often"]
    queue.add("often", 7)
    assert queue.pop(9) == ["often"] and not queue.pop(1)


@pytest.mark.parametrize(
    ("accepts", "expected"),
    [(b"", b""), (b"gzip", b"gzip"), (b"gzip, zstd", b"zstd"), (b"zstd;q=0.1, gzip;q=0.9", b"gzip"),
     (b"*", b"zstd"), (b"zstd;q=0, *", b"gzip"), (b"br", b""), (b"gzip;q=x", b""), (b"GZip ;q=1", b"gzip")],
)  # fmt: skip
def test_choose_encoding_returns_one_that_the_client_accepts(accepts: bytes, expected: bytes) -> None:
    assert choose_encoding(accepts) == expected


def test_response_cache_encodes_once_and_stays_within_its_capacity() -> None:
    cache, encoded_numbers = ResponseCache(10_000, 100), list[int]()

    def encode_body(number: int) -> bytes:
        encoded_numbers.append(number)
        return b"%d" % number * 1000

    for encoding, decompress in (
        (b"gzip", gzip.decompress),
        (b"zstd", zstandard.ZstdDecompressor().decompress),
    ):
        for _ in range(3):
            body, used_encoding = cache.get("k", lambda: encode_body(1), encoding)
            assert used_encoding == encoding and decompress(body) == b"1" * 1000
    assert encoded_numbers == [1] and cache.compressed == 2
    for number in range(10, 40):
        cache.get(number, lambda number=number: encode_body(number), b"")  # type: ignore[misc]
    assert cache.size <= 10_000 and len(encoded_numbers) == 31
    assert cache.get("small", lambda: b"x", b"zstd") == (b"x", b"")
    cache.get("huge", lambda: b"x" * 9000, b"")
    assert cache.size <= 10_000


@pytest.mark.parametrize(
    ("text", "cause"),
    [("", "malformed credentials file"), ("[]", "malformed credentials file"),
     ('{"proxies": {"p": "12"}}', "$.proxies.p: not a SHA-256"),
     ('{"proxies": {"../p": "00"}}', "is not a proxy name"), ('{"proxy": {}}', "unknown field"),
     (json.dumps({"proxies": {"p": "00" * 32, "q": "00" * 32}}), "$.proxies.q: same token hash as p")],
)  # fmt: skip
def test_malformed_credentials_file_is_rejected_with_place_and_cause(text: str, cause: str) -> None:
    with pytest.raises(CredentialError, match=cause.replace("$", r"\$")):
        BearerIdentity(text.encode())


def test_bearer_token_authenticates_one_proxy() -> None:
    authenticate = BearerIdentity(
        json.dumps({"proxies": {"p1": hashlib.sha256(b"secret").hexdigest()}}).encode()
    ).authenticate
    assert authenticate({b"authorization": b"Bearer secret"}, None) == "p1"
    for bad in (b"", b"Bearer", b"Bearer Secret", b"Basic secret", b"bearer secret2"):
        assert authenticate({b"authorization": bad}, None) is None


# Connections.

QUICK = Timeouts(header=0.3, write=0.3, idle=0.5, wait=0.3)


def run_server(
    scenario: Callable[[int, Server], Awaitable[None]],
    handler: Any = None,
    max_connections: int = 20,
    timeouts: Timeouts = QUICK,
) -> Server:
    """Runs a server on loopback for the time of `scenario(port, server)`, and returns it."""
    servers: list[Server] = []

    async def reverse_body(line: Line, request: Call) -> Reply | Waiting:
        return Reply(200, [], request.body[::-1])

    async def run() -> None:
        server = Server(
            Gate(max_connections, 5, 1, 100), timeouts, 10_000, handler or reverse_body, lambda line: None
        )
        servers.append(server)
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            nursery.start_soon(trio.serve_listeners, server.serve, listeners)
            with trio.fail_after(60):
                await scenario(listeners[0].socket.getsockname()[1], server)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return servers[0]


async def send_raw(port: int, data: bytes, timeout_s: float = 2.0) -> bytes:
    """Sends bytes on a new connection and returns what comes back until the server closes it."""
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    received = b""
    with trio.move_on_after(timeout_s):
        try:
            await stream.send_all(data)
            while chunk := await stream.receive_some(65536):
                received += chunk
        except trio.BrokenResourceError:
            pass  # the server closed while data was still being sent: what it sent before counts
    await trio.aclose_forcefully(stream)
    return received


HEAD = b"POST /x HTTP/1.1\r\nhost: a\r\n"


def test_late_oversized_and_malformed_requests_get_an_error_and_a_closed_connection() -> None:
    async def scenario(port: int, server: Server) -> None:
        assert b" 408 " in await send_raw(port, HEAD)  # the header never ends
        assert b" 408 " in await send_raw(port, HEAD + b"content-length: 5\r\n\r\nab")
        assert b" 413 " in await send_raw(port, HEAD + b"content-length: 99999\r\n\r\n")
        chunk = b"1000\r\n" + b"x" * 0x1000 + b"\r\n"
        assert b" 413 " in await send_raw(port, HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunk * 5)
        assert b" 431 " in await send_raw(port, HEAD + b"a: " + b"b" * 40_000)
        assert b" 400 " in await send_raw(port, b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n")
        assert await send_raw(port, b"") == b""  # silent: closed without a response
        assert b" 100 " in await send_raw(port, HEAD + b"expect: 100-continue\r\ncontent-length: 2\r\n\r\n")
        await wait_until(lambda: server.gate.open == 0)

    server = run_server(scenario)
    assert server.late_requests >= 2 and server.rejected_requests >= 6


def test_connections_over_the_limit_are_rejected_and_later_ones_served() -> None:
    async def scenario(port: int, server: Server) -> None:
        streams = [await trio.open_tcp_stream("127.0.0.1", port) for _ in range(60)]
        await wait_until(lambda: server.gate.rejected["connections"] >= 40)
        assert server.gate.peak == 20
        for stream in streams:
            await trio.aclose_forcefully(stream)
        await wait_until(lambda: server.gate.open == 0)
        connection = await open_connection("127.0.0.1", port)
        assert (await connection.request(b"POST", b"/x", [], b"abc")).body == b"cba"
        await connection.close()

    run_server(scenario)


def test_waiting_request_ends_with_a_response_a_timeout_or_a_disconnect() -> None:
    waiting_requests: list[Waiting] = []
    ended: list[int] = []

    async def handler(line: Line, request: Call) -> Reply | Waiting:
        if request.body == b"now":
            return Reply(200, [], b"now")
        waiting = Waiting(
            lambda is_expired: Reply(304) if is_expired else responses.get("it"),
            on_end=lambda: ended.append(1),
        )
        waiting_requests.append(waiting)
        return waiting

    responses: dict[str, Reply] = {}

    async def scenario(port: int, server: Server) -> None:
        connection = await open_connection("127.0.0.1", port)
        assert (await connection.request(b"POST", b"/x", [], b"a")).status == 304
        async with trio.open_nursery() as nursery:

            async def send_update() -> None:
                await trio.sleep(0.1)
                waiting_requests[-1].wake.set()  # nothing yet
                await trio.sleep(0.05)
                responses["it"] = Reply(200, [], b"news")
                waiting_requests[-1].wake.set()

            nursery.start_soon(send_update)
            assert (await connection.request(b"POST", b"/x", [], b"b")).body == b"news"
        # two requests at once on one connection: the second is answered after the first
        del responses["it"]
        two_requests = HEAD + b"content-length: 1\r\n\r\nc" + HEAD + b"content-length: 3\r\n\r\nnow"
        received = await send_raw(port, two_requests, 1.0)
        assert received.startswith(b"HTTP/1.1 304") and received.endswith(b"now")
        stream = await trio.open_tcp_stream("127.0.0.1", port)
        await stream.send_all(HEAD + b"content-length: 1\r\n\r\nd")
        await wait_until(lambda: len(waiting_requests) == 4)
        await trio.aclose_forcefully(stream)
        await wait_until(lambda: len(ended) == 4)
        await connection.close()

    run_server(scenario, handler)


def test_client_that_does_not_read_is_disconnected_and_delays_no_other() -> None:
    async def handler(line: Line, request: Call) -> Reply | Waiting:
        return Reply(200, [], b"x" * (64 << 20) if request.body == b"big" else b"ok")

    async def scenario(port: int, server: Server) -> None:
        slow_stream = await trio.open_tcp_stream("127.0.0.1", port)
        await slow_stream.send_all(HEAD + b"content-length: 3\r\n\r\nbig")
        connection = await open_connection("127.0.0.1", port)
        assert (await connection.request(b"POST", b"/x", [], b"small")).body == b"ok"
        await wait_until(lambda: server.slow_readers == 1)
        await trio.aclose_forcefully(slow_stream)
        await connection.close()

    run_server(scenario, handler)


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


# A controller with a discovery server.

LOST_AFTER_S = 0.8  # in the test of silent proxies


class DiscoveryClient:
    """A proxy that sends the requests of the discovery protocol as a test tells it to."""

    def __init__(self, service: Service, name: str, term: int = 1) -> None:
        self.service, self.name = service, name
        self.node = forms.Node(
            name, "calls", forms.Locality(zone="north"),
            {"usual_calls_per_s": 4, "term": term, "director": service.terms.name},
        )  # fmt: skip
        self.connections: dict[str, ClientConnection] = {}
        self.headers = [(b"authorization", b"Bearer token of " + name.encode())]

    async def post(self, path: bytes, body: bytes, key: str = "", headers: Any = None) -> Reply:
        key = key or path.decode()
        connection = self.connections.get(key)
        if connection is None or not connection.usable:
            connection = self.connections[key] = await open_connection(
                "127.0.0.1", self.service.discovery_port
            )
        return await connection.request(b"POST", path, self.headers if headers is None else headers, body)

    async def request_full_state(
        self, kind: str, version: str = "", nonce: str = "", error: str = ""
    ) -> Reply:
        path_suffix = {"cds": "clusters", "eds": "endpoints", "rds": "routes"}[kind]
        error_detail = forms.Status(3, error) if error else None
        request = forms.DiscoveryRequest(version, self.node, [], forms.TYPE_URLS[kind], nonce, error_detail)
        return await self.post(f"/v3/discovery:{path_suffix}".encode(), encode(request))

    async def acknowledge_all(self, rounds: int = 3) -> dict[str, forms.DiscoveryResponse]:
        """Requests and acknowledges every resource type `rounds` times; returns the last responses."""
        responses: dict[str, forms.DiscoveryResponse] = {}
        for _ in range(rounds):
            for kind in ("cds", "eds", "rds"):
                response = responses.get(kind)
                reply = await self.request_full_state(
                    kind, response.version_info if response else "", response.nonce if response else ""
                )
                if reply.status == 200:
                    responses[kind] = decode(reply.body, forms.DiscoveryResponse)
        return responses

    async def close(self) -> None:
        for connection in self.connections.values():
            await connection.close()


class HeldResources:
    """The resources that a proxy holds, by type and name, however it received them."""

    def __init__(self) -> None:
        self.resources: dict[str, dict[str, Any]] = {"cds": {}, "eds": {}, "rds": {}}

    def apply_full_state(self, kind: str, response: forms.DiscoveryResponse) -> None:
        bodies = [json.loads(bytes(raw)) for raw in response.resources]
        self.resources[kind] = {body.get("cluster_name") or body["name"]: body for body in bodies}

    def apply_delta(self, kind: str, response: forms.DeltaDiscoveryResponse) -> None:
        for resource in response.resources:
            self.resources[kind][resource.name] = json.loads(bytes(resource.resource))
        for name in response.removed_resources:
            self.resources[kind].pop(name, None)


def read_files(proxy: FileProxy) -> HeldResources:
    """Returns the resources in the files of a proxy."""
    held = HeldResources()
    for name, data in read_group(str(proxy.down))[1].items():
        held.apply_full_state(name[:-5], decode(data, forms.DiscoveryResponse))
    return held


def is_final(held: HeldResources, endpoints: int) -> bool:
    """Returns whether a proxy holds what `RandomCommands` ends with: table 1 alone, with equal weights."""
    loaded_tables = [
        decode(encode(body), forms.ClusterLoadAssignment) for body in held.resources["eds"].values()
    ]
    entries = [entry for table in loaded_tables for entry in tables.lines(table)]
    names = [table.cluster_name.rpartition(".")[2] for table in loaded_tables]
    return names == ["t1"] and [entry[4] for entry in entries] == [1.0] * endpoints


def active_endpoints(response: forms.DiscoveryResponse) -> set[str]:
    loaded_tables = [decode(bytes(raw), forms.ClusterLoadAssignment) for raw in response.resources]
    return {entry[0] for table in loaded_tables for entry in tables.lines(table) if not entry[5]}


Scenario = Callable[[Service, FakeDiscovery, RecordingLog], Awaitable[None]]


def run_controller(
    tmp_path: Path,
    scenario: Scenario,
    decider: Any = Controller,
    proxy_lost_after_ms: float = 20_000,
    **parts: Any,
) -> RecordingLog:
    """Runs a controller with a discovery server for the time of `scenario`, and returns its log."""
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
            token_hashes = {
                name: hashlib.sha256(f"token of {name}".encode()).hexdigest() for name in ("p1", "p2", "p3")
            }
            (tmp_path / "credentials").write_text(json.dumps({"proxies": token_hashes}))
            front = FrontTerms(
                listen="127.0.0.1:0", credentials=str(tmp_path / "credentials"), wait_ms=200, asks_per_s=500,
                asks_burst=500,
            )  # fmt: skip
            terms = replace(
                EXAMPLE,
                fleet=replace(EXAMPLE.fleet, standing=0),  # proxies that tests play start without resources
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
                await scenario(service, discovery, log)
            nursery.cancel_scope.cancel()

    trio.run(run)
    return log


def test_proxy_joins_with_requests_receives_a_drain_and_reports_load(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = DiscoveryClient(service, "p1")
        held = await proxy.acknowledge_all()
        assert set(held) == {"cds", "eds", "rds"} and active_endpoints(held["eds"]) == {"a", "b", "c"}
        session = service.publisher.sessions[0]
        await wait_until(lambda: session.acknowledged > 0)
        # the controller handles the acknowledgement one event later
        await wait_until(lambda: not any(service.controller.channel.unacknowledged.values()))
        discovery.endpoints["b"], discovery.index = True, 2
        updates: dict[str, forms.DiscoveryResponse] = {}
        while "eds" not in updates or "b" in active_endpoints(updates["eds"]):
            reply = await proxy.request_full_state("eds", held["eds"].version_info, held["eds"].nonce)
            if reply.status == 200:
                held["eds"] = updates["eds"] = decode(reply.body, forms.DiscoveryResponse)
        report = encode(forms.LoadStatsRequest(proxy.node))
        path = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
        reply = await proxy.post(path, report)
        assert reply.status == 200 and b"load_reporting_interval" in reply.body
        await proxy.close()

    log = run_controller(tmp_path, scenario)
    assert log.texts("warning") == []
    beliefs = [row for row in read_records(str(tmp_path / "records")) if row["kind"] == "belief"]
    assert {row["state"] for row in beliefs} >= {"sent", "acknowledged"}


def test_delta_responses_have_only_what_changed(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = DiscoveryClient(service, "p1")
        path = b"/envoy.service.endpoint.v3.EndpointDiscoveryService/DeltaEndpoints"
        request = forms.DeltaDiscoveryRequest(proxy.node, forms.ASSIGNMENT)
        reply = await proxy.post(path, encode(request))
        while reply.status == 304:
            reply = await proxy.post(path, encode(forms.DeltaDiscoveryRequest(type_url=forms.ASSIGNMENT)))
        first = decode(reply.body, forms.DeltaDiscoveryResponse)
        assert len(first.resources) >= 1
        # a new connection: the request names what the proxy holds, which is not sent again
        await proxy.close()
        proxy.connections.clear()
        request.initial_resource_versions = {resource.name: resource.version for resource in first.resources}
        request.response_nonce = first.nonce
        assert (await proxy.post(path, encode(request))).status in (200, 304)
        await proxy.close()
        proxy.connections.clear()
        # the proxy has lost its state: everything is sent again
        request.initial_resource_versions, request.response_nonce = {}, ""
        again = decode((await proxy.post(path, encode(request))).body, forms.DeltaDiscoveryResponse)
        assert {resource.name for resource in again.resources} >= {
            resource.name for resource in first.resources
        }
        await proxy.close()

    run_controller(tmp_path, scenario)


class RandomCommands(ChurnDecider):
    """Sends random commands for a while, then gives all endpoints one weight and changes nothing more."""

    remaining = 60

    def evaluate(self, now: int) -> None:
        if self.endpoints and len(self.joined_proxies) == 3 and self.remaining > 0:
            self.remaining -= 1
            generator = random.Random(self.remaining)
            for name in self.endpoints:
                self.runtime.set_weight(generator.randrange(3), name, generator.choice([0.0, 0.5, 1.0, 2.5]))
            name, is_excluded = generator.choice(self.endpoints), generator.random() < 0.5
            (self.runtime.exclude_endpoint if is_excluded else self.runtime.readmit_endpoint)(name)
            table, route = generator.randrange(3), generator.randrange(2)
            self.runtime.set_admission(
                table, route, AdmissionLimit(generator.randrange(3), 5.0 * self.remaining)
            )
            for proxy in self.joined_proxies:
                self.runtime.bind(proxy, self.remaining % 3, [self.remaining % 2])
        if self.remaining == 0:
            self.remaining = -1
            for name in self.endpoints:
                self.runtime.set_weight(1, name, 1.0)
            for proxy in self.joined_proxies:
                self.runtime.bind(proxy, 1, self.routes)
        self.runtime.schedule_evaluation(200)

    def send_commands(self) -> None:
        """A new endpoint list alone changes nothing."""


def test_files_full_state_and_deltas_deliver_the_same_resources(tmp_path: Path) -> None:
    """One proxy reads files, one requests full state and one deltas, through sixty changes."""

    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        file_proxy, full_state_proxy, delta_proxy = (
            FileProxy(service, "p3"),
            DiscoveryClient(service, "p1"),
            DiscoveryClient(service, "p2"),
        )
        file_proxy.join()
        full_state, deltas = HeldResources(), HeldResources()

        async def follow_full_state(kind: str) -> None:
            version = nonce = ""
            while True:
                reply = await full_state_proxy.request_full_state(kind, version, nonce)
                nonce = ""
                if reply.status == 200:
                    response = decode(reply.body, forms.DiscoveryResponse)
                    version, nonce = response.version_info, response.nonce
                    full_state.apply_full_state(kind, response)

        async def follow_deltas(kind: str, word: str) -> None:
            path = f"/envoy.service.{word.lower()}.v3.{word}DiscoveryService/Delta{word}s".encode()
            nonce = ""
            while True:
                request = forms.DeltaDiscoveryRequest(
                    delta_proxy.node, forms.TYPE_URLS[kind], response_nonce=nonce
                )
                reply = await delta_proxy.post(path, encode(request))
                nonce = ""
                if reply.status == 200:
                    response = decode(reply.body, forms.DeltaDiscoveryResponse)
                    nonce = response.nonce
                    deltas.apply_delta(kind, response)

        async with trio.open_nursery() as nursery:
            for kind, word in (("cds", "Cluster"), ("eds", "Endpoint"), ("rds", "Route")):
                nursery.start_soon(follow_full_state, kind)
                nursery.start_soon(follow_deltas, kind, word)
            decider: Any = service.controller
            await wait_until(lambda: decider.remaining == -1, 20)
            with trio.fail_after(5):
                while not (
                    read_files(file_proxy).resources == full_state.resources == deltas.resources
                    and is_final(full_state, len(discovery.endpoints))
                ):
                    await trio.sleep(0.1)
                    file_proxy.acknowledge()
            final = copy.deepcopy(full_state.resources)
            for _ in range(10):  # nothing may change any more, as there are no more commands
                await trio.sleep(0.1)
                file_proxy.acknowledge()
                assert decider.remaining == -1
                assert read_files(file_proxy).resources == full_state.resources == deltas.resources == final
            assert len(final["cds"]) == len(service.terms.routes) and final["rds"]
            nursery.cancel_scope.cancel()
        await full_state_proxy.close()
        await delta_proxy.close()

    run_controller(tmp_path, scenario, decider=partial(RandomCommands, bool))


def test_requests_for_another_proxy_and_malformed_requests_are_rejected_with_a_cause(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy, other_proxy = DiscoveryClient(service, "p1"), DiscoveryClient(service, "p2")
        await proxy.acknowledge_all()
        path = b"/v3/discovery:endpoints"
        body = encode(forms.DiscoveryRequest("", proxy.node, [], forms.ASSIGNMENT))
        assert (await other_proxy.post(path, body, "as p1")).status == 403
        assert (await other_proxy.post(path, body, "no token", [])).status == 401
        assert (
            await other_proxy.post(path, body, "wrong token", [(b"authorization", b"Bearer x")])
        ).status == 401
        report = encode(forms.LoadStatsRequest(proxy.node))
        load_report_path = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
        assert (await other_proxy.post(load_report_path, report, "loads as p1")).status == 403
        for malformed, cause in (
            (b"{", b"not a DiscoveryRequest"), (b"[]", b"not a DiscoveryRequest"), (b"\xff", b"not a"),
            (encode(forms.DiscoveryRequest("", other_proxy.node, [], forms.CLUSTER)), b"type_url"),
            (encode(forms.DiscoveryRequest()), b"node"),
        ):  # fmt: skip
            reply = await other_proxy.post(path, malformed, f"bad {malformed[:4]!r}{cause!r}")
            assert reply.status == 400 and cause in reply.body, reply.body
        other_proxy.node.metadata["term"] = "x"
        reply = await other_proxy.request_full_state("eds")
        assert reply.status == 400 and b"term" in reply.body
        other_proxy.node.metadata.update(term=2, director="another")
        assert (await other_proxy.request_full_state("eds")).status == 400
        assert (await other_proxy.post(b"/v3/nothing", b"{}")).status == 404
        assert "p2" not in service.intake.sessions and "p1" in service.intake.sessions
        await proxy.close()
        await other_proxy.close()

    run_controller(tmp_path, scenario)


def test_requests_of_an_ended_session_are_rejected_and_a_newer_session_accepted(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        earlier, later = DiscoveryClient(service, "p1", 1), DiscoveryClient(service, "p1", 2)
        await earlier.acknowledge_all()
        await later.acknowledge_all()
        assert service.intake.sessions["p1"].term == 2
        assert (await earlier.request_full_state("eds")).status in (409, 503)  # on its existing connection
        reconnected = DiscoveryClient(service, "p1", 1)
        assert (await reconnected.request_full_state("eds")).status == 409  # and on a new connection
        for proxy in (earlier, later, reconnected):
            await proxy.close()

    run_controller(tmp_path, scenario)


def test_proxy_with_a_waiting_request_is_not_silent_and_one_without_requests_is(tmp_path: Path) -> None:
    """Guards against proxies that lose their tables while requests wait and no report of theirs counts."""

    async def scenario(service: Service, _discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = DiscoveryClient(service, "p1")

        async def follow(kind: str) -> None:
            version = nonce = ""
            while True:
                reply = await proxy.request_full_state(kind, version, nonce)
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

    run_controller(tmp_path, scenario, proxy_lost_after_ms=LOST_AFTER_S * 1000, wait_ms=10_000)


def test_proxy_over_its_request_rate_is_rejected_with_a_retry_after_header(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy, other_proxy = DiscoveryClient(service, "p1"), DiscoveryClient(service, "p2")
        await proxy.acknowledge_all(1)
        load_report_path = b"/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
        replies = []
        for _ in range(40):  # new connections: a single one delays responses until reports are due
            client = DiscoveryClient(service, "p1")
            replies.append(await client.post(load_report_path, encode(forms.LoadStatsRequest(proxy.node))))
            await client.close()
        rejected = [reply for reply in replies if reply.status == 429]
        assert rejected and all(int(reply.header(b"retry-after") or 0) >= 1 for reply in rejected)
        assert (
            await other_proxy.post(load_report_path, encode(forms.LoadStatsRequest(other_proxy.node)))
        ).status == 400  # it has not joined yet
        assert len(await other_proxy.acknowledge_all()) == 3
        await proxy.close()
        await other_proxy.close()

    run_controller(tmp_path, scenario, asks_per_s=20, asks_burst=15)


def test_rejected_table_is_not_sent_again_and_a_corrected_one_is(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = DiscoveryClient(service, "p1")
        responses = await proxy.acknowledge_all()
        discovery.endpoints["b"], discovery.index = True, 2
        reply = await proxy.request_full_state("eds", responses["eds"].version_info, responses["eds"].nonce)
        while reply.status != 200:
            reply = await proxy.request_full_state("eds", responses["eds"].version_info)
        rejected = decode(reply.body, forms.DiscoveryResponse)
        reply = await proxy.request_full_state(
            "eds", responses["eds"].version_info, rejected.nonce, "I do not like it"
        )
        statuses = [reply.status]
        for _ in range(3):
            reply = await proxy.request_full_state("eds", responses["eds"].version_info)
            statuses.append(reply.status)
            if reply.status == 200:
                response = decode(reply.body, forms.DiscoveryResponse)
                assert response.resources != rejected.resources  # never the same content again
        assert "update rejected by proxy" in log.texts("warning")
        discovery.endpoints["b"], discovery.endpoints["c"], discovery.index = False, True, 3
        while reply.status != 200 or "c" in active_endpoints(decode(reply.body, forms.DiscoveryResponse)):
            reply = await proxy.request_full_state("eds", responses["eds"].version_info)
        await proxy.close()

    run_controller(tmp_path, scenario)


def test_draining_controller_ends_waiting_requests_with_a_reason_and_retry_after(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = DiscoveryClient(service, "p1")
        responses = await proxy.acknowledge_all()
        (tmp_path / "d" / "drain").write_bytes(b"")
        reply = Reply(304)
        while reply.status in (200, 304):
            reply = await proxy.request_full_state("eds", responses["eds"].version_info)
        assert reply.status == 503 and b"drains" in reply.body and reply.header(b"retry-after")
        await proxy.close()

    run_controller(tmp_path, scenario)


def test_versions_command_shows_acknowledged_and_rejected_versions(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        proxy = DiscoveryClient(service, "p1")
        responses = await proxy.acknowledge_all()
        discovery.endpoints["b"], discovery.index = True, 2
        reply = await proxy.request_full_state("eds", responses["eds"].version_info, responses["eds"].nonce)
        while reply.status != 200:
            reply = await proxy.request_full_state("eds", responses["eds"].version_info)
        rejected = decode(reply.body, forms.DiscoveryResponse)
        await proxy.request_full_state(
            "eds", responses["eds"].version_info, rejected.nonce, "I do not like it"
        )
        await trio.sleep(0.3)
        output = CliRunner().invoke(main, ["versions", str(tmp_path / "records")]).output
        assert "1 proxies are here: 1 cds acknowledged" in output and "1 rds acknowledged" in output
        output = CliRunner().invoke(main, ["versions", str(tmp_path / "records"), "--proxy", "p1"]).output
        assert "refused" in output and "I do not like it" in output
        await proxy.close()

    run_controller(tmp_path, scenario)
    assert CliRunner().invoke(main, ["versions", str(tmp_path / "none")]).exit_code == 2


def test_discovery_server_without_credentials_does_not_start(tmp_path: Path) -> None:
    async def scenario(service: Service, discovery: FakeDiscovery, log: RecordingLog) -> None:
        raise AssertionError("the controller started")

    with pytest.raises(BaseExceptionGroup) as caught:
        run_controller(tmp_path, scenario, credentials="")
    assert caught.group_contains(CredentialError)
