"""The link between directors where there is one: hints as load reports, by HTTP.

A packet is the published `LoadStatsRequest`: `node.id` is the proxy, `node.metadata` says who tells,
under which epoch and number, and in which of the proxy's terms it was met.  The answer is 204; anything
else is no answer.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from urllib.parse import urlsplit

import trio

from ..config.terms import LinkTerms
from ..membership.handoff import EndpointSums, Hint, Packet
from ..reports.read import LATENCY
from ..web.wire import Broken, Call, Caller, Reply, answer_calls, dial
from ..xds import forms
from ..xds.codec import FormError, decode, encode, seconds

SECOND = 10_000
PATH = b"/v3/handoff"
MOST = 1 << 20  # bytes of a packet


def write(packet: Packet, address_of: dict[str, tuple[str, int, str]]) -> bytes:
    """Hosts go by address; one without is left out."""
    rows = []
    for host, (tries, errors, mean) in packet.hint.endpoints.items():
        if host in address_of:
            address, port, _ = address_of[host]
            at = forms.Address(forms.SocketAddress(address, port))
            row = forms.UpstreamEndpointStats(at, tries - errors, 0, errors, tries)
            if tries > errors:
                spent = mean * (tries - errors) / SECOND
                row.load_metric_stats = [forms.LoadMetricStats(LATENCY, tries - errors, spent)]
            rows.append(row)
    told = {
        "director": packet.sender,
        "epoch": packet.epoch,
        "number": packet.number,
        "term": packet.hint.term,
    }
    stats = forms.ClusterStats("met", "", [forms.UpstreamLocalityStats(upstream_endpoint_stats=rows)])
    stats.load_report_interval = f"{packet.hint.window / SECOND:.4f}s"
    return encode(forms.LoadStatsRequest(forms.Node(packet.hint.proxy, metadata=told), [stats]))


def read(data: bytes, host_at: dict[str, str]) -> Packet:
    """Raises FormError: a packet counts whole or not at all."""
    report = decode(data, forms.LoadStatsRequest)
    try:
        told = report.node.metadata
        sender, epoch, number, term = (told[key] for key in ("director", "epoch", "number", "term"))
        if not isinstance(sender, str) or not all(
            isinstance(n, int) and n >= 0 for n in (epoch, number, term)
        ):
            raise FormError("node.metadata has a director, an epoch, a number and a term")
        (stats,) = report.cluster_stats
    except (KeyError, ValueError) as fault:
        raise FormError(f"no handoff: {fault}") from fault
    hosts: dict[str, EndpointSums] = {}
    for zone in stats.upstream_locality_stats:
        for row in zone.upstream_endpoint_stats:
            good, bad, at = (
                row.total_successful_requests,
                row.total_error_requests,
                row.address.socket_address,
            )
            if at is None or not (0 <= good < 1e9 and 0 <= bad < 1e9):
                raise FormError(f"{good} answered and {bad} errors")
            host = host_at.get(f"{at.address}:{at.port_value}")
            spent = sum(m.total_metric_value for m in row.load_metric_stats if m.metric_name == LATENCY)
            if host is not None and good + bad and 0 <= spent < 1e9:
                hosts[host] = EndpointSums(good + bad, bad, round(spent / good * SECOND) if good else 0)
    window = round(seconds(stats.load_report_interval) * SECOND)
    return Packet(sender, epoch, number, Hint(report.node.id, term, max(window, 1), hosts))


class Post:
    """Sends bodies to one peer; what fails is the teller's to send again."""

    def __init__(self, url: str, patience: float) -> None:
        parts = urlsplit(url)
        self._address, self._port, self._patience = parts.hostname or "", parts.port or 80, patience

    async def send(self, body: bytes) -> bool:
        """Whether the peer has it."""
        caller: Caller | None = None
        try:
            with trio.move_on_after(self._patience):
                caller = await dial(self._address, self._port, self._patience)
                return (await caller.call(b"POST", PATH, [], body, 4096)).status == 204
        except Broken:
            return False
        finally:
            if caller is not None:
                with trio.CancelScope(shield=True):
                    await caller.close()
        return False


async def listen(
    terms: LinkTerms, take: Callable[[bytes], Awaitable[bool]],
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:  # fmt: skip
    """Serves peers; `take(body)` says whether it was a packet."""

    async def answer(call: Call) -> Reply | None:
        if call.method != b"POST" or call.target != PATH:
            return Reply(404)
        return Reply(204 if await take(call.body) else 400)

    async def serve(stream: trio.SocketStream) -> None:
        await answer_calls(stream, answer, MOST)

    address, _, port = terms.listen.rpartition(":")
    listeners = await trio.open_tcp_listeners(int(port), host=address)
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(serve, listeners)
