"""Concurrent events in the discovery watch, tested against a discovery server on a real socket."""

from __future__ import annotations

import json
import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
import trio

from willowhook.platform.address import Address
from willowhook.platform.discovery_statistics import DiscoveryStatistics
from willowhook.platform.discovery_watch import DiscoveryWatch
from willowhook.platform.fields import Fields, MalformedFieldError

Scenario = Callable[["FakeDiscovery", "WatchRecorder"], Awaitable[None]]


class FakeDiscovery:
    """A discovery server that leaves each answer to the scenario."""

    def __init__(self) -> None:
        channels = trio.open_memory_channel[tuple[str, trio.SocketStream]](99)
        self._requests_in, self._requests = channels
        self.connection_count = 0
        self.port = 0

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        await trio.serve_listeners(self._read, [listener], task_status=task_status)  # type: ignore[arg-type]

    async def _read(self, stream: trio.SocketStream) -> None:
        self.connection_count += 1
        received = b""
        try:
            while data := await stream.receive_some(4096):
                received += data
                while b"\r\n\r\n" in received:
                    header, received = received.split(b"\r\n\r\n", 1)
                    await self._requests_in.send((header.split()[1].decode(), stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def next_request(self) -> tuple[str, trio.SocketStream]:
        with trio.fail_after(5):
            return await self._requests.receive()


async def send_answer(stream: trio.SocketStream, version: int) -> None:
    body = json.dumps({"seq": version, "whole": False, "hosts": []}).encode()
    await send_response(stream, b"200 OK", body)


async def send_response(stream: trio.SocketStream, status: bytes, body: bytes) -> None:
    header = b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n" % (status, len(body))
    await stream.send_all(header + body)


class WatchRecorder:
    """A discovery watch, and a record of the calls of its handlers."""

    def __init__(self, port: int) -> None:
        self.versions: list[int] = []
        self.losses: list[str] = []
        self.while_handling: Callable[[], None] = (
            lambda: None
        )  # called once, while the next answer is handled
        self.until_fetch_s = math.inf
        self.watch = DiscoveryWatch(
            Address("127.0.0.1", port), self.handle_answer, self.losses.append, lambda: self.until_fetch_s
        )
        self.watch.version = 7

    def handle_answer(self, fields: Fields) -> int:
        self.versions.append(fields["seq"])
        callback = self.while_handling
        self.while_handling = lambda: None
        callback()
        if fields["seq"] < 0:
            raise MalformedFieldError("seq")
        return int(fields["seq"])


@asynccontextmanager
async def another_discovery() -> AsyncIterator[FakeDiscovery]:
    """Serves another discovery server, to which the watch may be moved."""
    async with trio.open_nursery() as nursery:
        discovery = FakeDiscovery()
        await nursery.start(discovery.serve)
        yield discovery
        nursery.cancel_scope.cancel()


def run_scenario(scenario: Scenario) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            discovery = FakeDiscovery()
            await nursery.start(discovery.serve)
            recorder = WatchRecorder(discovery.port)
            recorder.watch.resume()
            nursery.start_soon(recorder.watch.run)
            await scenario(discovery, recorder)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_fetch_from_the_answer_handler_is_requested_next() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        target, stream = await discovery.next_request()
        assert "after=7" in target
        recorder.while_handling = (
            recorder.watch.fetch_complete_list
        )  # as the controller does while it handles the list
        await send_answer(stream, 8)
        target, _ = await discovery.next_request()
        assert target == "/v1/servers"

    run_scenario(scenario)


def test_fetch_survives_the_loss_of_its_request() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        recorder.watch.fetch_complete_list()
        await send_answer(stream, 8)
        target, stream = await discovery.next_request()
        assert target == "/v1/servers"
        await trio.sleep(0.15)  # longer than IDLE_CLOSE_S, so the close is a loss
        await stream.aclose()
        with trio.fail_after(5):
            while not recorder.losses:
                await trio.sleep(0.01)
        recorder.watch.resume()
        target, _ = await discovery.next_request()
        assert target == "/v1/servers"

    run_scenario(scenario)


def test_fetches_do_not_replace_the_request_in_flight() -> None:
    """Guards against fetches that cancel one another, so that no answer of a slow discovery ever arrives."""

    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        async def expect_no_request() -> None:
            for _ in range(4):
                recorder.watch.fetch_complete_list()
                with pytest.raises(trio.TooSlowError), trio.fail_after(0.1):
                    await discovery.next_request()

        target, stream = await discovery.next_request()
        assert "after=7" in target
        await expect_no_request()
        await send_answer(stream, 8)
        target, stream = await discovery.next_request()
        assert target == "/v1/servers"
        await expect_no_request()
        await send_answer(stream, 9)
        target, _ = await discovery.next_request()
        assert "after=9" in target  # the complete list that has come is the one that was fetched
        assert recorder.versions == [8, 9] and not recorder.losses and discovery.connection_count == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("until_fetch_s", "wait_ms"), [(math.inf, 2000), (9.0, 2000), (0.4004, 401), (0.0, 0)]
)
def test_request_waits_for_a_change_no_longer_than_until_the_next_fetch(
    until_fetch_s: float, wait_ms: int
) -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        recorder.until_fetch_s = until_fetch_s
        await send_answer(stream, 8)
        target, _ = await discovery.next_request()
        assert target.endswith(f"after=8&wait_ms={wait_ms}")

    run_scenario(scenario)


def test_address_change_from_the_answer_handler_requests_at_the_new_address() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        async with another_discovery() as new:
            _, stream = await discovery.next_request()
            recorder.while_handling = lambda: recorder.watch.set_address(
                Address("127.0.0.1", new.port)
            )  # the answer from the old address has been received by then
            await send_answer(stream, 8)
            target, stream = await new.next_request()
            assert "after=8" in target and not recorder.losses

    run_scenario(scenario)


def test_address_change_after_a_loss_requests_at_the_new_address_immediately() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        async with another_discovery() as new:
            _, stream = await discovery.next_request()
            await trio.sleep(0.15)  # longer than IDLE_CLOSE_S, so the close is a loss
            await stream.aclose()
            with trio.fail_after(5):
                while not recorder.losses:
                    await trio.sleep(0.01)
            recorder.watch.set_address(Address("127.0.0.1", new.port))  # during the controller's backoff
            target, _ = await new.next_request()
            assert "after=7" in target

    run_scenario(scenario)


def test_fetch_in_flight_is_sent_to_the_new_address_after_an_address_change() -> None:
    """Guards against a fetched list that is forgotten because discovery moved before its answer."""

    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        async with another_discovery() as new:
            _, stream = await discovery.next_request()
            recorder.watch.fetch_complete_list()
            await send_answer(stream, 8)
            target, _ = await discovery.next_request()
            assert target == "/v1/servers"
            recorder.watch.set_address(Address("127.0.0.1", new.port))
            target, stream = await new.next_request()
            assert target == "/v1/servers" and not recorder.losses
            await send_answer(stream, 9)
            target, _ = await new.next_request()
            assert "after=9" in target

    run_scenario(scenario)


def test_idle_connection_closed_as_the_request_is_written_is_retried_without_a_loss() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        await send_answer(stream, 8)
        target, stream = await discovery.next_request()
        await stream.aclose()  # closed after the request was read, without an answer
        target, stream = await discovery.next_request()
        assert "after=8" in target and discovery.connection_count == 2 and not recorder.losses
        await send_answer(stream, 9)
        await discovery.next_request()
        assert recorder.versions == [8, 9]
        assert recorder.watch.statistics == DiscoveryStatistics(requests=3, answers=2, losses=0)

    run_scenario(scenario)


def test_immediate_answers_without_changes_limit_requests_to_ten_per_second() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        with trio.move_on_after(1.05):
            while True:
                _, stream = await discovery.next_request()
                await send_answer(stream, 7)
        assert 5 <= len(recorder.versions) <= 11

    run_scenario(scenario)


def test_malformed_answer_is_followed_by_a_request_for_the_complete_list() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        await send_answer(stream, -1)
        with trio.fail_after(5):
            while not recorder.losses:
                await trio.sleep(0.01)
        recorder.watch.resume()
        target, _ = await discovery.next_request()
        assert target == "/v1/servers"

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("status", "body", "reason"),
    [
        (b"503 Service Unavailable", b"", "unexpected status 503"),
        (b"200 OK", b"[]", "expected a JSON object, got list"),
        (b"200 OK", b"{", "invalid JSON: "),
    ],
)
def test_answer_without_a_list_is_a_loss_and_pauses_the_watch(
    status: bytes, body: bytes, reason: str
) -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        await send_response(stream, status, body)
        with trio.fail_after(5):
            while not recorder.losses:
                await trio.sleep(0.01)
        assert len(recorder.losses) == 1 and recorder.losses[0].startswith(reason)
        with pytest.raises(trio.TooSlowError), trio.fail_after(0.3):
            await discovery.next_request()
        recorder.watch.resume()
        target, _ = await discovery.next_request()
        assert "after=7" in target and discovery.connection_count == 2
        assert recorder.watch.statistics == DiscoveryStatistics(requests=2, answers=0, losses=1)

    run_scenario(scenario)


