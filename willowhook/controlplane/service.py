"""A running controller: joins the components that decide, publish and take in, and runs their tasks."""

from __future__ import annotations

import contextlib
import os
import random
import time
from collections.abc import Sequence
from typing import Any

import structlog
import trio

from ..config.facts import facts, ticks
from ..config.terms import Terms
from ..decisions.controller import Controller
from ..decisions.events import EndpointListLost, Event, HealthCheckCompleted
from ..files.layout import PACE, Folder
from ..files.ops import DiskOps, FileOps
from ..files.swap import Shelf
from ..files.watch import Watch, open_watch
from ..records.writer import Records
from ..roster.forms import Host
from ..store.store import StoreError
from ..versions.core import Core, first_era
from .book import OrderBook
from .clock import Clock
from .condition_log import BindableLogger, ConditionLog, Logger
from .controller_runtime import EvaluationTimers, FileControllerRuntime
from .decider import Decider, DeciderFactory
from .decision_loop import DecisionLoop
from .decision_queue import DecisionQueue
from .discovery_feed import DiscoveryFeed
from .draining import ControllerDrain
from .endpoint_directory import EndpointDirectory
from .endpoint_list_feed import EndpointListFeed
from .evidence_recovery import EvidenceRecovery
from .handoff_peers import HandoffPeers
from .health_checker import HealthChecker
from .intake import ProxyIntake
from .load_recorder import LoadRecorder
from .memory import ControllerMemory
from .outlet_factory import OutletFactory
from .proxy_events import (
    AttemptsReported,
    ProxyEvent,
    ProxyInputRejected,
    ProxySessionClosed,
    ProxySessionOpened,
    RequestsReported,
    UpdateApplied,
    UpdateRejected,
)
from .proxy_folder_feed import ProxyFolderFeed
from .proxy_sessions import ProxySessions
from .publish import Publisher
from .publisher_events import PublisherEvents
from .queue_monitor import QueueMonitor
from .render import Renderer
from .report_interval import ReportIntervalPublisher
from .report_processor import ReportProcessor

RECORDS_FLUSH_SECONDS = 0.1
SEED_STRIDE = 1000  # between the seeds of two controllers, for their starts


