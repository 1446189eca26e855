"""The resources that one proxy rejected, or that were halted for all proxies, and their replacements.

A resource that a proxy rejected is not offered to it again. Resources that were rejected together become
suspects, and each is offered alone to find the invalid one.
"""

from __future__ import annotations

from collections.abc import Mapping

from .held_resources import HeldResources
from .resources import KINDS, ROUTES, Resource, ResourceSet, ResourceStore


class Rejections:
    """The rejections of one proxy.

    Attributes:
        suspects: by type and name, resources that were rejected together with others.
        retained: by type and name, resources whose removal the proxy rejected.
    """

    def __init__(self, store: ResourceStore, held: HeldResources) -> None:
        """Creates the state of a proxy without rejections."""
        self._store = store
        self._held = held
        self.suspects: dict[str, dict[str, Resource]] = {kind: {} for kind in KINDS}
        self.retained: dict[str, dict[str, Resource]] = {kind: {} for kind in KINDS}
        self._halted: dict[tuple[str, str], Resource] = {}

    def halt(self, resource: Resource) -> None:
        """Records that this version must not be offered, as it is halted for all proxies."""
        self._halted[resource.kind, resource.name] = resource

    def forget_outdated(self, kind: str, wanted: ResourceSet) -> None:
        """Forgets rejections of resources that are now wanted in another version, or not at all."""
        tracker = self._held.trackers[kind]
        resources = wanted.resources
        for name, resource in list(tracker.rejected.items()):
            if resources.get(name) is not resource:
                del tracker.rejected[name]
                tracker.errors.pop(name, None)
        for name in [name for name in self.retained[kind] if name in resources]:
            del self.retained[kind][name]
        for name, resource in list(self.suspects[kind].items()):
            if resources.get(name) is not resource:
                del self.suspects[kind][name]
        for key, resource in list(self._halted.items()):
            if key[0] == kind and resources.get(key[1]) is not resource:
                del self._halted[key]

    def record(
        self, kind: str, nonce: str, error: str, offered: Mapping[str, Resource]
    ) -> list[Resource] | None:
        """Records that a proxy rejected a response.

        Args:
            kind: the resource type.
            nonce: the nonce of the response.
            error: the error message of the proxy.
            offered: the resources that the proxy is offered now, by name.

        Returns:
            The resources that are known to be rejected; None if the nonce matches no response in flight.
        """
        tracker = self._held.trackers[kind]
        new = tracker.record_rejected(nonce, error)
        if new is None:
            return None
        held = self._held.held(kind)
        if tracker.known is None:
            # content that the proxy joined with is not new to it, even under another version
            new = tuple(each for each in new if each.name not in held or held[each.name].body != each.body)
        if not new:
            # the response only removed resources: the proxy keeps those whose removal it rejected
            retained = {name: each for name, each in held.items() if name not in offered}
            self.retained[kind].update(retained)
            return list(retained.values())
        if len(new) > 1:
            self.suspects[kind].update({each.name: each for each in new})
            return []
        tracker.rejected[new[0].name] = new[0]
        self.suspects[kind].pop(new[0].name, None)
        return [new[0]]

    def clear_suspects(self, kind: str, applied: ResourceSet) -> None:
        """Clears the suspects that a proxy has applied."""
        suspects = self.suspects[kind]
        for name in [name for name, each in suspects.items() if applied.resources.get(name) is each]:
            del suspects[name]

    def replace(self, kind: str, resources: Mapping[str, Resource]) -> dict[str, Resource]:
        """Returns resources, with rejected or halted ones replaced by those that the proxy holds."""
        held = self._held.held(kind)
        if self.suspects[kind]:
            # suspects are offered one at a time, together with nothing else that is new
            name, suspect = next(iter(self.suspects[kind].items()))
            return {other: each for other, each in held.items() if other != name} | {name: suspect}
        replaced: dict[str, Resource] = {}
        for name, resource in resources.items():
            chosen = self._choose(kind, name, resource)
            if chosen is not None:
                replaced[name] = chosen
        retained = self.retained[kind].items()
        return replaced | {name: held.get(name, each) for name, each in retained if name not in replaced}

    def _choose(self, kind: str, name: str, resource: Resource) -> Resource | None:
        if self._held.trackers[kind].rejected.get(name) is resource:
            return self._held.held(kind).get(name)
        if self._halted.get((kind, name)) is resource:
            return self._previous_version(kind, name, resource)
        return resource

    def _previous_version(self, kind: str, name: str, halted: Resource) -> Resource | None:
        """Returns the replacement of a halted version: the one before it, or itself if there is no other."""
        tracker = self._held.trackers[kind]
        held = tracker.known.resources.get(name) if tracker.known is not None else None
        if held is not halted:
            return held
        previous = tracker.previous.get(name)
        if previous is None or (kind == ROUTES and not self._held.are_references_held(previous)):
            return held
        return self._store.resource(kind, name, previous.body, halted)
