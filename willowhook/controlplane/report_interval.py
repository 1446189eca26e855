"""Publishes how often proxies are to send load reports."""

from __future__ import annotations

import contextlib

from ..files.layout import REPORT_INTERVAL_FILE, ControllerFolder
from ..files.ops import FileOps
from ..files.swap import swap_file
from ..ticks import TICKS_PER_SECOND
from ..xds import forms
from ..xds.codec import encode
from .context import ServiceContext
from .discovery_feed import DiscoveryFeed


def clear_report_interval(folder: ControllerFolder, ops: FileOps) -> None:
    """Removes the report interval that an earlier start published."""
    with contextlib.suppress(FileNotFoundError):
        ops.unlink(f"{folder.path}/{REPORT_INTERVAL_FILE}")


class ReportIntervalPublisher:
    """Notifies proxies that call through the discovery server, and all others by one file."""

    def __init__(self, context: ServiceContext, discovery: DiscoveryFeed | None) -> None:
        """Receives the shared context, and the discovery server if there is one."""
        self._folder = context.folder
        self._ops = context.ops
        self._conditions = context.conditions
        self._discovery = discovery

    def publish(self, interval_ticks: int) -> None:
        """Publishes an interval; a file that cannot be written is reported."""
        interval_seconds = interval_ticks / TICKS_PER_SECOND
        if self._discovery is not None:
            self._discovery.set_report_interval(interval_seconds)
        data = encode(forms.LoadStatsResponse(True, f"{interval_seconds:.3f}s"))
        try:
            swap_file(self._ops, self._folder.path, REPORT_INTERVAL_FILE, data)
        except OSError as error:
            event = "report interval cannot be published"
            self._conditions.report("pace", True, event, cause=str(error))
        else:
            self._conditions.report("pace", False, "report interval published again")
