"""A running controller: connects the components and runs their tasks."""

from __future__ import annotations

import os
import time
from collections.abc import Sequence
from typing import Any

import structlog
import trio

from ..config.deployment import deployment_settings
from ..config.terms import Terms
from ..decisions.controller import Controller
from ..evaluation_timer import EvaluationTimer
from ..files.layout import ControllerFolder
from ..files.ops import DiskOps, FileOps
from ..files.swap import FileGroupWriter
from ..files.watch import Watch, open_watch
from ..records.writer import RecordWriter
from ..registry.endpoint import DiscoveredEndpoint
from ..ticks import ticks_from_milliseconds
from ..versions.resources import ResourceStore, first_era
from .clock import Clock
from .condition_log import BindableLogger, Logger
from .context import ServiceContext
from .controller_runtime import FileControllerRuntime
from .decider import ControllerPort, Decider, DeciderFactory
from .decision_loop import DecisionLoop
from .discovery_feed import DiscoveryFeed
from .draining import ControllerDrain
from .endpoint_directory import EndpointDirectory
from .endpoint_list_reader import EndpointListReader
from .evidence_recovery import EvidenceRecovery
from .handoff_peers import HandoffPeers
from .health_checker import HealthChecker
from .inbound_dispatcher import InboundDispatcher
from .intake import ProxyIntake
from .load_recorder import LoadRecorder
from .proxy_event_handler import ProxyEventHandler
from .proxy_folder_feed import ProxyFolderFeed
from .proxy_state import ProxyStateBook
from .publisher import Publisher
from .publisher_events import PublisherEvents
from .queue_monitor import QueueMonitor
from .report_interval import ReportIntervalPublisher, clear_report_interval
from .report_processor import ReportProcessor
from .resource_renderer import ResourceRenderer
from .session_manager import SessionManager
from .session_timeouts import SessionTimeouts
from .update_sink_factory import UpdateSinkFactory

RECORDS_FLUSH_SECONDS = 0.1
ERA_BYTES = 3  # random bytes in the era of resource versions