class Service:
    """The controller of one folder.

    The components are made when it runs, as the epoch of the start is known only then. Each of them owns its
    state; this class holds none besides.

    Attributes:
        link_port: the port on which peers are served; 0: none.
        front_port: the port of the discovery server; 0: none.
    """

    def __init__(
        self,
        terms: Terms,
        ops: FileOps | None = None,
        log: BindableLogger | None = None,
        decider: DeciderFactory = Controller,
        shelf: type[Shelf] = Shelf,
    ) -> None:
        """Creates a service that has not touched anything yet.

        Args:
            terms: the configuration.
            ops: file operations.
            log: the logger.
            decider: makes what decides.
            shelf: writes the files of one proxy.
        """
        self.terms = terms
        self.settings = facts(terms)
        self.ops = ops or DiskOps()
        self.clock = Clock()
        self.log: Logger = (log or structlog.get_logger()).bind(controller=terms.name)
        self.folder = Folder(terms.files.folder, self.ops)
        self.records = Records(terms.records.file, terms.records.most_waiting)
        self.queue = DecisionQueue()
        self.link_port = 0
        self.front_port = 0
        self._make_decider = decider
        self._shelf_type = shelf

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled; has started once all ports are open.

        Raises:
            FolderTaken: another process holds the folder.
            OSError: the folder, a port or the credentials cannot be used.
            CredentialError: the credentials are malformed.
        """
        self._open()
        self._make_publisher()
        self._make_intake()
        self._make_controller()
        self._make_loop()
        try:
            async with trio.open_nursery() as nursery:
                await self._start_tasks(nursery)
                task_status.started()
        finally:
            self._close()

    # Start and end.

    def _open(self) -> None:
        """Takes the folder, and opens what lies on disk."""
        self.folder.open()
        with contextlib.suppress(FileNotFoundError):  # of a start before
            self.ops.unlink(f"{self.folder.path}/{PACE}")
        files = self.terms.files
        self._watch: Watch = open_watch(files.watch, files.poll_every_ms / 1000)
        self.conditions = ConditionLog(self.log, self.records, self.clock.now)
        self.memory = self._open_memory()

    def _open_memory(self) -> ControllerMemory | None:
        """The memory; None if there is none or it cannot be used, as a controller can do without."""
        store = self.terms.store
        if not store.folder:
            return None
        lifetime_ticks = ticks(store.lasts_ms)
        announce = self.conditions.announce
        try:
            return ControllerMemory(
                store.folder, self.terms.name, self.folder.epoch, lifetime_ticks, announce
            )
        except (StoreError, OSError) as error:
            self.conditions.report("store", True, "store unavailable", cause=str(error))
            return None

    def _close(self) -> None:
        self.log.info("controller stopped", queue_max_entries=self.channel.most, messages=self.book.count)
        self._record_validation()
        self.records.note(self.clock.now(), "ended")
        self.records.flush()
        self._watch.close()
        self.folder.close()
        if self.memory is not None:
            self.memory.close()

    def _record_validation(self) -> None:
        """Records what update validation has found since the start, and what a check cost."""
        durations_us = sorted(self.publisher.guard_us) or [0]
        self.records.note(
            self.clock.now(),
            "guarded",
            counts=self.watchman.counts,
            median_us=durations_us[len(durations_us) // 2],
            p99_us=durations_us[int(len(durations_us) * 0.99)],
        )

    # The components.

    def _make_publisher(self) -> None:
        """Makes what leads from the controller's commands to the proxies."""
        terms, epoch = self.terms, self.folder.epoch
        renderer = Renderer(terms, epoch)
        self.book = OrderBook(self.settings, lambda message: self.publisher.put(message))
        self.core = Core(first_era(epoch, int.from_bytes(os.urandom(3), "big")))
        self.directory = EndpointDirectory(
            self.settings,
            ticks(terms.rules.cold_ms),
            renderer,
            self.memory,
            self.clock,
            self.records,
            self.log,
            self._show_endpoints,
        )
        listener = PublisherEvents(
            self.clock, self.conditions, self.directory, self.queue, self._handle, self.memory
        )
        self.publisher = Publisher(
            terms,
            self.settings,
            listener,
            self.records,
            self.log,
            self.core,
            renderer,
            epoch,
            self.book,
        )
        self.channel = self.publisher.channel
        self.watchman = self.publisher.watchman

    def _make_intake(self) -> None:
        """Makes what takes in what proxies say."""
        terms, epoch = self.terms, self.folder.epoch
        session_timeout_ticks = ticks(terms.files.proxy_lost_after_ms)
        self.intake = ProxyIntake(
            self._handle_proxy_event,
            terms.name,
            epoch,
            [route.name for route in terms.routes],
            session_timeout_ticks,
            lambda: self.book.count,
        )
        self.reports = ReportProcessor(
            terms.intake,
            terms.fleet.reports_per_s,
            ticks(terms.fleet.report_every_ms),
            session_timeout_ticks,
            self.intake,
            self._handle,
            self._publish_report_interval,
            self.queue.wake,
            random.Random(self._seed()).randrange,
            self.clock,
            self.records,
            self.log,
        )
        self.discovery: DiscoveryFeed | None = None
        if terms.front.listen:
            self.discovery = DiscoveryFeed(
                terms.name,
                terms.front,
                terms.fleet.report_every_ms / 1000,
                self.core,
                self.publisher,
                self.intake,
                self.queue,
                self.reports,
            )
        self.report_interval = ReportIntervalPublisher(self.folder, self.ops, self.discovery, self.conditions)

    def _make_controller(self) -> None:
        """Makes the controller and what it commands, and hands it what is known from before."""
        terms, epoch = self.terms, self.folder.epoch
        self.endpoint_list = EndpointListFeed(
            terms,
            self.folder.path,
            self.ops,
            self.conditions,
            self._receive_endpoint_list,
            self._lose_endpoint_list,
        )
        self.health_checker = HealthChecker(
            terms.fleet.probe_path,
            terms.fleet.dial_ms / 1000,
            self.directory.find,
            self._complete_health_check,
        )
        self.timers = EvaluationTimers()
        runtime = FileControllerRuntime(
            self.book,
            self.timers,
            self.endpoint_list,
            self.health_checker,
            self.memory,
            self.clock,
            self.records,
            self.conditions,
        )
        now = self.clock.now()
        self.controller: Decider = self._make_decider(runtime, self.settings, self._seed(), now)
        self.log.info("controller started", epoch=epoch, folder=self.folder.path, process=os.getpid())
        self.records.note(now, "started", director=terms.name, epoch=epoch, wall=time.time())
        self.recovery = EvidenceRecovery(self.memory, self._handle, self.records, self.log)
        self._update_endpoints(self.clock.now(), self.endpoint_list.last_saved())

    def _make_loop(self) -> None:
        """Makes what the decision task calls besides the controller."""
        terms = self.terms
        self.handoff = HandoffPeers(
            terms.links,
            terms.name,
            self.folder.epoch,
            self.directory,
            self.queue,
            self._handle,
            self.records,
            self.conditions,
        )
        self._make_proxy_components()
        drain = ControllerDrain(
            self.folder,
            self.settings.channel.queue_limit_entries,
            self.book,
            self.channel,
            self.conditions,
        )
        monitor = QueueMonitor(
            self.settings.channel, self.controller, self.publisher, self.records, self.conditions
        )
        self.loop = DecisionLoop(
            self.queue,
            self.timers,
            self.controller,
            self.reports,
            self.directory,
            self.book,
            self.publisher,
            [
                self.intake.close_silent_sessions,
                drain.step,
                self.handoff.resend_unanswered,
                monitor.check,
            ],
            self.clock,
        )

    def _make_proxy_components(self) -> None:
        """Makes what handles the events of proxies."""
        terms = self.terms
        self.load_recorder = LoadRecorder(
            terms.routes,
            self.book,
            self.publisher,
            self.reports,
            self.directory,
            self.memory,
            self.handoff,
            self._handle,
            self.clock,
        )
        self.folder_feed = ProxyFolderFeed(
            self.folder,
            self.ops,
            self._watch,
            terms.files.largest_report_bytes,
            self.intake,
            self.queue,
            self.reports,
            self.clock.now,
        )
        outlets = OutletFactory(
            terms.files,
            self.folder,
            self.ops,
            self._shelf_type,
            self.core,
            self.discovery,
            self.conditions,
        )
        self.sessions = ProxySessions(
            terms.routes,
            self.folder,
            self.ops,
            self.book,
            self.publisher,
            outlets,
            self.folder_feed,
            self.discovery,
            self.reports,
            self.handoff,
            self._handle,
            self.clock,
            self.records,
            self.log,
            self.conditions,
        )

    def _seed(self) -> int:
        """The seed of random numbers: another one for each controller and each of its starts."""
        return self.terms.seed * SEED_STRIDE + self.folder.epoch

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
            discovery_port: Any = await nursery.start(self.discovery.run)
            self.front_port = int(discovery_port)
            self.log.info("discovery server listening", port=self.front_port)
        if self.terms.links.listen:
            handoff_port: Any = await nursery.start(self.handoff.serve)
            self.link_port = int(handoff_port)

    # What other tasks have learnt, on its way to the decision task.

    async def _receive_endpoint_list(self, endpoints: list[Host]) -> None:
        await self.queue.send(lambda now: self._update_endpoints(now, endpoints))

    async def _lose_endpoint_list(self) -> None:
        await self.queue.send(lambda now: self._handle(now, EndpointListLost()))

    async def _complete_health_check(self, result: HealthCheckCompleted) -> None:
        await self.queue.send(lambda now: self._handle(now, result))

    # What the components tell each other, in the decision task.

    def _handle(self, now: int, event: Event) -> None:
        self.controller.handle(now, event)

    def _update_endpoints(self, now: int, endpoints: Sequence[Host]) -> None:
        """Takes in an endpoint list; the first one also brings back what was known of its endpoints."""
        self.reports.sums.keep(frozenset(each.id for each in endpoints))
        self.directory.update(now, endpoints)
        self.recovery.restore(now, endpoints)

    def _show_endpoints(self, now: int, endpoints: Sequence[Host]) -> None:
        """Shows the endpoints to update validation and the controller."""
        self.publisher.tell_guard(self.watchman.listed, now, endpoints, self.clock.start_of)
        self._handle(now, self.directory.list_event(endpoints))

    def _publish_report_interval(self, interval_ticks: int) -> None:
        self.report_interval.publish(interval_ticks)

    def _handle_proxy_event(self, event: ProxyEvent) -> None:
        now = self.clock.now()
        match event:
            case ProxySessionOpened():
                self.sessions.open(event)
            case ProxySessionClosed():
                self.sessions.close(event)
            case UpdateApplied():
                self.publisher.applied(now, event.proxy, event.message)
            case UpdateRejected():
                self.publisher.refused_group(now, event.proxy, event.kind, event.message, event.cause)
            case AttemptsReported():
                self.load_recorder.record_attempts(event)
            case RequestsReported():
                self.load_recorder.record_requests(event)
            case ProxyInputRejected():
                self.log.warning("input of a proxy rejected", proxy=event.name, cause=event.cause)
                self.records.note(now, "fault", proxy=event.name, cause=event.cause)
