"""Follows the endpoint list by long polling: service discovery holds a request until the next change."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..answer_time_limit import AnswerTimeLimit
from ..web.wire import ClientConnection, ConnectionLostError, Reply, open_connection
from .address import Address
from .discovery_statistics import DiscoveryStatistics
from .endpoint_list import change_request_target, list_request_target
from .fields import Fields, MalformedFieldError
from .framing import FramingError, decode_object

# How long a request waits for a change, and how much later its answer may arrive. A lost answer is detected
# within the sum of both. It counts as received 2 s after the wait ended: what the answer time leaves of that
# has to suffice for the pause after a loss, a connection and the next answer (docs/platform.md).
CHANGE_WAIT_MS = 2000
MIN_ANSWER_TIME_LIMIT_S = 1.2  # while service discovery answers quickly
MAX_ANSWER_TIME_LIMIT_S = 6.0  # every answer counts as received after it
CONNECT_TIMEOUT_S = 0.5  # a path that works again is used only after the attempt from before has ended
MIN_REQUEST_INTERVAL_S = 0.1  # after an answer without changes; the platform requires one within 0.2 s
IDLE_CLOSE_S = 0.1  # a request on a connection that the peer has just closed fails within it
MAX_ANSWER_BYTES = 16 << 20
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class ListRequest:
    """A request to service discovery.

    Attributes:
        target: the request target.
        wait_ms: how long the server waits for a change; 0 for the complete list.
        is_complete: whether it is for the complete list.
    """

    target: str
    wait_ms: int
    is_complete: bool


AnswerHandler = Callable[[Fields], int | None]
LossHandler = Callable[[str], None]


class DiscoveryWatch:
    """Requests the endpoint list from `resume` until cancelled; a loss of discovery pauses the requests.

    Args:
        address: the address of service discovery.
        handle_answer: handles an answer and returns the resulting version of the list. Raises
            MalformedFieldError.
        handle_loss: handles the reason why there was no valid answer.
        seconds_until_fetch: returns the time until the next `fetch_complete_list`; infinite if none is
            scheduled. A request waits for a change no longer than that.

    Attributes:
        version: changes after this version are requested; None if the complete list is requested.
        statistics: counts of the requests.
    """

    def __init__(
        self,
        address: Address,
        handle_answer: AnswerHandler,
        handle_loss: LossHandler,
        seconds_until_fetch: Callable[[], float] = lambda: math.inf,
    ) -> None:
        self.version: int | None = None
        self.statistics = DiscoveryStatistics()
        self._address = address
        self._handle_answer = handle_answer
        self._handle_loss = handle_loss
        self._seconds_until_fetch = seconds_until_fetch
        self._resumed = trio.Event()
        self._exchange_scope = trio.CancelScope()  # the request in flight, and the handling of its answer
        self._wants_complete_list = False  # by the next request
        self._is_fetching = False  # the request in flight is for the complete list
        self._lost_answers = 0  # requests in a row that were sent and not answered
        self._time_limit = _new_time_limit()
        self._connection: ClientConnection | None = None
        self._connected_to = address

    def resume(self) -> None:
        """Starts or resumes requesting the list, until discovery is lost."""
        self._resumed.set()

    def fetch_complete_list(self) -> None:
        """Requests the complete list after the request in flight, unless that is for the complete list.

        No request is given up for it: its answer may be on the way, and the next one may take as long.
        """
        if not self._is_fetching:
            self._wants_complete_list = True
        self._resumed.set()

    def set_address(self, address: Address) -> None:
        """Requests the list at another address from now on, starting immediately."""
        if address != self._address:
            self._address = address
            self._time_limit = _new_time_limit()
            self._resumed.set()  # a loss concerned the old address only
            self._exchange_scope.cancel()

    async def run(self) -> None:
        """Requests the list until cancelled."""
        while True:
            await self._resumed.wait()
            with trio.CancelScope() as self._exchange_scope:
                await self._exchange_once()
            if self._exchange_scope.cancelled_caught:
                await self._disconnect()

    def _pause(self) -> None:
        """Sends no more requests until `resume`: the controller has its own backoff."""
        self._resumed = trio.Event()

    def _report_loss(self, reason: str) -> None:
        self.statistics.losses += 1
        self._handle_loss(reason)

    async def _exchange_once(self) -> None:
        """Sends one request and handles its answer."""
        started_at = trio.current_time()
        version_before = self.version
        request = self._next_request()
        answer = await self._request_answer(request)
        if answer is None:
            return
        duration_s = trio.current_time() - started_at
        try:
            self.version = self._handle_answer(answer)
        except MalformedFieldError as error:
            self._pause()
            self._wants_complete_list = True
            self._report_loss(f"malformed answer: {error}")
            return
        self.statistics.answers += 1
        is_unchanged = self.version == version_before
        self._record_answer_time(request, duration_s, is_unchanged)
        if is_unchanged and duration_s < MIN_REQUEST_INTERVAL_S:
            await trio.sleep(MIN_REQUEST_INTERVAL_S)  # the server answered immediately, without changes

    def _next_request(self) -> ListRequest:
        if self._wants_complete_list or self.version is None:
            return ListRequest(list_request_target(), 0, is_complete=True)
        wait_ms = self._change_wait_ms
        return ListRequest(change_request_target(self.version, wait_ms), wait_ms, is_complete=False)

    async def _request_answer(self, request: ListRequest) -> Fields | None:
        """Returns the answer to a request; None if there was none, and the loss has been handled."""
        self._is_fetching = request.is_complete
        self._wants_complete_list = False
        self.statistics.requests += 1
        address = self._address
        answer = None
        try:
            answer = await self._request(request)
        except (ConnectionLostError, trio.TooSlowError, FramingError) as error:
            with trio.CancelScope(shield=True):  # a change of the address here must not hide the loss
                await self._disconnect()
            self._lost_answers += _may_have_lost_answer(error)
            if address == self._address:
                self._pause()
                self._report_loss(_describe_loss(error))
        else:
            self._lost_answers = 0
        finally:
            if answer is None and request.is_complete:
                self._wants_complete_list = True
            self._is_fetching = False
        return answer

    async def _request(self, request: ListRequest) -> Fields:
        """Raises ConnectionLostError, TooSlowError or FramingError if no JSON object is received."""
        try:
            with trio.fail_after(request.wait_ms / 1000 + self._time_limit.seconds):
                reply = await self._call(request.target.encode())
        except trio.TooSlowError:
            self._time_limit.record_timeout()
            raise
        self._time_limit.record_answer()
        if reply.status != STATUS_OK:
            raise ConnectionLostError(f"unexpected status {reply.status}", True)
        return decode_object(reply.body)

    def _record_answer_time(self, request: ListRequest, duration_s: float, is_unchanged: bool) -> None:
        """Records the time that the server needed, unless a change may have ended its wait."""
        answer_time_s = duration_s - request.wait_ms / 1000
        if answer_time_s >= 0 and (is_unchanged or not request.wait_ms):
            self._time_limit.record_answer_time(answer_time_s)

    @property
    def _change_wait_ms(self) -> int:
        """How long the next request waits for a change: no longer than until the complete list is fetched.

        The first one after a lost answer does not wait, so that the loss of its answer is detected sooner. No
        one does after a time-out, so that the whole time limit is left to a server that is merely slow.
        """
        if self._lost_answers == 1 or self._time_limit.timeouts:
            return 0
        return math.ceil(min(CHANGE_WAIT_MS, 1000 * self._seconds_until_fetch()))

    async def _call(self, target: bytes) -> Reply:
        """Requests on the existing connection if usable, else on a new one. Raises ConnectionLostError."""
        connection = self._connection
        if connection is not None and connection.usable and self._connected_to == self._address:
            started_at = trio.current_time()
            try:
                return await connection.request(b"GET", target, max_body_bytes=MAX_ANSWER_BYTES)
            except ConnectionLostError:
                if trio.current_time() - started_at > IDLE_CLOSE_S:
                    raise
                # the peer closed the idle connection while the request was being sent: retry on a new one
        connection = await self._connect()
        return await connection.request(b"GET", target, max_body_bytes=MAX_ANSWER_BYTES)

    async def _connect(self) -> ClientConnection:
        await self._disconnect()
        self._connected_to = self._address
        self._connection = await open_connection(*self._connected_to, CONNECT_TIMEOUT_S)
        return self._connection

    async def _disconnect(self) -> None:
        if self._connection is not None:
            connection = self._connection
            self._connection = None
            await connection.close()


def _new_time_limit() -> AnswerTimeLimit:
    return AnswerTimeLimit(MIN_ANSWER_TIME_LIMIT_S, MAX_ANSWER_TIME_LIMIT_S)


def _may_have_lost_answer(error: Exception) -> bool:
    """Whether the request may have been answered; one that found no connection was not."""
    if isinstance(error, ConnectionLostError):
        return error.sent
    return isinstance(error, trio.TooSlowError)


def _describe_loss(error: Exception) -> str:
    return "timed out waiting for an answer" if isinstance(error, trio.TooSlowError) else str(error)