def test_first_request_after_a_lost_answer_does_not_wait_for_a_change() -> None:
    """Guards against drains that come too late when two answers in a row are lost."""

    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        async def request_after_loss(losses: int, stream: trio.SocketStream) -> tuple[str, trio.SocketStream]:
            await trio.sleep(0.15)  # longer than IDLE_CLOSE_S, so the close is a loss
            await stream.aclose()
            with trio.fail_after(5):
                while len(recorder.losses) < losses:
                    await trio.sleep(0.01)
            recorder.watch.resume()
            return await discovery.next_request()

        _, stream = await discovery.next_request()
        target, stream = await request_after_loss(1, stream)
        assert target.endswith("after=7&wait_ms=0")
        target, stream = await request_after_loss(2, stream)
        assert target.endswith("after=7&wait_ms=2000")  # a slow discovery is allowed the whole time again
        await send_answer(stream, 8)
        target, stream = await discovery.next_request()
        assert target.endswith("after=8&wait_ms=2000")
        target, stream = await request_after_loss(3, stream)
        assert target.endswith("after=8&wait_ms=0")

    run_scenario(scenario)


def test_connection_that_does_not_come_up_is_a_loss_before_the_kernel_repeats_its_request() -> None:
    """Guards against a path that is restored during an attempt to connect, and is used a second later."""

    async def main() -> None:
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            with socket.create_connection(listener.getsockname(), 1.0):  # the queue of the listener is full
                recorder = WatchRecorder(listener.getsockname()[1])
                async with trio.open_nursery() as nursery:
                    recorder.watch.resume()
                    nursery.start_soon(recorder.watch.run)
                    with trio.fail_after(0.9):
                        while not recorder.losses:
                            await trio.sleep(0.01)
                    nursery.cancel_scope.cancel()
        assert recorder.losses[0].startswith("cannot connect")

    trio.run(main)
