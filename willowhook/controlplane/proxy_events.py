"""The typed events of proxies.

`ProxyIntake` emits them for the files and requests of proxies; the decision task handles them. They refer to
proxies by number; names are for logs and records.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..reports.sample import SampleSums
from .proxy_resources import ProxyResources


@dataclass(frozen=True, slots=True)
class ProxySessionOpened:
    """A proxy has joined this controller.

    Attributes:
        proxy: its number.
        name: its name.
        zone: its zone.
        usual_rate_per_second: the rate of requests that usually reach it.
        is_fresh: whether no controller has sent it anything since it started.
        held: the resources that it holds.
        term: the number of the session, counted by the proxy over all controllers.
        uses_discovery: whether it calls the xDS discovery server; otherwise it reads files.
    """

    proxy: int
    name: str
    zone: str
    usual_rate_per_second: float
    is_fresh: bool
    held: ProxyResources
    term: int
    uses_discovery: bool


@dataclass(frozen=True, slots=True)
class ProxySessionClosed:
    """A proxy has left this controller, or was inactive for too long.

    Attributes:
        proxy: its number.
        name: its name.
        reason: why the session was closed, for the log.
    """

    proxy: int
    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class UpdateApplied:
    """A proxy has applied the update message of this number, and all before it."""

    proxy: int
    message: int


@dataclass(frozen=True, slots=True)
class UpdateRejected:
    """A proxy has rejected a file of an update message.

    Attributes:
        proxy: its number.
        kind: the type of the resources in the file: `cds`, `eds` or `rds`.
        message: the number of the message.
        cause: the reason that the proxy states, shortened.
    """

    proxy: int
    kind: str
    message: int
    cause: str


@dataclass(frozen=True, slots=True)
class AttemptsReported:
    """The attempts of a proxy at endpoints, summed over its load reports for one period of time."""

    proxy: int
    sample: SampleSums


@dataclass(frozen=True, slots=True)
class RequestsReported:
    """The requests of one route that reached a proxy.

    Attributes:
        proxy: its number.
        route: the route's name.
        requests: the number of requests that reached it.
        failures: the number of failures among them.
        window_ticks: the length of time that the numbers cover.
    """

    proxy: int
    route: str
    requests: int
    failures: int
    window_ticks: int


@dataclass(frozen=True, slots=True)
class ProxyInputRejected:
    """A file or request of a proxy is malformed; emitted once until a well-formed one arrives.

    Attributes:
        name: the name of the proxy.
        cause: the file and what is wrong with it.
    """

    name: str
    cause: str


ProxyEvent = (
    ProxySessionOpened
    | ProxySessionClosed
    | UpdateApplied
    | UpdateRejected
    | AttemptsReported
    | RequestsReported
    | ProxyInputRejected
)
