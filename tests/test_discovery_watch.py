"""The watch on discovery where two things cross: a discovery on a real socket that stops at a named step."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import trio

from willowhook.platform.address import Address
from willowhook.platform.discovery_watch import DiscoveryWatch
from willowhook.platform.fields import FieldError, Fields

Scene = Callable[["Place", "Told"], Awaitable[None]]


class Place:
    """A discovery whose answers the scene hands out, one by one."""

    def __init__(self) -> None:
        self.asked, self.questions = trio.open_memory_channel[tuple[str, trio.SocketStream]](99)
        self.dials = 0
        self.port = 0

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.port = listener.socket.getsockname()[1]
        await trio.serve_listeners(self.read, [listener], task_status=task_status)  # type: ignore[arg-type]

    async def read(self, stream: trio.SocketStream) -> None:
        self.dials += 1
        held = b""
        try:
            while data := await stream.receive_some(4096):
                held += data
                while b"\r\n\r\n" in held:
                    head, held = held.split(b"\r\n\r\n", 1)
                    await self.asked.send((head.split()[1].decode(), stream))
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def question(self) -> tuple[str, trio.SocketStream]:
        with trio.fail_after(5):
            return await self.questions.receive()


async def answer(stream: trio.SocketStream, seq: int, whole: bool = False) -> None:
    body = json.dumps({"seq": seq, "whole": whole, "hosts": []}).encode()
    await stream.send_all(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)


class Told:
    def __init__(self, port: int) -> None:
        self.seqs, self.lost = list[int](), list[str]()
        self.act: Callable[[], None] = lambda: None
        self.watch = DiscoveryWatch(Address("127.0.0.1", port), self.told, self.hears_lost)
        self.watch.version = 7

    def told(self, fields: Fields) -> int:
        self.seqs.append(fields["seq"])
        act, self.act = self.act, lambda: None
        act()
        if fields["seq"] < 0:
            raise FieldError("seq")
        return int(fields["seq"])

    def hears_lost(self, why: str) -> None:
        self.lost.append(why)


def play(scene: Scene) -> None:
    async def whole() -> None:
        async with trio.open_nursery() as nursery:
            place = Place()
            await nursery.start(place.serve)
            told = Told(place.port)
            told.watch.resume()
            nursery.start_soon(told.watch.run)
            await scene(place, told)
            nursery.cancel_scope.cancel()

    trio.run(whole)


def test_a_wish_for_the_whole_list_out_of_an_answer_is_not_lost() -> None:
    async def scene(place: Place, told: Told) -> None:
        target, stream = await place.question()
        assert "after=7" in target
        told.act = told.watch.fetch_complete_list  # the module asks for it as it is told
        await answer(stream, 8)
        target, _ = await place.question()
        assert target == "/v1/servers"

    play(scene)


def test_a_wish_for_the_whole_list_survives_a_question_that_is_lost() -> None:
    async def scene(place: Place, told: Told) -> None:
        _, stream = await place.question()
        told.watch.fetch_complete_list()
        target, stream = await place.question()
        assert target == "/v1/servers"
        await stream.aclose()  # before an answer; it is on a connection of its own, so it counts as lost
        with trio.fail_after(5):
            while not told.lost:
                await trio.sleep(0.01)
        told.watch.resume()
        target, _ = await place.question()
        assert target == "/v1/servers"

    play(scene)


def test_after_a_move_out_of_an_answer_the_new_address_is_asked() -> None:
    async def scene(place: Place, told: Told) -> None:
        async with trio.open_nursery() as nursery:
            new = Place()
            await nursery.start(new.serve)
            _, stream = await place.question()
            told.act = lambda: told.watch.move_to(
                Address("127.0.0.1", new.port)
            )  # the old answer came whole before it
            await answer(stream, 8)
            target, stream = await new.question()
            assert "after=8" in target and not told.lost
            nursery.cancel_scope.cancel()

    play(scene)


def test_after_a_move_while_the_old_address_is_lost_the_new_one_is_asked_at_once() -> None:
    async def scene(place: Place, told: Told) -> None:
        async with trio.open_nursery() as nursery:
            new = Place()
            await nursery.start(new.serve)
            _, stream = await place.question()
            await trio.sleep(0.15)  # a break later than that of an idle connection
            await stream.aclose()
            with trio.fail_after(5):
                while not told.lost:
                    await trio.sleep(0.01)
            told.watch.move_to(Address("127.0.0.1", new.port))  # the module's pause is not over
            target, _ = await new.question()
            assert "after=7" in target
            nursery.cancel_scope.cancel()

    play(scene)


def test_a_connection_that_closes_as_the_question_is_written_is_no_loss() -> None:
    async def scene(place: Place, told: Told) -> None:
        _, stream = await place.question()
        await answer(stream, 8)
        target, stream = await place.question()
        await stream.aclose()  # closed with the question read and not answered
        target, stream = await place.question()
        assert "after=8" in target and place.dials == 2 and not told.lost
        await answer(stream, 9)
        await place.question()
        assert told.seqs == [8, 9]

    play(scene)


def test_a_discovery_that_answers_at_once_with_nothing_new_is_asked_ten_times_a_second() -> None:
    async def scene(place: Place, told: Told) -> None:
        with trio.move_on_after(1.05):
            while True:
                _, stream = await place.question()
                await answer(stream, 7)
        assert 5 <= len(told.seqs) <= 11

    play(scene)


def test_after_an_answer_of_no_use_the_whole_list_is_asked_for() -> None:
    async def scene(place: Place, told: Told) -> None:
        _, stream = await place.question()
        await answer(stream, -1)
        with trio.fail_after(5):
            while not told.lost:
                await trio.sleep(0.01)
        told.watch.resume()
        target, _ = await place.question()
        assert target == "/v1/servers"

    play(scene)
