"""Sends the evidence of proxies that leave to the controllers that they may join, and receives theirs.

A hint is evidence and nothing else: losing, doubling or reordering one does no harm.
"""

from __future__ import annotations

from functools import partial

import trio

from ..decisions.events import EndpointReport
from ..decisions.windows import WindowedSums
from ..membership.handoff import EndpointSums, Hint, HintReceiver, HintSender, Packet
from ..ticks import TICKS_PER_SECOND, ticks_from_milliseconds
from ..xds.codec import MessageFormatError
from .context import ServiceContext
from .endpoint_directory import EndpointDirectory
from .handoff_codec import decode_packet, encode_packet
from .inbound_events import HandoffAcknowledged, HandoffReceived
from .links import PeerClient, serve_peers

EVIDENCE_BUCKETS = 5  # the number of one-second buckets that are sent
FIRST_RETRY_TICKS = TICKS_PER_SECOND // 5


class HandoffPeers:
    """Keeps recent evidence by proxy, sends it when the proxy leaves, and uses what peers sent.

    All but `run`, `serve` and the tasks they own is called by the decision task.
    """

    def __init__(self, context: ServiceContext, directory: EndpointDirectory) -> None:
        """Creates the senders to all configured peers; nothing is sent before `run`."""
        self._context = context
        self._directory = directory
        controller, epoch = context.terms.name, context.epoch
        settings = context.terms.links
        lifetime_ticks = ticks_from_milliseconds(settings.lasts_ms)
        self._hints = HintReceiver(lifetime_ticks)
        self._clients = [PeerClient(url, settings.timeout_ms / 1000) for url in settings.peers]
        self._senders = [
            HintSender(controller, epoch, partial(self._start_sending, k), FIRST_RETRY_TICKS, lifetime_ticks)
            for k in range(len(self._clients))
        ]
        # by proxy and endpoint: attempts, failures, sum of latency in ticks
        self._evidence: dict[int, dict[str, WindowedSums]] = {}
        self._nursery: trio.Nursery | None = None

    # Tasks.

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Owns the tasks that send packets, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    async def serve(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves peers until cancelled; the task's start value is the port."""
        await serve_peers(self._context.terms.links.listen, self._accept, task_status)

    def _start_sending(self, peer: int, packet: Packet) -> None:
        if self._nursery is not None:
            body = encode_packet(packet, self._directory.addresses)
            self._nursery.start_soon(self._send, peer, packet, body)

    async def _send(self, peer: int, packet: Packet, body: bytes) -> None:
        if await self._clients[peer].send(body):
            await self._context.queue.send(HandoffAcknowledged(peer, packet.epoch, packet.number))

    async def _accept(self, body: bytes) -> bool:
        """Receives a packet of a peer; returns whether it could be read."""
        try:
            packet = decode_packet(body, self._directory.names_by_address)
        except MessageFormatError as error:
            self._context.conditions.report(
                "link", True, "handoff packet of a peer rejected", cause=str(error)
            )
            return False
        self._context.conditions.report("link", False, "handoff packets of peers accepted again")
        await self._context.queue.send(HandoffReceived(packet))
        return True

    # Evidence, in the decision task.

    def take_packet(self, now: int, packet: Packet) -> None:
        """Keeps a packet of a peer until its proxy joins, or it is too old."""
        self._hints.take(now, packet)

    def acknowledge(self, event: HandoffAcknowledged) -> None:
        """Ends the sending of a packet that a peer has accepted."""
        self._senders[event.peer].acknowledge(event.epoch, event.number)

    def record_attempts(
        self, now: int, proxy: int, endpoint: str, attempts: float, failures: float, latency_sum_ticks: float
    ) -> None:
        """Keeps the attempts of a proxy at an endpoint, if there are peers to send them to."""
        if not self._clients:
            return
        by_endpoint = self._evidence.setdefault(proxy, {})
        if endpoint not in by_endpoint:
            by_endpoint[endpoint] = WindowedSums(TICKS_PER_SECOND, EVIDENCE_BUCKETS, 3)
        by_endpoint[endpoint].add(now, attempts, failures, latency_sum_ticks)

    def send_evidence(self, now: int, proxy: int, name: str, term: int) -> None:
        """Sends all peers the recent attempts of a proxy that leaves, met in the session of this term."""
        endpoints = {}
        for endpoint, ring in self._evidence.pop(proxy, {}).items():
            attempts, failures, latency_sum_ticks = ring.total(now, EVIDENCE_BUCKETS)
            if attempts:
                mean_latency_ticks = round(latency_sum_ticks / max(attempts - failures, 1))
                endpoints[endpoint] = EndpointSums(int(attempts), int(failures), mean_latency_ticks)
        if endpoints:
            hint = Hint(name, term, EVIDENCE_BUCKETS * TICKS_PER_SECOND, endpoints)
            for sender in self._senders:
                sender.send(now, hint)

    def resend_unanswered(self, now: int) -> None:
        """Sends packets that no peer has answered again, with exponential backoff."""
        for sender in self._senders:
            sender.resend_due(now)

    def use_evidence(self, now: int, name: str, term: int) -> None:
        """Hands the controller the attempts of a joining proxy that a peer sent, if any."""
        hint = self._hints.claim(now, name, term)
        if hint is None:
            return
        for endpoint, (attempts, failures, mean_latency_ticks) in hint.endpoints.items():
            self._context.handle(now, EndpointReport(endpoint, attempts, failures, mean_latency_ticks, None))
        self._context.records.append(now, "hint", proxy=name, term=hint.term, hosts=len(hint.endpoints))
