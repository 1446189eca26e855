"""Sessions of proxies and collectors: converts their messages into events and sends updates to proxies."""

from __future__ import annotations

from collections.abc import Callable

from ..decisions.events import Event, ProxyJoined, ProxyLeft
from .configuration import ControllerConfiguration
from .connection import Connection, PeerRole
from .connection_server import ConnectionServer, IdentificationError
from .fields import Fields, MalformedFieldError
from .messages import HEARTBEAT_REPLY, CollectorJoined, Heartbeat, Message, MessageDecoder
from .proxy_updates import ProxyUpdates
from .runtime import WriteLog
from .update_encoder import EncodedParts

MAX_LOGGED_MALFORMED_MESSAGES = 20  # since the process started; later ones are only counted
MAX_LOGGED_TYPE_CHARACTERS = 40
BYTES_PER_MB = 1 << 20
BUFFER_DIVISOR = 4  # all connections together may hold this part of the memory of the process
JOIN_MESSAGES = (ProxyJoined, CollectorJoined)

SubmitEvent = Callable[[Event], None]


class ProxySessions:
    """Handles the messages of all peers, and tracks which connection belongs to which proxy.

    Args:
        configuration: the configuration of the controller.
        submit: handles the events that messages are decoded into.
        wake: called when a collector joins, which has no event.
        write_log: writes one line to the log.

    Attributes:
        connections: the server of all connections.
        updates: the updates sent to and pending for each proxy.
        malformed_count: number of messages refused since the start.
    """

    def __init__(
        self,
        configuration: ControllerConfiguration,
        submit: SubmitEvent,
        wake: Callable[[], None],
        write_log: WriteLog,
    ) -> None:
        self.connections = ConnectionServer(
            configuration.listen,
            configuration.max_descriptors,
            int(configuration.max_memory_mb * BYTES_PER_MB / BUFFER_DIVISOR),
            self._handle_message,
            self._handle_close,
        )
        self.updates = ProxyUpdates(configuration.settings, self._send_update)
        self.malformed_count = 0
        self._decoder = MessageDecoder(configuration.settings)
        self._submit = submit
        self._wake = wake
        self._write_log = write_log
        self._connection_by_proxy: dict[int, Connection] = {}

    @property
    def proxy_count(self) -> int:
        """The number of proxies that have a session."""
        return len(self._connection_by_proxy)

    def end_session(self, proxy: int) -> None:
        """Closes the connection of a proxy, if it has one, and submits its `ProxyLeft` immediately."""
        connection = self._connection_by_proxy.get(proxy)
        if connection is not None:
            connection.is_ended_here = True
            self.connections.close(connection)

    def _handle_message(self, connection: Connection, fields: Fields) -> None:
        """Raises IdentificationError if the first message, heartbeats aside, does not identify the peer."""
        try:
            message = self._decoder.decode(fields, connection.proxy)
            if isinstance(message, Heartbeat):
                self.connections.send(connection, HEARTBEAT_REPLY)
            elif not connection.is_identified:
                self._identify(connection, message)
            elif isinstance(message, JOIN_MESSAGES):
                raise MalformedFieldError("t: the peer has already joined")
            else:
                self._submit(message)
        except MalformedFieldError as error:
            if not connection.is_identified:
                raise IdentificationError(str(error)) from error
            self._record_malformed(fields, error)

    def _identify(self, connection: Connection, message: Message) -> None:
        if isinstance(message, ProxyJoined):
            self._open_session(connection, message)
        elif isinstance(message, CollectorJoined):
            connection.role = PeerRole.COLLECTOR
            self._wake()
        else:
            raise MalformedFieldError("t: the peer has not joined")
        self.connections.confirm_identity(connection)

    def _open_session(self, connection: Connection, joined: ProxyJoined) -> None:
        """Opens the session of a proxy. Of two connections, the one that was accepted last is used."""
        proxy = joined.proxy
        previous = self._connection_by_proxy.get(proxy)
        if previous is not None:
            if previous.sequence_number > connection.sequence_number:
                # both became readable in one pass of the event loop, which reads them in no defined order
                raise MalformedFieldError("proxy: the proxy has joined on a newer connection")
            # the proxy reconnected before the end of its old connection was detected
            self.connections.close(previous)
        connection.role = PeerRole.PROXY
        connection.proxy = proxy
        self._connection_by_proxy[proxy] = connection
        self.updates.open_session(proxy, joined.is_fresh)
        self._submit(joined)

    def _handle_close(self, connection: Connection) -> None:
        proxy = connection.proxy
        if proxy is None or self._connection_by_proxy.get(proxy) is not connection:
            return
        del self._connection_by_proxy[proxy]
        self.updates.close_session(proxy)
        self._submit(ProxyLeft(proxy, connection.is_ended_here))

    def _send_update(self, proxy: int, update: EncodedParts) -> None:
        self.connections.send(self._connection_by_proxy[proxy], b"".join(update.frames))

    def _record_malformed(self, fields: Fields, error: MalformedFieldError) -> None:
        self.malformed_count += 1
        if self.malformed_count <= MAX_LOGGED_MALFORMED_MESSAGES:
            message_type = str(fields.get("t"))[:MAX_LOGGED_TYPE_CHARACTERS]
            self._write_log(f"malformed message type={message_type!r} error={str(error)!r}")