class Service:
    """The controller of one folder.

    The components are created in `run`, as the epoch is known only after the folder has been opened. Each
    component owns its state; this class has no further state.

    Attributes:
        handoff_port: the port that serves handoff packets of peers; 0 if there is none.
        discovery_port: the port of the xDS discovery server; 0 if there is none.
    """

    def __init__(
        self,
        terms: Terms,
        ops: FileOps | None = None,
        log: BindableLogger | None = None,
        decider: DeciderFactory = Controller,
        file_writer: type[FileGroupWriter] = FileGroupWriter,
    ) -> None:
        """Creates a service without opening any file or port.

        Args:
            terms: the configuration.
            ops: file operations.
            log: the logger.
            decider: creates the component that makes the decisions.
            file_writer: the class that writes the files of one proxy.
        """
        self.terms = terms
        self.settings = deployment_settings(terms)
        self.ops = ops or DiskOps()
        self.clock = Clock()
        self.log: Logger = (log or structlog.get_logger()).bind(controller=terms.name)
        self.folder = ControllerFolder(terms.files.folder, self.ops)
        self.records = RecordWriter(terms.records.file, terms.records.most_waiting)
        self.handoff_port = 0
        self.discovery_port = 0
        self._make_decider = decider
        self._file_writer_type = file_writer

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled; the task counts as started once all ports are open.

        Raises:
            FolderInUseError: another process holds the folder.
            OSError: the folder, a port or the credentials cannot be used.
            CredentialError: the credentials are malformed.
        """
        self.folder.open()
        clear_report_interval(self.folder, self.ops)
        files = self.terms.files
        watch = open_watch(files.watch, files.poll_every_ms / 1000)
        self._make_context()
        self._make_publisher()
        self._make_intake()
        self._make_controller()
        self._make_proxy_components(watch)
        self._make_loop()
        try:
            async with trio.open_nursery() as nursery:
                await self._start_tasks(nursery)
                task_status.started()
        finally:
            self._close(watch)

    # Start and stop.

    def _close(self, watch: Watch) -> None:
        log, messages = self.log, self.proxy_states.message_count
        log.info(
            "controller stopped", max_waiting_entries=self.channel.peak_waiting_entries, messages=messages
        )
        self._record_validation()
        self.records.append(self.clock.now(), "ended")
        self.records.flush()
        watch.close()
        self.folder.close()
        if self.memory is not None:
            self.memory.close()

    def _record_validation(self) -> None:
        """Records the results and durations of update validation since the start."""
        durations_us = sorted(self.publisher.validation_micros) or [0]
        self.records.append(
            self.clock.now(),
            "guarded",
            counts=self.validation.counts,
            median_us=durations_us[len(durations_us) // 2],
            p99_us=durations_us[int(len(durations_us) * 0.99)],
        )

    async def _start_tasks(self, nursery: trio.Nursery) -> None:
        await nursery.start(self.health_checker.run)
        await nursery.start(self.handoff.run)
        nursery.start_soon(self.records.run, RECORDS_FLUSH_SECONDS)
        nursery.start_soon(self.loop.run_heartbeat, self.folder, self.terms.files.beat_every_ms / 1000)
        nursery.start_soon(self.endpoint_list.run_watch)
        nursery.start_soon(self.endpoint_list.run_fetches)
        nursery.start_soon(self.publisher.run)
        if self.memory is not None:
            nursery.start_soon(self.memory.run)
        nursery.start_soon(self.folder_feed.run)
        nursery.start_soon(self.folder_feed.run_deferred_reads)
        nursery.start_soon(self.loop.run)
        if self.discovery is not None:
            port: Any = await nursery.start(self.discovery.run)
            self.discovery_port = int(port)
            self.log.info("discovery server listening", port=self.discovery_port)
        if self.terms.links.listen:
            port = await nursery.start(self.handoff.serve)
            self.handoff_port = int(port)

    # Creation of the components, in the order of their dependencies.

    def _make_context(self) -> None:
        self._port = ControllerPort()
        self.context = ServiceContext.open(
            self.terms,
            self.settings,
            self.folder,
            self.ops,
            self.clock,
            self.records,
            self.log,
            self._port.handle,
        )
        self.memory = self.context.memory

    def _make_publisher(self) -> None:
        """Creates the components that turn the controller's commands into updates of proxies."""
        context = self.context
        renderer = ResourceRenderer(self.terms, context.epoch)
        self.proxy_states = ProxyStateBook(self.settings, lambda message: self.publisher.enqueue(message))
        self.resources = ResourceStore(first_era(context.epoch, int.from_bytes(os.urandom(ERA_BYTES), "big")))
        self.directory = EndpointDirectory(context, renderer, self._publish_endpoints)
        listener = PublisherEvents(context, self.directory)
        self.publisher = Publisher(
            self.terms,
            self.settings,
            listener,
            self.records,
            self.log,
            renderer,
            context.epoch,
            self.proxy_states,
        )
        self.channel = self.publisher.channel
        self.validation = self.publisher.validation

    def _make_intake(self) -> None:
        """Creates the components that handle the input of proxies."""
        context, terms = self.context, self.terms
        self.intake = ProxyIntake(
            lambda event: self.proxy_events.handle(event),
            terms.name,
            context.epoch,
            [route.name for route in terms.routes],
            ticks_from_milliseconds(terms.files.proxy_lost_after_ms),
            lambda: self.proxy_states.message_count,
        )
        self.reports = ReportProcessor(
            context, self.intake, lambda interval_ticks: self.report_interval.publish(interval_ticks)
        )
        self.discovery: DiscoveryFeed | None = None
        if terms.front.listen:
            self.discovery = DiscoveryFeed(context, self.resources, self.publisher, self.intake, self.reports)
        self.report_interval = ReportIntervalPublisher(context, self.discovery)

    def _make_controller(self) -> None:
        """Creates the controller and the components that it commands, and loads the saved endpoint list."""
        context = self.context
        self.endpoint_list = EndpointListReader(context)
        self.health_checker = HealthChecker(context, self.directory.find)
        self.evaluations = EvaluationTimer(self.clock)
        runtime = FileControllerRuntime(
            context, self.proxy_states, self.evaluations, self.endpoint_list, self.health_checker
        )
        now = context.now()
        self.controller: Decider = self._make_decider(runtime, self.settings, context.seed, now)
        self._port.attach(self.controller)
        epoch, folder = context.epoch, self.folder.path
        self.log.info("controller started", epoch=epoch, folder=folder, process=os.getpid())
        self.records.append(now, "started", director=self.terms.name, epoch=epoch, wall=time.time())
        self.recovery = EvidenceRecovery(context)
        self._update_endpoints(context.now(), self.endpoint_list.last_saved())

    def _make_proxy_components(self, watch: Watch) -> None:
        """Creates the components that read the folders of proxies and handle their events."""
        context, proxy_states = self.context, self.proxy_states
        publisher, reports = self.publisher, self.reports
        self.handoff = HandoffPeers(context, self.directory)
        self.folder_feed = ProxyFolderFeed(context, watch, self.intake, reports)
        sinks = UpdateSinkFactory(context, self._file_writer_type, self.resources, self.discovery)
        sessions = SessionManager(
            context, proxy_states, publisher, sinks, self.folder_feed, self.discovery, reports, self.handoff
        )
        load = LoadRecorder(context, proxy_states, publisher, reports, self.directory, self.handoff)
        self.proxy_events = ProxyEventHandler(context, publisher, sessions, load)

    def _make_loop(self) -> None:
        """Creates the decision loop and the maintenance functions that it calls ten times a second."""
        context = self.context
        drain = ControllerDrain(context, self.proxy_states, self.channel)
        timeouts = SessionTimeouts(self.intake, self.folder_feed, self.discovery)
        monitor = QueueMonitor(context, self.controller, self.publisher)
        maintenance = [
            timeouts.close_silent_sessions,
            drain.step,
            self.handoff.resend_unanswered,
            monitor.check,
        ]
        dispatcher = InboundDispatcher(
            context,
            self.intake,
            self.publisher,
            self.folder_feed,
            self.discovery,
            self.handoff,
            self._update_endpoints,
        )
        self.loop = DecisionLoop(
            context.queue,
            dispatcher.handle,
            self.evaluations,
            self.controller,
            self.reports,
            self.directory,
            self.proxy_states,
            self.publisher,
            maintenance,
            self.clock,
        )

    # Endpoints; called by the decision task.

    def _update_endpoints(self, now: int, endpoints: Sequence[DiscoveredEndpoint]) -> None:
        """Processes an endpoint list; the first one with endpoints also restores their stored evidence."""
        self.reports.sums.keep(frozenset(endpoint.id for endpoint in endpoints))
        self.directory.update(now, endpoints)
        self.recovery.restore(now, endpoints)

    def _publish_endpoints(self, now: int, endpoints: list[DiscoveredEndpoint]) -> None:
        """Passes the endpoints to update validation and to the controller."""
        self.publisher.update_validation(
            self.validation.update_endpoints, now, endpoints, self.clock.start_of
        )
        self._port.handle(now, self.directory.list_event(endpoints))
