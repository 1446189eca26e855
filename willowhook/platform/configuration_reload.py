"""Reloads the configuration while the server runs."""

from __future__ import annotations

from collections.abc import Callable

import trio

from .configuration import ConfigurationError, ControllerConfiguration
from .runtime import WriteLog

RETRY_DELAYS_S = (0.1, 0.2, 0.4, 0.8, 1.6)  # backoff: the file may be partially written

ReadConfiguration = Callable[[], ControllerConfiguration]
ApplyConfiguration = Callable[[ControllerConfiguration], None]


class ConfigurationReloader:
    """Reads the configuration and applies it. If it remains invalid, the current one stays in effect.

    Args:
        read: reads the current content of the configuration file. Raises ConfigurationError.
        apply: applies the values that may change while the server runs.
        write_log: writes one line to the log.
    """

    def __init__(self, read: ReadConfiguration, apply: ApplyConfiguration, write_log: WriteLog) -> None:
        self._read = read
        self._apply = apply
        self._write_log = write_log

    async def reload(self) -> None:
        """Reads the configuration immediately, and retries with backoff while it is invalid."""
        configuration = self._read_or_none(logs_failure=True)
        for delay_s in RETRY_DELAYS_S:
            if configuration is not None:
                break
            await trio.sleep(delay_s)
            configuration = self._read_or_none(logs_failure=False)
        if configuration is not None:
            self._apply(configuration)
            self._write_log(
                f"configuration reloaded discovery={configuration.discovery} "
                f"max_descriptors={configuration.max_descriptors}"
            )

    def _read_or_none(self, *, logs_failure: bool) -> ControllerConfiguration | None:
        try:
            return self._read()
        except ConfigurationError as error:
            if logs_failure:
                self._write_log(f"configuration reload failed error={str(error)!r}")
            return None
