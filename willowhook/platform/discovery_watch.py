"""Follows the endpoint list by long polling: a request waits at discovery for the next change."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..web.wire import ClientConnection, ConnectionLostError, Reply, open_connection
from .address import Address
from .endpoint_list import change_request_target, list_request_target
from .fields import Fields, MalformedFieldError
from .framing import FramingError, decode_object

# How long a request waits for a change, and how much later its answer may arrive. A silent discovery is
# detected within the sum of both. The rules allow for it, and for one more connection and request.
CHANGE_WAIT_MS = 2000
ANSWER_TIMEOUT_S = 1.2
CONNECT_TIMEOUT_S = 1.0
MIN_REQUEST_INTERVAL_S = 0.1  # after an answer without changes; the rules require a request within 0.2 s
IDLE_CLOSE_S = 0.1  # a request on a connection that the peer has just closed fails within this time
MAX_ANSWER_BYTES = 16 << 20
STATUS_OK = 200

AnswerHandler = Callable[[Fields], int | None]
LossHandler = Callable[[str], None]


class DiscoveryWatch:
    """Requests the endpoint list from `resume` on, until cancelled; a loss of discovery pauses it.

    Args:
        address: the address of discovery.
        handle_answer: handles an answer and returns the version of the list after it. Raises
            MalformedFieldError.
        handle_loss: handles the reason why there was no answer, or no usable one.

    Attributes:
        version: the version after which changes are requested; None: the complete list is requested.
    """

    def __init__(self, address: Address, handle_answer: AnswerHandler, handle_loss: LossHandler) -> None:
        self.version: int | None = None
        self._address = address
        self._handle_answer = handle_answer
        self._handle_loss = handle_loss
        self._resumed = trio.Event()
        self._exchange = trio.CancelScope()  # the request in flight, and the handling of its answer
        self._wants_complete_list = False
        self._caller: ClientConnection | None = None
        self._connected_to = address

    def resume(self) -> None:
        """Starts or continues requesting the list, until discovery is lost."""
        self._resumed.set()

    def fetch_complete_list(self) -> None:
        """Requests the complete list at once, in place of the request in flight."""
        self._wants_complete_list = True
        self._resumed.set()
        self._exchange.cancel()

    def move_to(self, address: Address) -> None:
        """Requests the list at another address from now on, at once."""
        if address != self._address:
            self._address = address
            self._resumed.set()  # only the old address was lost
            self._exchange.cancel()

    async def run(self) -> None:
        """Requests the list until cancelled."""
        while True:
            await self._resumed.wait()
            with trio.CancelScope() as self._exchange:
                await self._exchange_once()
            if self._exchange.cancelled_caught:
                await self._disconnect()

    def _pause(self) -> None:
        """Sends no more requests until `resume`: the controller has its own backoff."""
        self._resumed = trio.Event()

    async def _exchange_once(self) -> None:
        """Sends one request and handles its answer."""
        started_at = trio.current_time()
        version_before = self.version
        answer = await self._request_answer()
        if answer is None:
            return
        try:
            self.version = self._handle_answer(answer)
        except MalformedFieldError as error:
            self._pause()
            self._wants_complete_list = True
            self._handle_loss(f"malformed answer: {error}")
            return
        is_unchanged = self.version == version_before
        if is_unchanged and trio.current_time() - started_at < MIN_REQUEST_INTERVAL_S:
            await trio.sleep(MIN_REQUEST_INTERVAL_S)  # discovery answered at once, without changes

    async def _request_answer(self) -> Fields | None:
        """Returns the answer to one request; None if there was none, and the loss has been handled."""
        is_complete = self._wants_complete_list or self.version is None
        self._wants_complete_list = False  # if set from here on, it applies to the next request
        address = self._address
        answer = None
        try:
            answer = await self._request(is_complete)
        except (ConnectionLostError, trio.TooSlowError, FramingError) as error:
            with trio.CancelScope(shield=True):  # a change of address at this point must not hide the loss
                await self._disconnect()
            if address == self._address:
                self._pause()
                self._handle_loss(_describe_loss(error))
        finally:
            if answer is None and is_complete:
                self._wants_complete_list = True
        return answer

    async def _request(self, is_complete: bool) -> Fields:
        """Raises Broken, TooSlowError or FramingError if no answer arrives, or one that is no JSON object."""
        if is_complete or self.version is None:
            target = list_request_target()
            timeout_s = ANSWER_TIMEOUT_S
        else:
            target = change_request_target(self.version, CHANGE_WAIT_MS)
            timeout_s = CHANGE_WAIT_MS / 1000 + ANSWER_TIMEOUT_S
        with trio.fail_after(timeout_s):
            reply = await self._call(target.encode())
        if reply.status != STATUS_OK:
            raise ConnectionLostError(f"status {reply.status}", True)
        return decode_object(reply.body)

    async def _call(self, target: bytes) -> Reply:
        """Sends the request on the existing connection, or else on a new one. Raises Broken."""
        caller = self._caller
        if caller is not None and caller.usable and self._connected_to == self._address:
            started_at = trio.current_time()
            try:
                return await caller.request(b"GET", target, max_body_bytes=MAX_ANSWER_BYTES)
            except ConnectionLostError:
                if trio.current_time() - started_at > IDLE_CLOSE_S:
                    raise
                # the peer closed an idle connection while the request was sent: retried on a new one
        caller = await self._connect()
        return await caller.request(b"GET", target, max_body_bytes=MAX_ANSWER_BYTES)

    async def _connect(self) -> ClientConnection:
        await self._disconnect()
        self._connected_to = self._address
        self._caller = await open_connection(*self._connected_to, CONNECT_TIMEOUT_S)
        return self._caller

    async def _disconnect(self) -> None:
        if self._caller is not None:
            caller = self._caller
            self._caller = None
            await caller.close()


def _describe_loss(error: Exception) -> str:
    return "no answer in time" if isinstance(error, trio.TooSlowError) else str(error)
