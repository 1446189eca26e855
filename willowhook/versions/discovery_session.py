"""The discovery session of one proxy: the resources it is to run, its requests, and the responses to them.

Independent of the discovery server that serves the proxy and of its wire format. No I/O, no clock.
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

MAX_SUBSCRIBED_NAMES = 10_000  # per proxy and resource type
MAX_UNAPPLIED_MESSAGES = 100  # per proxy; when there are more, the oldest are forgotten
FORGOTTEN_MESSAGE_COUNT = 50  # messages that are forgotten at once
NO_BASE = "0"  # in the nonce of a delta whose base is not a set of this store


class SessionListener(Protocol):
    """Is notified of what the requests of a proxy report."""

    def handle_applied(self, proxy: int, number: int) -> None:
        """Called when a proxy has applied an update message and all messages before it."""

    def handle_rejected(self, proxy: int, resource: Resource, error: str) -> None:
        """Called when a proxy has rejected a resource, which is not offered to it again."""

    def handle_acknowledged(self, proxy: int, resources: ResourceSet) -> None:
        """Called when a proxy has applied a set."""

    def record_known_version(self, proxy: int, kind: str, version: str, state: str) -> None:
        """Called when the known version of a proxy changes; `version` is empty if it is not certain."""


class _PendingMessage(NamedTuple):
    """An update message that is not known to be applied, and the wanted sets by type."""

    number: int
    wanted: dict[str, ResourceSet]


class DiscoverySession:
    """The discovery session of one proxy."""

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
            listener: is notified of what the proxy reports.
            references: returns the names that a resource refers to.
            exclude_from: returns a table's body with endpoints marked as draining.
            initial: by type, names and bodies of the resources that the proxy held when it joined.
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
        """The version trackers of the proxy, by type."""
        return self._held.trackers

    def states(self) -> dict[str, tuple[str, str, dict[str, str]]]:
        """Returns by type: the state, the version if it is certain, and the errors of rejected resources."""
        return {
            kind: (tracker.state.value, tracker.certain_version, dict(tracker.errors))
            for kind, tracker in self.trackers.items()
        }

    # Wanted resources.

    def want(self, number: int, sets: Mapping[str, ResourceSet], excluded: frozenset[str]) -> bool:
        """Sets the resources that the proxy is to run.

        Args:
            number: the number of the update message.
            sets: the sets by type; missing types are unchanged.
            excluded: endpoints that the proxy may not use.

        Returns:
            Whether the offers to the proxy have changed.
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
        """Returns the newest set that the proxy was offered; a later set must have a higher version."""
        return self._offers.newest(kind)

    def halt(self, resource: Resource) -> bool:
        """Replaces a version that is halted for all proxies by the one that the proxy ran before.

        Returns whether the offer has changed.
        """
        self._rejections.halt(resource)
        before = self._offers.current.get(resource.kind)
        self._offers.recompute()
        return self._offers.current.get(resource.kind) is not before

    # Requests and responses.

    def handle_request(self, request: ResourceRequest) -> ResourceResponse | None:
        """Processes a request. Returns the response, or None if the request has to wait for one."""
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
        """Returns the response to a waiting request; None if the proxy holds all that it is offered."""
        tracker = self.trackers[kind]
        offer = self._offers.current.get(kind)
        if offer is None or offer is tracker.known:
            return None
        held = self._held.held(kind)
        if offer.resources == held:
            return None
        if tracker.known is None and held and offer.bodies() == {n: each.body for n, each in held.items()}:
            return None  # the proxy joined with the same content, perhaps under another version
        if is_full:
            return ResourceResponse(offer, offer.version, None, None)
        base = tracker.delta_base
        known = base if isinstance(base, ResourceSet) else None
        base_version = known.version if known is not None else NO_BASE
        delta = self._store.delta(base, offer)
        return ResourceResponse(offer, f"{base_version}-{offer.version}", known, delta)

    def record_sent(self, kind: str, response: ResourceResponse) -> None:
        """Records a response that is about to be sent; must be called just before it is sent."""
        tracker = self.trackers[kind]
        tracker.record_sent(response.nonce, response.resource_set)
        self._report_version(tracker)

    def handle_connection_lost(self, kind: str) -> None:
        """Records that the connection was lost: responses in flight may or may not have arrived."""
        tracker = self.trackers[kind]
        if tracker.in_flight and not tracker.is_connection_lost:
            tracker.is_connection_lost = True
            self._report_version(tracker)

    def _raise_era(self, request: ResourceRequest) -> None:
        """Starts a new era if the proxy holds newer versions than this store makes.

        Offers stay newer than what the proxy holds, even if the controller has lost its state.
        """
        versions = [request.version, *(request.held_versions or {}).values()]
        newer_eras = [era for era in map(self._store.era_ahead, versions) if era is not None]
        if newer_eras:
            self._store.raise_era(max(newer_eras))
            self._offers.rebuild_for_new_era()
            if self._pending:
                self._pending = [_PendingMessage(self._pending[-1].number, dict(self._offers.wanted))]

    def _handle_first_request(self, tracker: VersionTracker, request: ResourceRequest) -> None:
        """Processes the versions that a proxy states on a new connection; deltas are based on them."""
        known = tracker.known
        if request.is_full:
            if known is not None and request.version != known.version:
                self._reset_known(tracker, {}, self._store.find(request.kind, request.version))
            return
        held = dict(request.held_versions or {})
        if known is None:
            tracker.reported = held
        elif known.versions() != held:
            # the proxy may have applied a response that was in flight when the connection was lost
            matching = [each for each in tracker.in_flight.values() if each.versions() == held]
            self._reset_known(tracker, held, matching[-1] if matching else None)

    def _reset_known(
        self, tracker: VersionTracker, reported: dict[str, str], known: ResourceSet | None
    ) -> None:
        """Records that the proxy holds something other than it was known to hold."""
        tracker.known = known
        tracker.reported = reported if known is None else {}
        self._held.initial.pop(tracker.kind, None)
        tracker.in_flight.clear()
        if known is not None:
            self._listener.handle_acknowledged(self.proxy, known)
        self._report_version(tracker)

    def _handle_reported_version(self, tracker: VersionTracker, version: str) -> None:
        """Uses the version that a request states, if the request has no nonce."""
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
        """Forgets that the proxy holds resources that it subscribes to again, so that they are sent again."""
        held = tracker.known.resources if tracker.known is not None else {}
        if tracker.in_flight or not any(name in held for name in names):
            return
        remaining = {name: resource for name, resource in held.items() if name not in names}
        tracker.reported = {name: resource.version for name, resource in remaining.items()}
        self._held.initial[tracker.kind] = self._store.assemble(tracker.kind, remaining)
        tracker.known = None
        self._report_version(tracker)

    # Reports.

    def _report_applied(self) -> None:
        """Reports the newest message whose resources are all known to be held."""
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
    """Returns the names of a request that states all of them; None, for `*` or no names, means all."""
    if not request.subscribe or ALL_NAMES in request.subscribe:
        return None
    return dict.fromkeys(request.subscribe)


def _changed_subscription(before: dict[str, None] | None, request: ResourceRequest) -> dict[str, None] | None:
    """Returns the names after a request that adds and removes some; None means all."""
    if before is None and ALL_NAMES not in request.unsubscribe:
        return None
    names = [*(before or {}), *request.subscribe]
    return {name: None for name in names if name not in request.unsubscribe}
