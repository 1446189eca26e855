"""The server that runs a controller on the platform: connects sessions, service discovery and decisions.

The task that reads a message or an answer submits its event to the controller, and a separate task ends each
batch of events. An error of the controller terminates the process.
"""

from __future__ import annotations

import math
from dataclasses import replace
from functools import partial

import trio

from ..decisions.controller import Controller
from ..decisions.events import Event
from ..evaluation_timer import EvaluationTimer
from ..ticks import TICKS_PER_SECOND
from .clock import Clock
from .configuration import ControllerConfiguration
from .configuration_reload import ConfigurationReloader, ReadConfiguration
from .control_loop import ControlLoop
from .discovery_events import DiscoveryEvents
from .discovery_watch import DiscoveryWatch
from .fields import Fields, MalformedFieldError
from .lifecycle import run_until_terminated
from .proxy_sessions import ProxySessions
from .runtime import PlatformRuntime, WriteLog
from .status_log import ServerStatus, log_status_periodically

LARGE_FLUSH_FRACTION = 1 / 3  # a flush with this share of the channel's queue limit is logged


class PlatformServer:
    """Creates the components of a server and connects them. It does not listen before `run`.

    Args:
        configuration: the configuration of the controller.
        read_configuration: reads the current content of the configuration file. Raises ConfigurationError.
        write_log: writes one line to the log.
    """

    def __init__(
        self,
        configuration: ControllerConfiguration,
        read_configuration: ReadConfiguration,
        write_log: WriteLog,
    ) -> None:
        # the protocol has no health checks, and its proxies keep exclusions when they join another controller
        settings = configuration.settings._replace(health_checks=False, exclusions_outlive_sessions=True)
        configuration = replace(configuration, settings=settings)
        self._list_on_request = settings.list_on_request
        self._write_log = write_log
        self._clock = Clock()
        self._sessions = ProxySessions(configuration, self._submit, self._wake, write_log)
        self._discovery_events = DiscoveryEvents(self._submit, write_log)
        self._discovery = DiscoveryWatch(
            configuration.discovery,
            self._discovery_events.handle_answer,
            self._discovery_events.handle_loss,
            self._seconds_until_list_fetch,
        )
        self._reloader = ConfigurationReloader(read_configuration, self._apply_configuration, write_log)
        updates = self._sessions.updates
        evaluations = EvaluationTimer(self._clock)
        runtime = PlatformRuntime(
            updates, self._sessions.end_session, self._discovery, evaluations, write_log
        )
        self._controller = Controller(runtime, settings, configuration.seed, self._clock.now())
        large_flush_entries = settings.channel.queue_limit_entries * LARGE_FLUSH_FRACTION
        self._loop = ControlLoop(
            self._controller, updates, evaluations, self._clock, large_flush_entries, write_log
        )
        self._load_endpoint_list(configuration.endpoint_list)

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT. Raises OSError, in an exception group, if it cannot listen."""
        tasks = (self._sessions.connections.serve, self._discovery.run, self._decide, self._log_status)
        await run_until_terminated(tasks, self._reloader.reload)

    async def _decide(self) -> None:
        if not self._list_on_request:
            self._discovery.resume()
        await self._loop.run()

    async def _log_status(self) -> None:
        await log_status_periodically(self._collect_status, self._write_log)

    def _submit(self, event: Event) -> None:
        self._loop.submit(event)

    def _wake(self) -> None:
        self._loop.wake()

    def _seconds_until_list_fetch(self) -> float:
        ticks = self._controller.ticks_until_list_fetch(self._clock.now())
        return math.inf if ticks is None else ticks / TICKS_PER_SECOND

    def _load_endpoint_list(self, answer: Fields) -> None:
        """Loads the configured list; a malformed one is logged and ignored."""
        try:
            self._discovery.version = self._discovery_events.load(answer)
        except MalformedFieldError as error:
            self._write_log(f"configured endpoint list refused error={str(error)!r}")

    def _apply_configuration(self, configuration: ControllerConfiguration) -> None:
        """Applies the values that may change while the server runs."""
        self._discovery.set_address(configuration.discovery)
        self._sessions.connections.set_max_descriptors(configuration.max_descriptors)

    def _collect_status(self) -> ServerStatus:
        status = ServerStatus(
            proxies=self._sessions.proxy_count,
            controller=self._controller.status(self._clock.now()),
            connections=self._sessions.connections.open_count,
            longest_flush_ticks=self._loop.longest_flush_ticks,
            malformed_messages=self._sessions.malformed_count,
            rejected_connections=self._sessions.connections.rejected_count,
            discovery=self._discovery.statistics,
            updates=self._loop.statistics,
        )
        self._loop.longest_flush_ticks = 0
        return status


def run_server(
    configuration: ControllerConfiguration, read_configuration: ReadConfiguration, write_log: WriteLog
) -> None:
    """Runs a server until SIGTERM or SIGINT. Errors that stop it earlier are raised in an exception group."""
    trio.run(partial(_run, configuration, read_configuration, write_log))


async def _run(
    configuration: ControllerConfiguration, read_configuration: ReadConfiguration, write_log: WriteLog
) -> None:
    await PlatformServer(configuration, read_configuration, write_log).run()
