"""The discovery watch where two things happen at once, against a discovery on a real socket."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import pytest
import trio

from willowhook.platform.address import Address
from willowhook.platform.discovery_watch import DiscoveryWatch
from willowhook.platform.fields import Fields, MalformedFieldError

Scenario = Callable[["FakeDiscovery", "WatchRecorder"], Awaitable[None]]


class FakeDiscovery:
    """A discovery whose answers the scenario sends, one by one."""

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
                    head, received = received.split(b"\r\n\r\n", 1)
                    await self._requests_in.send((head.split()[1].decode(), stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def next_request(self) -> tuple[str, trio.SocketStream]:
        with trio.fail_after(5):
            return await self._requests.receive()


async def answer(stream: trio.SocketStream, version: int) -> None:
    body = json.dumps({"seq": version, "whole": False, "hosts": []}).encode()
    await respond(stream, b"200 OK", body)


async def respond(stream: trio.SocketStream, status: bytes, body: bytes) -> None:
    head = b"HTTP/1.1 %s\r\ncontent-length: %d\r\n\r\n" % (status, len(body))
    await stream.send_all(head + body)


class WatchRecorder:
    """A discovery watch, and what its handlers were given."""

    def __init__(self, port: int) -> None:
        self.versions: list[int] = []
        self.losses: list[str] = []
        self.while_handling: Callable[[], None] = lambda: None  # runs once, in the next answer's handler
        self.watch = DiscoveryWatch(Address("127.0.0.1", port), self.handle_answer, self.losses.append)
        self.watch.version = 7

    def handle_answer(self, fields: Fields) -> int:
        self.versions.append(fields["seq"])
        act = self.while_handling
        self.while_handling = lambda: None
        act()
        if fields["seq"] < 0:
            raise MalformedFieldError("seq")
        return int(fields["seq"])


def play(scenario: Scenario) -> None:
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


def test_fetch_from_the_answer_handler_is_not_lost() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        target, stream = await discovery.next_request()
        assert "after=7" in target
        recorder.while_handling = (
            recorder.watch.fetch_complete_list
        )  # the controller does so as it handles the list
        await answer(stream, 8)
        target, _ = await discovery.next_request()
        assert target == "/v1/servers"

    play(scenario)


def test_fetch_survives_the_loss_of_its_request() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        recorder.watch.fetch_complete_list()
        target, stream = await discovery.next_request()
        assert target == "/v1/servers"
        await stream.aclose()  # before an answer; the connection was new, so it counts as a loss
        with trio.fail_after(5):
            while not recorder.losses:
                await trio.sleep(0.01)
        recorder.watch.resume()
        target, _ = await discovery.next_request()
        assert target == "/v1/servers"

    play(scenario)


def test_move_from_the_answer_handler_requests_at_the_new_address() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        async with trio.open_nursery() as nursery:
            new = FakeDiscovery()
            await nursery.start(new.serve)
            _, stream = await discovery.next_request()
            recorder.while_handling = lambda: recorder.watch.set_address(
                Address("127.0.0.1", new.port)
            )  # the old answer was complete before
            await answer(stream, 8)
            target, stream = await new.next_request()
            assert "after=8" in target and not recorder.losses
            nursery.cancel_scope.cancel()

    play(scenario)


def test_move_after_a_loss_requests_at_the_new_address_at_once() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        async with trio.open_nursery() as nursery:
            new = FakeDiscovery()
            await nursery.start(new.serve)
            _, stream = await discovery.next_request()
            await trio.sleep(0.15)  # later than the close of an idle connection shows
            await stream.aclose()
            with trio.fail_after(5):
                while not recorder.losses:
                    await trio.sleep(0.01)
            recorder.watch.set_address(Address("127.0.0.1", new.port))  # the controller's backoff is not over
            target, _ = await new.next_request()
            assert "after=7" in target
            nursery.cancel_scope.cancel()

    play(scenario)


def test_idle_connection_closed_as_the_request_is_written_is_retried_without_a_loss() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        await answer(stream, 8)
        target, stream = await discovery.next_request()
        await stream.aclose()  # closed with the request read and not answered
        target, stream = await discovery.next_request()
        assert "after=8" in target and discovery.connection_count == 2 and not recorder.losses
        await answer(stream, 9)
        await discovery.next_request()
        assert recorder.versions == [8, 9]

    play(scenario)


def test_discovery_that_answers_at_once_without_news_gets_ten_requests_a_second() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        with trio.move_on_after(1.05):
            while True:
                _, stream = await discovery.next_request()
                await answer(stream, 7)
        assert 5 <= len(recorder.versions) <= 11

    play(scenario)


def test_malformed_answer_is_followed_by_a_request_for_the_complete_list() -> None:
    async def scenario(discovery: FakeDiscovery, recorder: WatchRecorder) -> None:
        _, stream = await discovery.next_request()
        await answer(stream, -1)
        with trio.fail_after(5):
            while not recorder.losses:
                await trio.sleep(0.01)
        recorder.watch.resume()
        target, _ = await discovery.next_request()
        assert target == "/v1/servers"

    play(scenario)


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
        await respond(stream, status, body)
        with trio.fail_after(5):
            while not recorder.losses:
                await trio.sleep(0.01)
        assert len(recorder.losses) == 1 and recorder.losses[0].startswith(reason)
        with pytest.raises(trio.TooSlowError), trio.fail_after(0.3):
            await discovery.next_request()
        recorder.watch.resume()
        target, _ = await discovery.next_request()
        assert "after=7" in target and discovery.connection_count == 2

    play(scenario)
