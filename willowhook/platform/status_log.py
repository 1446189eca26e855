"""The status line that the server logs periodically."""

from __future__ import annotations

import resource
from collections.abc import Callable
from dataclasses import dataclass

import trio

from ..decisions.status import ControllerStatus
from ..ticks import TICKS_PER_MILLISECOND
from .discovery_statistics import DiscoveryStatistics
from .runtime import WriteLog
from .update_statistics import UpdateStatistics

STATUS_INTERVAL_S = 10.0


@dataclass(frozen=True, slots=True)
class ServerStatus:
    """The figures of a status line.

    Attributes:
        proxies: number of proxies that have a session.
        controller: the controller's own figures.
        connections: number of open connections.
        longest_flush_ticks: the longest duration of a flush since the previous status line.
        malformed_messages: number of messages refused since the start.
        rejected_connections: number of connections rejected since the start.
        discovery: counts of the requests to service discovery since the start.
        updates: counts of the updates sent since the start.
    """

    proxies: int
    controller: ControllerStatus
    connections: int
    longest_flush_ticks: int
    malformed_messages: int
    rejected_connections: int
    discovery: DiscoveryStatistics
    updates: UpdateStatistics


def format_status(status: ServerStatus) -> str:
    """Formats the status line and adds the CPU time and the peak memory of this process."""
    controller = status.controller
    usage = resource.getrusage(resource.RUSAGE_SELF)
    peak_memory_mb = usage.ru_maxrss >> 10  # ru_maxrss is in KiB
    cpu_s = usage.ru_utime + usage.ru_stime
    figures = (
        f"proxies={status.proxies}",
        f"endpoints_in_service={controller.endpoints_in_service}",
        f"endpoints={controller.endpoint_count}",
        f"load={controller.load_fraction:.2f}",
        f"admitted_fraction={controller.admitted_fraction:.2f}",
        f"queue_entries={controller.queue_entries:.0f}",
        f"charged_entries={controller.charged_entries}",
        f"sent_entries={status.updates.entries}",
        f"largest_flush_entries={status.updates.largest_flush_entries}",
        f"connections={status.connections}",
        f"memory_mb={peak_memory_mb}",
        f"cpu_s={cpu_s:.1f}",
        f"longest_flush_ms={status.longest_flush_ticks / TICKS_PER_MILLISECOND:.0f}",
        f"malformed_messages={status.malformed_messages}",
        f"rejected_connections={status.rejected_connections}",
        f"discovery_requests={status.discovery.requests}",
        f"discovery_answers={status.discovery.answers}",
        f"discovery_losses={status.discovery.losses}",
    )
    return " ".join(("status", *figures))


async def log_status_periodically(collect: Callable[[], ServerStatus], write_log: WriteLog) -> None:
    """Writes a status line every STATUS_INTERVAL_S seconds until cancelled."""
    while True:
        await trio.sleep(STATUS_INTERVAL_S)
        write_log(format_status(collect()))
