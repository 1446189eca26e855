"""The discovery session of one proxy: what it is to run, what it says, and the responses that it gets.

Which front serves the proxy, and in which form, does not matter here. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from .exchange import ALL_NAMES, ResourceRequest, ResourceResponse
from .held_resources import HeldResources, References
from .offers import ExcludeFrom, Offers
from .rejections import Rejections
from .resources import Resource, ResourceSet, ResourceStore
from .version_tracker import VersionTracker

MAX_SUBSCRIBED_NAMES = 10_000  # that one proxy may subscribe to
MAX_UNAPPLIED_MESSAGES = 100  # of one proxy; when there are more, the oldest are forgotten
FORGOTTEN_MESSAGE_COUNT = 50  # at once
NO_BASE = "0"  # in the nonce of a delta that starts from no set of ours


class SessionListener(Protocol):
    """Is notified of the requests of a proxy."""

    def handle_applied(self, proxy: int, number: int) -> None:
        """Called when a proxy has applied an update message, and all before it."""

    def handle_rejected(self, proxy: int, resource: Resource, error: str) -> None:
        """Called when a proxy has rejected a resource, which it is not offered again."""

    def handle_acknowledged(self, proxy: int, resources: ResourceSet) -> None:
        """Called when a proxy has applied a set."""

    def record_known_version(self, proxy: int, kind: str, version: str, state: str) -> None:
        """Called when it changes what a proxy runs; `version` is empty where that is not certain."""


class _PendingMessage(NamedTuple):
    """An update message that is not known to be applied, and the sets that it wants."""

    number: int
    wanted: dict[str, ResourceSet]


class DiscoverySession:
    """The session of one proxy."""

    def __init__(
        self,
        proxy: int,
        store: ResourceStore,
        listener: SessionListener,
        references: References,
        exclude_from: ExcludeFrom,
        initial: Mapping[str, list[tuple[str, bytes]]],
    ) -> None:
        """Opens a session.

        Args:
            proxy: the proxy's number.
            store: makes resources and sets.
            listener: is notified of what the proxy states.
            references: returns the names that a resource refers to.
            exclude_from: returns a table's body with endpoints draining.
            initial: by type, names and bodies of what the proxy holds from elsewhere.
        """
        self.proxy = proxy
        self._store = store
        self._listener = listener
        self._held = HeldResources(store, references, initial)
        self._rejections = Rejections(store, self._held)
        self._offers = Offers(store, self._held, self._rejections, exclude_from)
        self._pending: list[_PendingMessage] = []

    @property
    def trackers(self) -> dict[str, VersionTracker]:
        """What the proxy is known to run, by type."""
        return self._held.trackers

    def states(self) -> dict[str, tuple[str, str, dict[str, str]]]:
        """Returns by type: state, version if it is certain, and why resources were rejected."""
        return {
            kind: (tracker.state.value, tracker.certain_version, dict(tracker.errors))
            for kind, tracker in self.trackers.items()
        }

    # What it is to run.

    def want(self, number: int, sets: Mapping[str, ResourceSet], excluded: frozenset[str]) -> bool:
        """Sets what the proxy is to run.

        Args:
            number: the number of the update message.
            sets: the sets by type; types that are missing stay as they are.
            excluded: endpoints that the proxy may not use.

        Returns:
            Whether the proxy is offered something that it was not offered before.
        """
        before = dict(self._offers.current)
        self._offers.set_wanted(sets, excluded)
        self._pending.append(_PendingMessage(number, dict(self._offers.wanted)))
        self._offers.recompute()
        offers = self._offers.current.items()
        has_changed = any(before.get(kind) is not resources for kind, resources in offers)
        self._report_applied()
        return has_changed

    def newest(self, kind: str) -> ResourceSet | None:
        """Returns the newest set that the proxy was offered: what comes next must be newer."""
        return self._offers.newest(kind)

    def halt(self, resource: Resource) -> bool:
        """Offers what the proxy ran before in place of a version that is halted for all proxies.

        Returns whether the offer has changed by that.
        """
        self._rejections.halt(resource)
        before = self._offers.current.get(resource.kind)
        self._offers.recompute()
        return self._offers.current.get(resource.kind) is not before

    # What it says, and the responses.

    def handle_request(self, request: ResourceRequest) -> ResourceResponse | None:
        """Processes a request. Returns the response, or None: the request is to wait for one."""
        tracker = self.trackers[request.kind]
        self._raise_era(request)
        if request.nonce and request.error:
            self._handle_rejection(tracker, request)
        elif request.nonce:
            self._handle_acknowledgement(tracker, request.nonce)
        elif request.is_full and request.version:
            self._handle_reported_version(tracker, request.version)
        if request.is_first:
            self._handle_first_request(tracker, request)
        self._subscribe(tracker, request)
        self._offers.recompute()
        self._report_applied()
        return self.pending_response(request.kind, request.is_full)

    def pending_response(self, kind: str, is_full: bool) -> ResourceResponse | None:
        """Returns the response that a waiting request gets now; None if the proxy has all of it."""
        tracker = self.trackers[kind]
        offer = self._offers.current.get(kind)
        if offer is None or offer is tracker.known:
            return None
        held = self._held.held(kind)
        if offer.resources == held:
            return None
        if tracker.known is None and held and offer.bodies() == {n: each.body for n, each in held.items()}:
            return None  # it joined with just this, whatever version it knows it by
        if is_full:
            return ResourceResponse(offer, offer.version, None, None)
        base = tracker.delta_base
        known = base if isinstance(base, ResourceSet) else None
        base_version = known.version if known is not None else NO_BASE
        delta = self._store.delta(base, offer)
        return ResourceResponse(offer, f"{base_version}-{offer.version}", known, delta)

    def record_sent(self, kind: str, response: ResourceResponse) -> None:
        """Notes that a response is about to leave; to be called just before it does."""
        tracker = self.trackers[kind]
        tracker.record_sent(response.nonce, response.resource_set)
        self._report_version(tracker)

    def handle_connection_lost(self, kind: str) -> None:
        """Notes that the connection has ended: what was in flight may have arrived or not."""
        tracker = self.trackers[kind]
        if tracker.in_flight and not tracker.is_connection_lost:
            tracker.is_connection_lost = True
            self._report_version(tracker)

    def _raise_era(self, request: ResourceRequest) -> None:
        """Keeps what the proxy holds older than what it is offered, also if all memory was lost."""
        versions = [request.version, *(request.held_versions or {}).values()]
        ahead = [era for era in map(self._store.era_ahead, versions) if era is not None]
        if ahead:
            self._store.raise_era(max(ahead))
            self._offers.rebuild_for_new_era()
            if self._pending:
                self._pending = [_PendingMessage(self._pending[-1].number, dict(self._offers.wanted))]

    def _handle_first_request(self, tracker: VersionTracker, request: ResourceRequest) -> None:
        """On a new connection the proxy says what it holds; that is where deltas begin."""
        known = tracker.known
        if request.is_full:
            if known is not None and request.version != known.version:
                self._reset_known(tracker, {}, self._store.find(request.kind, request.version))
            return
        held = dict(request.held_versions or {})
        if known is None:
            tracker.reported = held
        elif known.versions() != held:
            # it may have applied what was in flight when the connection ended
            same = [each for each in tracker.in_flight.values() if each.versions() == held]
            self._reset_known(tracker, held, same[-1] if same else None)

    def _reset_known(
        self, tracker: VersionTracker, reported: dict[str, str], runs: ResourceSet | None
    ) -> None:
        """Notes that the proxy holds something other than what it was known to hold."""
        tracker.known = runs
        tracker.reported = reported if runs is None else {}
        self._held.initial.pop(tracker.kind, None)
        tracker.in_flight.clear()
        if runs is not None:
            self._listener.handle_acknowledged(self.proxy, runs)
        self._report_version(tracker)

    def _handle_reported_version(self, tracker: VersionTracker, version: str) -> None:
        """Uses the version that a request names, if no nonce is more specific."""
        for nonce, resources in list(tracker.in_flight.items()):
            if resources.version == version:
                self._handle_acknowledgement(tracker, nonce)
                return
        if tracker.known is not None:
            return
        found = self._store.find(tracker.kind, version)
        if found is not None:
            tracker.known = found
            self._report_version(tracker)
        else:
            self._offers.reported_versions[tracker.kind] = self._store.own_version(version)

    def _handle_acknowledgement(self, tracker: VersionTracker, nonce: str) -> None:
        applied = tracker.record_acknowledged(nonce)
        if applied is None:
            return
        self._rejections.clear_suspects(tracker.kind, applied)
        self._report_version(tracker)
        self._listener.handle_acknowledged(self.proxy, applied)
        self._report_applied()

    def _handle_rejection(self, tracker: VersionTracker, request: ResourceRequest) -> None:
        offer = self._offers.current.get(request.kind)
        offered = offer.resources if offer is not None else {}
        rejected = self._rejections.record(request.kind, request.nonce, request.error, offered)
        if rejected is None:
            return
        for resource in rejected:
            self._listener.handle_rejected(self.proxy, resource, request.error)
        self._report_version(tracker)

    # Subscriptions.

    def _subscribe(self, tracker: VersionTracker, request: ResourceRequest) -> None:
        """Updates the names that the proxy subscribes to."""
        before = self._offers.names[request.kind]
        if request.is_full or request.is_first or ALL_NAMES in request.subscribe:
            names = _complete_subscription(request)
        elif request.subscribe or request.unsubscribe:
            names = _changed_subscription(before, request)
            self._forget_resubscribed(tracker, request.subscribe)
        else:
            return
        limited = dict(list(names.items())[:MAX_SUBSCRIBED_NAMES]) if names is not None else None
        self._offers.names[request.kind] = limited

    def _forget_resubscribed(self, tracker: VersionTracker, names: tuple[str, ...]) -> None:
        """Resources that the proxy subscribes to again are sent again, even if it is known to hold them."""
        held = tracker.known.resources if tracker.known is not None else {}
        if tracker.in_flight or not any(name in held for name in names):
            return
        left = {name: resource for name, resource in held.items() if name not in names}
        tracker.reported = {name: resource.version for name, resource in left.items()}
        self._held.initial[tracker.kind] = self._store.assemble(tracker.kind, left)
        tracker.known = None
        self._report_version(tracker)

    # Reports.

    def _report_applied(self) -> None:
        """Reports the newest message all of whose resources are known to be held."""
        applied = [index for index, message in enumerate(self._pending) if self._is_applied(message)]
        if applied:
            number = self._pending[applied[-1]].number
            del self._pending[: applied[-1] + 1]
            self._listener.handle_applied(self.proxy, number)
        elif len(self._pending) > MAX_UNAPPLIED_MESSAGES:
            del self._pending[:FORGOTTEN_MESSAGE_COUNT]

    def _is_applied(self, message: _PendingMessage) -> bool:
        return all(
            self._held.has(kind, resource)
            for kind, resources in message.wanted.items()
            for resource in resources.resources.values()
        )

    def _report_version(self, tracker: VersionTracker) -> None:
        self._listener.record_known_version(
            self.proxy, tracker.kind, tracker.certain_version, tracker.state.value
        )


def _complete_subscription(request: ResourceRequest) -> dict[str, None] | None:
    """The names of a request that has all of them; None: `*`, or none at all, is everything."""
    if not request.subscribe or ALL_NAMES in request.subscribe:
        return None
    return dict.fromkeys(request.subscribe)


def _changed_subscription(before: dict[str, None] | None, request: ResourceRequest) -> dict[str, None] | None:
    """The names after a request that adds and takes away some; None: everything."""
    if before is None and ALL_NAMES not in request.unsubscribe:
        return None
    names = [*(before or {}), *request.subscribe]
    return {name: None for name in names if name not in request.unsubscribe}
