"""Encodes and decodes the handoff packets by which controllers pass evidence to each other.

A packet is an xDS `LoadStatsRequest`: `node.id` is the proxy; `node.metadata` holds the sending controller,
its epoch, the packet number and the term of the proxy session in which the evidence was collected.
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
    """Encodes a packet. Endpoints are identified by address; those without a known address are left out."""
    endpoint_stats = [
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
    localities = [forms.UpstreamLocalityStats(upstream_endpoint_stats=endpoint_stats)]
    stats = forms.ClusterStats(CLUSTER_NAME, "", localities)
    stats.load_report_interval = f"{packet.hint.window / TICKS_PER_SECOND:.4f}s"
    return encode(forms.LoadStatsRequest(forms.Node(packet.hint.proxy, metadata=metadata), [stats]))


def _encode_endpoint(address: Address, sums: EndpointSums) -> forms.UpstreamEndpointStats:
    host, port, _ = address
    attempts, failures, mean_latency_ticks = sums
    successes = attempts - failures
    socket_address = forms.Address(forms.SocketAddress(host, port))
    stats_entry = forms.UpstreamEndpointStats(socket_address, successes, 0, failures, attempts)
    if successes > 0:
        latency_sum_seconds = mean_latency_ticks * successes / TICKS_PER_SECOND
        stats_entry.load_metric_stats = [forms.LoadMetricStats(LATENCY, successes, latency_sum_seconds)]
    return stats_entry


def decode_packet(data: bytes, names_by_address: Mapping[str, str]) -> Packet:
    """Decodes a packet; endpoints with an unknown address are left out.

    Raises:
        MessageFormatError: any part is malformed; a packet is accepted completely or not at all.
    """
    report = decode(data, forms.LoadStatsRequest)
    try:
        metadata = report.node.metadata
        sender, epoch, number, term = (metadata[key] for key in ("director", "epoch", "number", "term"))
        is_numbered = all(isinstance(value, int) and value >= 0 for value in (epoch, number, term))
        if not isinstance(sender, str) or not is_numbered:
            raise MessageFormatError("node.metadata must hold a director, an epoch, a number and a term")
        (stats,) = report.cluster_stats
    except (KeyError, ValueError) as error:
        raise MessageFormatError(f"not a handoff packet: {error}") from error
    endpoints: dict[str, EndpointSums] = {}
    for locality in stats.upstream_locality_stats:
        for stats_entry in locality.upstream_endpoint_stats:
            _decode_endpoint(stats_entry, names_by_address, endpoints)
    window_ticks = round(parse_duration(stats.load_report_interval) * TICKS_PER_SECOND)
    return Packet(sender, epoch, number, Hint(report.node.id, term, max(window_ticks, 1), endpoints))


def _decode_endpoint(
    stats_entry: forms.UpstreamEndpointStats,
    names_by_address: Mapping[str, str],
    endpoints: dict[str, EndpointSums],
) -> None:
    """Adds the attempts at one endpoint to `endpoints`.

    Raises:
        MessageFormatError: the statistics are malformed.
    """
    successes = stats_entry.total_successful_requests
    failures = stats_entry.total_error_requests
    address = stats_entry.address.socket_address
    if address is None or not (0 <= successes < MAX_ATTEMPTS and 0 <= failures < MAX_ATTEMPTS):
        raise MessageFormatError(
            f"{successes} successful and {failures} failed requests: no address or a count out of range"
        )
    name = names_by_address.get(f"{address.address}:{address.port_value}")
    metrics = [metric for metric in stats_entry.load_metric_stats if metric.metric_name == LATENCY]
    latency_sum_seconds = sum(metric.total_metric_value for metric in metrics)
    attempts = successes + failures
    if name is None or not attempts or not 0 <= latency_sum_seconds < MAX_LATENCY_SUM_SECONDS:
        return
    mean_latency_ticks = round(latency_sum_seconds / successes * TICKS_PER_SECOND) if successes else 0
    endpoints[name] = EndpointSums(attempts, failures, mean_latency_ticks)
