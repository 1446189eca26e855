"""One controller: events in, commands out.

`Controller` connects the components of this package and has no decision logic of its own. Call `handle` with
each event and `flush` after the last event of a batch; `flush` issues the commands through the
`ControllerRuntime`.

| concern                                    | modules                                              |
| ------------------------------------------ | ---------------------------------------------------- |
| endpoints, proxies, tables and their users | fleet, model                                         |
| the endpoint list                          | endpoint_list, list_requests                         |
| draining, removed and returning endpoints  | exclusions, reminders, readmissions                  |
| binding proxies to tables                  | binding, pending_binds, subsets                      |
| weights                                    | weights, weight_solver, slow_start, locality         |
| health                                     | outliers, partitions, health_checks                  |
| load, admission, retries                   | load, demand, conditions, admission                  |
| order and pacing of updates                | update_sequence, table_updates, pacing,              |
|                                            | queue_limits, channel, message_cap                   |
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import assert_never

from ..ticks import TICKS_PER_SECOND
from .admission import AdmissionController
from .binding import ProxyBinder
from .channel import ChannelEstimate
from .conditions import FleetConditions
from .context import ControllerContext
from .demand import RequestDemand
from .endpoint_list import EndpointListTracker
from .events import (
    EndpointListLost,
    EndpointListReceived,
    EndpointReport,
    EvaluationDue,
    Event,
    HealthCheckCompleted,
    MessageAcknowledged,
    ProxyJoined,
    ProxyLeft,
    RequestReport,
)
from .exclusions import EndpointExclusions
from .fleet import FleetState
from .health_checks import HealthChecks
from .list_requests import ListRequests
from .load import LoadEstimator
from .locality import LocalitySpillover
from .model import Endpoint, ProxySession
from .outliers import OutlierDetector
from .pacing import UpdatePacer
from .partitions import PartitionDetector
from .pending_binds import PendingBinds
from .queue_limits import QueueLimits
from .readmissions import SessionReadmissions
from .reminders import ExclusionReminders
from .runtime import ControllerRuntime
from .settings import DeploymentSettings
from .slow_start import SlowStart
from .status import ControllerStatus
from .subsets import SubsetAssigner
from .table_updates import TableUpdater
from .timing import EVALUATION_INTERVAL_TICKS
from .update_sequence import UpdateSequence
from .weight_solver import WeightSolver
from .weights import EndpointWeights

LOST_AFTER_GRACES = 2  # after this many drain graces without acknowledgements, overdue messages are lost


class Controller:
    """Configures the proxies that have joined it. Controllers share no state and do not coordinate.

    Args:
        runtime: carries out the commands.
        settings: the settings of the deployment.
        seed: seed for retry jitter and subset selection.
        now: the current time, in ticks.

    Attributes:
        fleet: endpoints, proxies and tables.
        channel: the estimate of the queue in the channel to the proxies.
        admission: the admitted fraction of requests and the admission limits.
        pending_binds: proxies that wait to be bound to their tables.
        subsets: subset tables and the proxies assigned to them.
        exclusions: excludes and readmits endpoints.
        updater: brings the tables at the proxies up to date.
    """

    def __init__(self, runtime: ControllerRuntime, settings: DeploymentSettings, seed: int, now: int) -> None:
        context = _make_context(runtime, settings, seed, now)
        self._runtime = runtime
        self._settings = settings
        self.fleet = context.fleet
        self.channel = context.channel
        self.pending_binds = PendingBinds()
        self._slow_start = SlowStart(context)
        self._outliers = OutlierDetector(context)
        self._partitions = PartitionDetector(context, self._slow_start)
        self._health_checks = HealthChecks(context, self._partitions)
        self._demand = RequestDemand(settings.routes)
        self._load = LoadEstimator(context, self._slow_start, self._demand)
        self.admission = AdmissionController(context, self._demand)
        self._weights = EndpointWeights(context, self._slow_start, self._partitions)
        self.solver = WeightSolver(context, self._slow_start)
        self._locality = LocalitySpillover(context, self.admission, self._weights)
        self._readmissions = SessionReadmissions(context)
        self.updater = TableUpdater(
            context, self._weights, self._locality, self.admission, self._demand, self._readmissions
        )
        self.subsets = SubsetAssigner(context, self._weights)
        self._binder = ProxyBinder(
            context, self.pending_binds, self._readmissions, self.subsets, self.updater
        )
        self.exclusions = EndpointExclusions(
            context, self.pending_binds, self._slow_start, self._weights, self.updater
        )
        self._reminders = ExclusionReminders(context, self.pending_binds, self.subsets, self.exclusions)
        self._list_requests = ListRequests(context)
        self._endpoint_list = EndpointListTracker(
            context, self._list_requests, self.exclusions, self._readmissions
        )
        self._pacer = UpdatePacer(context)
        self._updates = UpdateSequence(
            context,
            self._pacer,
            self.pending_binds,
            self._binder,
            self.subsets,
            self.exclusions,
            self._reminders,
            self._readmissions,
            self.updater,
            self.admission,
            self._locality,
        )
        runtime.schedule_evaluation(EVALUATION_INTERVAL_TICKS)

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """All known endpoints, by name."""
        return self.fleet.endpoints

    def queue_estimate(self) -> float:
        """Returns the estimated number of entries queued in the channel."""
        return self.channel.queue_estimate()

    def learnt_capacities(self) -> dict[str, float]:
        """Returns each endpoint's capacity relative to the mean, listed or learnt, by endpoint name."""
        return {name: endpoint.capacity for name, endpoint in self.fleet.endpoints.items()}

    def ticks_until_list_fetch(self, now: int) -> int | None:
        """Returns the time until the next `fetch_endpoint_list`; None if none is scheduled."""
        return self._list_requests.ticks_until_fetch(now)

    def status(self, now: int) -> ControllerStatus:
        """Returns figures on the current state of the fleet and the channel."""
        endpoints = self.fleet.endpoints.values()
        return ControllerStatus(
            endpoints_in_service=sum(endpoint.is_in_service for endpoint in endpoints),
            endpoint_count=len(endpoints),
            load_fraction=self._load.last_utilization(now),
            admitted_fraction=self.admission.admitted_fraction,
            queue_entries=self.channel.queue_estimate(),
            charged_entries=self.channel.charged_entries,
        )

    def handle(self, now: int, event: Event) -> None:
        """Handles one event; the next `flush` issues the resulting commands."""
        match event:
            case EndpointReport():
                self._record_endpoint_report(now, event)
            case RequestReport():
                self._record_request_report(event)
            case MessageAcknowledged():
                self.channel.acknowledge(now, event.proxy, event.marker)
            case EvaluationDue():
                self._handle_timer(now)
            case ProxyJoined():
                self._add_proxy(now, event)
            case ProxyLeft():
                self._remove_proxy(event)
            case EndpointListReceived():
                self._endpoint_list.handle_list(now, event)
            case EndpointListLost():
                self._list_requests.record_loss(now)
            case HealthCheckCompleted():
                self._health_checks.record(now, event)
            case _:
                assert_never(event)

    def flush(self, now: int) -> None:
        """Issues the commands for a batch of events, in the order of `UpdateSequence`."""
        self._list_requests.send_due(now)
        self._updates.send(now)

    def observe_queue(self, entries: float) -> None:
        """Records how many entries wait in the channel, before `flush`, where the runtime keeps the queue."""
        self.channel.observe_queue(entries)

    def settle_flush(self, sent_entries: Mapping[int, int]) -> None:
        """Replaces what `flush` charged by the entries that the messages hold, by proxy.

        Optional: without it the charges stay, which are upper bounds.
        """
        self.channel.settle_flush(sent_entries)

    def _handle_timer(self, now: int) -> None:
        """Evaluates, unless the timer was set only for a request for the list in the next flush."""
        if not self._list_requests.take_timer(now):
            self._evaluate(now)

    def _evaluate(self, now: int) -> None:
        """Runs the periodic evaluation of health, load, admission and weights."""
        self.channel.update_overdue(now, LOST_AFTER_GRACES * self._settings.rules.drain_grace_ticks)
        self._endpoint_list.forget_removed(now)
        self.exclusions.log_if_late(now)
        if self._partitions.update(now):
            self.updater.has_changes = True
        if self._outliers.update(now):
            self._pacer.expedite_table_updates(now)
            self.updater.has_changes = True
        self._evaluate_load(now)
        self._health_checks.send_due(now)
        if self.subsets.end_connection_limit_if_due(now):
            self.pending_binds.rebind_all(now, self.fleet.proxies)
        self._step_weights(now)
        self._end_unresponsive_sessions()
        self._runtime.schedule_evaluation(EVALUATION_INTERVAL_TICKS)

    def _end_unresponsive_sessions(self) -> None:
        for proxy in self.channel.unresponsive_proxies():
            messages = self.channel.give_up_messages(proxy)
            self._runtime.log(f"proxy unresponsive proxy={proxy} unacknowledged_messages={messages}")
            self._runtime.end_session(proxy)

    def _evaluate_load(self, now: int) -> None:
        sample = self._load.evaluate(now)
        if sample is not None:
            if self.subsets.refuses_connections(sample):
                self.subsets.limit_connections(now, sample)
                self.pending_binds.rebind_all(now, self.fleet.proxies)
            self.admission.evaluate(now, sample, self._load.feedback_ticks)
        self.admission.record(now)

    def _step_weights(self, now: int) -> None:
        if not self.solver.is_due(now):
            return
        if self.solver.step(now):
            self._locality.rebalance_all(now)
            self._binder.stop_holding_back()
        if self.solver.should_send_changes(now):
            self.updater.has_changes = True

    def _record_endpoint_report(self, now: int, report: EndpointReport) -> None:
        endpoint = self.fleet.endpoints.get(report.endpoint)
        if endpoint is None:
            return
        successes = report.attempts - report.failures
        latency_ticks = report.mean_latency_ticks * successes
        endpoint.record_attempts(now, report.attempts, report.failures, latency_ticks)
        self._endpoint_list.remove_if_failing(now, endpoint)
        self._load.record_attempts(now, successes, report.attempts)
        if report.cpu_utilization is not None:
            endpoint.utilization = report.cpu_utilization
            endpoint.utilization_at = now

    def _record_request_report(self, report: RequestReport) -> None:
        if report.proxy in self.fleet.proxies and report.window_ticks > 0:
            self._demand.record(report, self.admission.is_shedding)

    def _add_proxy(self, now: int, event: ProxyJoined) -> None:
        proxy = event.proxy
        self.fleet.proxies[proxy] = ProxySession(event.zone, event.usual_rate_per_second)
        self.channel.add_proxy(proxy)
        self._reminders.add_proxy(now, proxy)
        if not event.is_fresh:
            self._readmissions.add_proxy(now, proxy)
        self.pending_binds.add(now, proxy, event.usual_rate_per_second, event.is_fresh)
        self.subsets.add_proxy(proxy)

    def _remove_proxy(self, event: ProxyLeft) -> None:
        proxy = event.proxy
        self._demand.forget_proxy(proxy)
        self.fleet.remove_proxy(proxy)
        self.channel.remove_proxy(proxy, is_still_counted=event.is_ended_by_controller)
        self._reminders.remove_proxy(proxy)
        self._readmissions.remove_proxy(proxy)
        self.pending_binds.remove(proxy)


def _make_context(
    runtime: ControllerRuntime, settings: DeploymentSettings, seed: int, now: int
) -> ControllerContext:
    fleet = FleetState(settings)
    channel = ChannelEstimate(settings.channel, now)
    return ControllerContext(
        settings=settings,
        runtime=runtime,
        fleet=fleet,
        conditions=FleetConditions(),
        channel=channel,
        limits=QueueLimits(fleet, channel),
        random_fraction=random.Random(seed).random,
        bucket_ticks=max(settings.fleet.report_interval_ticks, TICKS_PER_SECOND),
        started_at=now,
    )
