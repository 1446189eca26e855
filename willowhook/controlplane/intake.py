"""The sessions of proxies: turns the bytes that proxies write or send into typed events.

Malformed input of one proxy does not affect any other proxy; it is reported once until a well-formed file
of the same kind arrives. This module does no I/O and reads no clock. Only the decision task may call it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

from ..files.layout import LOAD_FILE, STATUS_FILE
from ..membership.ownership import OwnershipClaim, check_claim
from ..membership.timing_wheel import TimingWheel
from ..reports.read import Report, read_report
from ..reports.sample import sum_sample
from ..reports.windows import ReportWindows
from ..ticks import TICKS_PER_SECOND
from ..xds import forms
from ..xds.codec import MessageFormatError, decode
from .malformed_input import MalformedInputReporter
from .proxy_events import (
    AttemptsReported,
    ProxyEvent,
    ProxySessionClosed,
    ProxySessionOpened,
    RequestsReported,
    UpdateApplied,
    UpdateRejected,
)
from .proxy_files import (
    REQUEST_FILES,
    ProxyStatus,
    check_controller,
    check_node,
    check_proxy_name,
    has_applied_any,
    read_answered_version,
    read_controller,
    read_requests,
    read_status,
    read_term,
)

MAX_PROXIES = 65_535  # per controller process; numbers are not reused
TIMEOUT_WHEEL_SLOTS = 64
TIMEOUT_WHEEL_RESOLUTION = 20  # slots of the timing wheel per session timeout
MAX_CAUSE_CHARACTERS = 500


@dataclass(slots=True)
class IntakeSession:
    """The session of a proxy with this controller.

    Attributes:
        number: the number of the proxy in the control plane.
        name: the name of the proxy, as in its folder or its requests.
        term: the number of its session, counted over all controllers.
        last_activity_at: the tick of the last activity of the proxy.
        uses_discovery: whether it calls the xDS discovery server; otherwise it reads files.
        applied: the newest update message that it is known to have applied.
        rejected: by kind of file, the newest update message that it rejected.
    """

    number: int
    name: str
    term: int
    last_activity_at: int
    uses_discovery: bool = False
    applied: int = 0
    rejected: dict[str, int] = field(default_factory=dict)


class ProxyIntake:
    """Keeps the sessions of proxies and emits a `ProxyEvent` for each change.

    Attributes:
        sessions: the open ones, by the name of the proxy.
        windows: the periods of time that load reports have covered.
    """

    def __init__(
        self,
        emit: Callable[[ProxyEvent], None],
        controller: str,
        epoch: int,
        routes: Sequence[str],
        session_timeout_ticks: int,
        newest_message: Callable[[], int],
    ) -> None:
        """Creates an intake without sessions.

        Args:
            emit: receives the events.
            controller: the name of this controller.
            epoch: how often it has been started.
            routes: the names of the routes, as in load reports.
            session_timeout_ticks: the time without activity after which a session is closed.
            newest_message: returns the number of the last update message; answers to later ones are rejected.
        """
        self._emit = emit
        self._controller = controller
        self._epoch = epoch
        self._routes = frozenset(routes)
        self._session_timeout_ticks = session_timeout_ticks
        self._newest_message = newest_message
        self._numbers: dict[str, int] = {}
        self._malformed = MalformedInputReporter(emit)
        slot_ticks = max(session_timeout_ticks // TIMEOUT_WHEEL_RESOLUTION, 1)
        self._timeouts = TimingWheel(slot_ticks, TIMEOUT_WHEEL_SLOTS, 0)
        self.sessions: dict[str, IntakeSession] = {}
        self.windows = ReportWindows()

    # Sessions.

    @property
    def last_error(self) -> str:
        """Why the input that was rejected last was malformed."""
        return self._malformed.last_cause

    def open_session(
        self,
        now: int,
        name: str,
        files: Mapping[str, bytes],
        previous: Mapping[str, bytes] | None = None,
        uses_discovery: bool = False,
    ) -> bool:
        """Opens a session for the proxy `name`; closes the one that it has, if any.

        Args:
            now: the current tick.
            name: the name of the proxy.
            files: the files that it has written so far, by file name.
            previous: the files that an earlier controller process wrote for it, if any.
            uses_discovery: whether it calls the xDS discovery server.

        Returns:
            False if the files are malformed or the status is still missing.
        """
        if name in self.sessions:
            self.close_session(name, "session opened again")
        try:
            check_proxy_name(name)
            if STATUS_FILE not in files:
                return False
            status = read_status(name, files[STATUS_FILE], previous)
            number = self._assign_number(name)
            check_controller(self._controller, status.node)
            is_fresh = not has_applied_any(read_requests(files))
        except MessageFormatError as error:
            self._malformed.reject(name, STATUS_FILE, str(error))
            return False
        self._malformed.accept_all(name)
        proxy = IntakeSession(number, name, status.term, now, uses_discovery)
        self.sessions[name] = proxy
        self._touch(now, proxy)
        self._emit(_session_opened(proxy, status, is_fresh))
        return True

    def _assign_number(self, name: str) -> int:
        """Returns the proxy's number, the same in all its sessions.

        Raises MessageFormatError if all numbers are in use.
        """
        number = self._numbers.setdefault(name, len(self._numbers))
        if number >= MAX_PROXIES:
            del self._numbers[name]
            raise MessageFormatError(f"more than {MAX_PROXIES} proxies have joined")
        return number

    def close_session(self, name: str, reason: str) -> None:
        """Closes the proxy's session, if it has one."""
        proxy = self.sessions.pop(name, None)
        if proxy is not None:
            self._timeouts.drop(name)
            self._emit(ProxySessionClosed(proxy.number, name, reason))

    def record_activity(self, now: int, name: str) -> None:
        """Records a request of a proxy as activity."""
        proxy = self.sessions.get(name)
        if proxy is not None:
            self._touch(now, proxy)

    def _touch(self, now: int, proxy: IntakeSession) -> None:
        proxy.last_activity_at = now
        self._timeouts.set(proxy.name, now + self._session_timeout_ticks + 1)

    def close_silent_sessions(
        self, now: int, is_waiting_for_controller: Callable[[str], bool] = lambda _name: False
    ) -> None:
        """Closes the sessions of proxies that were inactive for too long.

        Args:
            now: the current tick.
            is_waiting_for_controller: whether a proxy has sent input that was not read yet, or a request that
                was not answered yet. Such a proxy counts as active.
        """
        for name in self._timeouts.overdue(now):
            if is_waiting_for_controller(name):
                self._touch(now, self.sessions[name])
                continue
            silent_ticks = now - self.sessions[name].last_activity_at
            self.close_session(name, f"silent for {silent_ticks / TICKS_PER_SECOND:.1f} s")

    # Files.

    def process_file(self, now: int, name: str, file: str, data: bytes) -> None:
        """Processes a file that a proxy has written; a file of a proxy without a session is ignored."""
        proxy = self.sessions.get(name)
        if proxy is None:
            return
        if file == LOAD_FILE:
            self.process_reports(now, name, [(now, data)], 1)
            return
        try:
            if file in REQUEST_FILES:
                request = decode(data, forms.DiscoveryRequest)
                if not self._belongs_to_session(proxy, request.node):
                    return
                self._process_request(proxy, REQUEST_FILES[file], request)
            elif file != STATUS_FILE:
                raise MessageFormatError("unknown file name")
        except MessageFormatError as error:
            self._malformed.reject(name, file, str(error))
            return
        self._touch(now, proxy)
        self._malformed.accept(name, file)

    def reject_unreadable(self, name: str, file: str, cause: str) -> None:
        """Records that a file could not be read."""
        self._malformed.reject(name, file, cause)

    def _belongs_to_session(self, proxy: IntakeSession, node: forms.Node) -> bool:
        """Whether a file belongs to the proxy's session with this controller, by its node's metadata.

        A file that names another controller, or a later session, closes this session.
        """
        check_node(proxy.name, node)
        named_controller = read_controller(node)
        term = read_term(node)
        claim = check_claim(self._controller, named_controller, term=proxy.term, claimed_term=term)
        if claim is OwnershipClaim.RELEASED:
            self.close_session(proxy.name, f"follows {named_controller or 'another'} in term {term}")
        return claim is OwnershipClaim.OWNED

    def _process_request(self, proxy: IntakeSession, kind: str, request: forms.DiscoveryRequest) -> None:
        """Processes a proxy's answer to an update: applied or rejected."""
        version = read_answered_version(kind, request)
        if version is None:
            return
        if version.epoch > self._epoch or version.term > proxy.term:
            current = f"term {proxy.term}, epoch {self._epoch}"
            raise MessageFormatError(f"response_nonce is {version}, but this is {current}")
        if (version.term, version.epoch) != (proxy.term, self._epoch):
            return  # answers an update of an earlier session, or of an earlier process of this controller
        message = version.number
        newest = self._newest_message()
        if message > newest:
            raise MessageFormatError(f"response_nonce is of message {message}, but {newest} is the last one")
        if request.error_detail is not None:
            if proxy.rejected.get(kind) != message:
                proxy.rejected[kind] = message
                cause = request.error_detail.message[:MAX_CAUSE_CHARACTERS]
                self._emit(UpdateRejected(proxy.number, kind, message, cause))
        elif message > proxy.applied:
            proxy.applied = message
            self._emit(UpdateApplied(proxy.number, message))

    # Load reports.

    def process_reports(
        self, now: int, name: str, reports: Sequence[tuple[int, bytes]], arrived: int
    ) -> list[tuple[str, bytes]]:
        """Processes load reports of one proxy.

        Args:
            now: the current tick.
            name: the name of the proxy.
            reports: the tick at which each arrived, and its bytes; all that arrived, or a sample of two.
            arrived: the number of reports that arrived, of which these are a sample.

        Returns:
            The cause and the bytes of each malformed report.
        """
        proxy = self.sessions.get(name)
        if proxy is None:
            return []
        accepted: list[tuple[int, int, Report]] = []
        malformed: list[tuple[str, bytes]] = []
        for arrived_at, data in reports:
            try:
                report = decode(data, forms.LoadStatsRequest)
                if not self._belongs_to_session(proxy, report.node):
                    if name not in self.sessions:  # the report has closed the session
                        return malformed
                    continue
                accepted.append((arrived_at, xxhash.xxh64_intdigest(data), read_report(report, self._routes)))
            except MessageFormatError as error:
                malformed.append((str(error), data))
                self._malformed.reject(name, LOAD_FILE, str(error))
        if accepted:
            if not malformed:
                self._malformed.accept(name, LOAD_FILE)
            self._touch(now, proxy)
            self._emit_reported(now, proxy, accepted, arrived)
        return malformed

    def _emit_reported(
        self, now: int, proxy: IntakeSession, reports: Sequence[tuple[int, int, Report]], arrived: int
    ) -> None:
        sample = sum_sample(now, proxy.name, self.windows, reports, arrived, not proxy.uses_discovery)
        if sample is None:
            return
        if sample.cells:
            self._emit(AttemptsReported(proxy.number, sample))
        for route, (requests, failures) in sample.requests.items():
            event = RequestsReported(proxy.number, route, round(requests), round(failures), sample.window)
            self._emit(event)


def _session_opened(proxy: IntakeSession, status: ProxyStatus, is_fresh: bool) -> ProxySessionOpened:
    return ProxySessionOpened(
        proxy=proxy.number,
        name=proxy.name,
        zone=status.node.locality.zone,
        usual_rate_per_second=status.usual_rate_per_second,
        is_fresh=is_fresh,
        held=status.held,
        term=proxy.term,
        uses_discovery=proxy.uses_discovery,
    )
