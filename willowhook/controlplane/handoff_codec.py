"""The packets by which controllers hand evidence to each other, as load reports.

A packet is the published `LoadStatsRequest`: `node.id` is the proxy, `node.metadata` says which controller
sends it, under which epoch and number, and in which session of the proxy the evidence was collected.
"""

from __future__ import annotations

from collections.abc import Mapping

from ..membership.handoff import EndpointSums, Hint, Packet
from ..reports.read import LATENCY
from ..ticks import TICKS_PER_SECOND
from ..xds import forms
from ..xds.codec import MessageFormatError, decode, encode, parse_duration
from .resource_renderer import Address

CLUSTER_NAME = "met"
MAX_ATTEMPTS = 1e9  # at one endpoint; a larger count is malformed
MAX_LATENCY_SUM_SECONDS = 1e9


def encode_packet(packet: Packet, addresses: Mapping[str, Address]) -> bytes:
    """Writes a packet. Endpoints go by address; one whose address is not known is left out."""
    rows = [
        _encode_endpoint(addresses[endpoint], sums)
        for endpoint, sums in packet.hint.endpoints.items()
        if endpoint in addresses
    ]
    metadata = {
        "director": packet.sender,
        "epoch": packet.epoch,
        "number": packet.number,
        "term": packet.hint.term,
    }
    localities = [forms.UpstreamLocalityStats(upstream_endpoint_stats=rows)]
    stats = forms.ClusterStats(CLUSTER_NAME, "", localities)
    stats.load_report_interval = f"{packet.hint.window / TICKS_PER_SECOND:.4f}s"
    return encode(forms.LoadStatsRequest(forms.Node(packet.hint.proxy, metadata=metadata), [stats]))


def _encode_endpoint(address: Address, sums: EndpointSums) -> forms.UpstreamEndpointStats:
    host, port, _ = address
    attempts, failures, mean_latency_ticks = sums
    successes = attempts - failures
    at = forms.Address(forms.SocketAddress(host, port))
    row = forms.UpstreamEndpointStats(at, successes, 0, failures, attempts)
    if successes > 0:
        latency_sum_seconds = mean_latency_ticks * successes / TICKS_PER_SECOND
        row.load_metric_stats = [forms.LoadMetricStats(LATENCY, successes, latency_sum_seconds)]
    return row


def decode_packet(data: bytes, names_by_address: Mapping[str, str]) -> Packet:
    """Reads a packet; endpoints that are not known by their address are left out.

    Raises FormError if any of it is malformed: a packet counts as a whole or not at all.
    """
    report = decode(data, forms.LoadStatsRequest)
    try:
        metadata = report.node.metadata
        sender, epoch, number, term = (metadata[key] for key in ("director", "epoch", "number", "term"))
        is_numbered = all(isinstance(each, int) and each >= 0 for each in (epoch, number, term))
        if not isinstance(sender, str) or not is_numbered:
            raise MessageFormatError("node.metadata has a director, an epoch, a number and a term")
        (stats,) = report.cluster_stats
    except (KeyError, ValueError) as error:
        raise MessageFormatError(f"no handoff: {error}") from error
    endpoints: dict[str, EndpointSums] = {}
    for locality in stats.upstream_locality_stats:
        for row in locality.upstream_endpoint_stats:
            _decode_endpoint(row, names_by_address, endpoints)
    window_ticks = round(parse_duration(stats.load_report_interval) * TICKS_PER_SECOND)
    return Packet(sender, epoch, number, Hint(report.node.id, term, max(window_ticks, 1), endpoints))


def _decode_endpoint(
    row: forms.UpstreamEndpointStats, names_by_address: Mapping[str, str], endpoints: dict[str, EndpointSums]
) -> None:
    """Adds one row to `endpoints`. Raises FormError if it is malformed."""
    successes = row.total_successful_requests
    failures = row.total_error_requests
    address = row.address.socket_address
    if address is None or not (0 <= successes < MAX_ATTEMPTS and 0 <= failures < MAX_ATTEMPTS):
        raise MessageFormatError(f"{successes} answered and {failures} errors")
    name = names_by_address.get(f"{address.address}:{address.port_value}")
    metrics = [each for each in row.load_metric_stats if each.metric_name == LATENCY]
    latency_sum_seconds = sum(each.total_metric_value for each in metrics)
    attempts = successes + failures
    if name is None or not attempts or not 0 <= latency_sum_seconds < MAX_LATENCY_SUM_SECONDS:
        return
    mean_latency_ticks = round(latency_sum_seconds / successes * TICKS_PER_SECOND) if successes else 0
    endpoints[name] = EndpointSums(attempts, failures, mean_latency_ticks)
