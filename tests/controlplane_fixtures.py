"""Settings and builders that the tests of the control plane share."""

from __future__ import annotations

from willowhook.config.deployment import deployment_settings
from willowhook.config.example import EXAMPLE
from willowhook.controlplane.update_sinks import FileUpdateSink
from willowhook.files.swap import Shelf
from willowhook.versions.core import Core, first_era

SETTINGS = deployment_settings(EXAMPLE)
ALL_ROUTES = range(len(SETTINGS.routes))
MESSAGE_OVERHEAD = int(SETTINGS.channel.message_overhead_entries)


def file_sink(term: int, epoch: int) -> FileUpdateSink:
    """A sink whose files are only made, not written."""
    return FileUpdateSink(Shelf("nowhere"), Core(first_era(epoch, 5)), term, epoch, False)
