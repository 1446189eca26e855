"""Publishes the interval at which proxies are to send load reports."""

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
    """Removes the report interval that an earlier process of this controller published."""
    with contextlib.suppress(FileNotFoundError):
        ops.unlink(f"{folder.path}/{REPORT_INTERVAL_FILE}")


class ReportIntervalPublisher:
    """Publishes the report interval on the xDS discovery server, and in a file for all other proxies."""

    def __init__(self, context: ServiceContext, discovery: DiscoveryFeed | None) -> None:
        """Stores the shared context, and the xDS discovery server if there is one."""
        self._folder = context.folder
        self._ops = context.ops
        self._conditions = context.conditions
        self._discovery = discovery

    def publish(self, interval_ticks: int) -> None:
        """Publishes an interval; a failed write of the file is reported as a condition."""
        interval_seconds = interval_ticks / TICKS_PER_SECOND
        if self._discovery is not None:
            self._discovery.set_report_interval(interval_seconds)
        data = encode(forms.LoadStatsResponse(True, f"{interval_seconds:.3f}s"))
        try:
            swap_file(self._ops, self._folder.path, REPORT_INTERVAL_FILE, data)
        except OSError as error:
            event = "cannot publish report interval"
            self._conditions.report("pace", True, event, cause=str(error))
        else:
            self._conditions.report("pace", False, "report interval published again")
