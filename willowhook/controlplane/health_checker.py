"""Sends the health checks that the controller requests."""

from __future__ import annotations

from collections.abc import Callable

import trio

from ..decisions.events import HealthCheckCompleted, HealthCheckOutcome
from ..registry.endpoint import DiscoveredEndpoint
from ..web.wire import ClientConnection, ConnectionLostError, open_connection
from ..xds import orca
from .context import ServiceContext

MAX_CONCURRENT_CHECKS = 500
MAX_RESPONSE_BYTES = 1 << 16
OUTCOME_BY_STATUS = {200: HealthCheckOutcome.HEALTHY, 503: HealthCheckOutcome.OVERLOADED}


class HealthChecker:
    """Checks endpoints over HTTP, with one task for each check."""

    def __init__(
        self, context: ServiceContext, find_endpoint: Callable[[str], DiscoveredEndpoint | None]
    ) -> None:
        """Creates a checker that starts no checks before `run`.

        Args:
            context: the shared context.
            find_endpoint: returns the endpoint of this name; None if it is not listed.
        """
        self._context = context
        self._path = context.terms.fleet.probe_path.encode()
        self._timeout_seconds = context.terms.fleet.dial_ms / 1000
        self._find_endpoint = find_endpoint
        self._nursery: trio.Nursery | None = None
        self._running_checks = 0

    async def run(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Runs the tasks of the checks until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def check(self, endpoint_name: str) -> None:
        """Starts a check unless the endpoint is not listed or too many checks are running."""
        endpoint = self._find_endpoint(endpoint_name)
        if endpoint is None or self._nursery is None or self._running_checks >= MAX_CONCURRENT_CHECKS:
            return
        self._running_checks += 1
        self._nursery.start_soon(self._check, endpoint)

    async def _check(self, endpoint: DiscoveredEndpoint) -> None:
        outcome = HealthCheckOutcome.TIMED_OUT
        metrics: dict[str, float] = {}
        connection: ClientConnection | None = None
        try:
            with trio.move_on_after(self._timeout_seconds):
                connection = await open_connection(endpoint.address, endpoint.port)
                response = await connection.request(b"GET", self._path, max_body_bytes=MAX_RESPONSE_BYTES)
                outcome = OUTCOME_BY_STATUS.get(response.status, HealthCheckOutcome.FAILED)
                metrics = orca.decision_metrics(orca.read(response.header(orca.HEADER) or b""))
        except ConnectionLostError as error:
            outcome = HealthCheckOutcome.ABORTED if error.sent else HealthCheckOutcome.UNREACHABLE
        finally:
            self._running_checks -= 1
            if connection is not None:
                with trio.CancelScope(shield=True):
                    await connection.close()
        await self._context.queue.send(HealthCheckCompleted(endpoint.id, outcome, metrics.get("busy")))
