"""Staged rollout: a content that too many proxies reject is halted, and the next one goes to canaries first.

While nothing is rejected, every content is sent without delay: a table whose weights change twice a second,
or that excludes a dead endpoint, must not wait. When more than a configured fraction of the proxies reject a
content, it is halted, the proxies that run it are rolled back to the last good content, which all but a
permitted few of the proxies applied, and the unit becomes staged: the next content goes to canaries first,
some of which rejected before. The others get it once the canaries have applied it and their requests fail no
more often than those of other proxies. The configuration may also require every content to be staged.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import xxhash

from ..decisions.windows import WindowedSums
from ..ticks import TICKS_PER_SECOND
from .rollout_track import Content, ContentState, Unit, UnitTrack

MAX_REJECTING_CANARIES = 2  # canaries that are chosen because they rejected a content
REQUEST_WINDOW_SECONDS = 10  # for which the counts of requests are kept


class RolloutMode(StrEnum):
    """When contents are staged. The values are those of the configuration."""

    AFTER_REJECTION = "after_refusal"
    ALWAYS = "always"
    NEVER = "never"


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """The limits of a rollout.

    Attributes:
        mode: when contents are staged.
        max_rejected_fraction: the fraction of the answering proxies above which rejections halt a content.
        min_rejections: the number of rejections below which a content is not halted; one by a canary always
            halts it.
        canary_fraction: the fraction of the proxies of a unit that are canaries.
        settle_ticks: the time for which canaries run a content before the others get it.
        canary_timeout_ticks: the time without an acknowledgement by a canary after which the others get it.
        max_failure_increase: by how much the failed fraction of attempts may be larger at canaries.
        min_attempts: the number of attempts below which failures are not compared.
    """

    mode: RolloutMode = RolloutMode.AFTER_REJECTION
    max_rejected_fraction: float = 0.03
    min_rejections: int = 2
    canary_fraction: float = 0.05
    settle_ticks: int = 2 * TICKS_PER_SECOND
    canary_timeout_ticks: int = 15 * TICKS_PER_SECOND
    max_failure_increase: float = 0.05
    min_attempts: int = 20


class RolloutListener(Protocol):
    """Carries out the decisions of a rollout."""

    def handle_halted(self, unit: Unit, bad: Content, good: Content | None, cause: str) -> None:
        """Rolls back the proxies that run `bad`; they get `good`, if there is such a content."""

    def handle_released(self, unit: Unit) -> None:
        """Sends the newest content to all proxies."""


@dataclass(frozen=True, slots=True)
class _Attempts:
    """Attempts of a group of proxies within a window, and how many of them failed."""

    count: float
    failures: float


class Rollout:
    """Decides which content of a unit each proxy may be sent.

    Attributes:
        tracks: the state of each unit.
    """

    def __init__(self, settings: RolloutSettings, listener: RolloutListener) -> None:
        """`listener` is called from within the `record_` methods and `evaluate`."""
        self.tracks: dict[Unit, UnitTrack] = {}
        self._settings = settings
        self._listener = listener
        self._requests: dict[int, WindowedSums] = {}  # by proxy: attempts, failures
        self._content_count = 0

    def choose(self, now: int, proxy: int, unit: Unit, content: Content) -> Content | None:
        """Returns the content that may be sent to a proxy when `content` is requested for it.

        Usually that is `content` itself. None if there is none that may be sent.
        """
        settings = self._settings
        if settings.mode is RolloutMode.NEVER:
            return content
        track = self._track(unit)
        if content in track.halted:
            return track.good
        is_new = track.good is not None and content not in (track.good, track.released)
        if settings.mode is RolloutMode.ALWAYS and is_new and not track.is_staged:
            self._begin_stage(now, track, unit)
        if not track.is_staged or track.good is None or content == track.good:
            return content
        return content if proxy in track.canaries else track.good

    # Events.

    def record_offered(self, now: int, proxy: int, unit: Unit, content: Content) -> None:
        """Records that a content is sent to a proxy."""
        track = self._track(unit)
        state = track.contents.get(content)
        if state is None:
            self._content_count += 1
            state = track.add_content(content, self._content_count)
        last = track.current.get(proxy)
        if last != content:
            before = track.leave_current(proxy)
            if before is not None:
                self._update_good(track, last, before)
            state.current_count += 1
        if proxy not in state.acknowledged and proxy not in state.rejected:
            state.awaiting.add(proxy)
        track.current[proxy] = content

    def record_acknowledged(self, now: int, proxy: int, unit: Unit, content: Content) -> None:
        """Records that a proxy has applied a content."""
        track = self.tracks.get(unit)
        state = track.contents.get(content) if track is not None else None
        if track is None or state is None or content in track.halted:
            return
        state.acknowledged.add(proxy)
        state.rejected.pop(proxy, None)
        is_canary = track.is_staged and proxy in track.canaries
        if is_canary and track.canary_answered_at is None and content != track.good:
            track.canary_answered_at = now
        state.awaiting.discard(proxy)
        self._update_good(track, content, state)

    def record_rejected(self, now: int, proxy: int, unit: Unit, content: Content, cause: str) -> None:
        """Records that a proxy has rejected a content; may halt the content."""
        track = self.tracks.get(unit)
        state = track.contents.get(content) if track is not None else None
        if track is None or state is None:
            return
        state.rejected[proxy] = cause
        state.acknowledged.discard(proxy)
        state.awaiting.discard(proxy)
        if content in track.halted or self._settings.mode is RolloutMode.NEVER:
            return
        if track.is_staged and proxy in track.canaries:
            self._halt(now, unit, track, content, f"a canary rejected it: {cause}")
        elif self._has_too_many_rejections(state):
            counts = f"{len(state.rejected)} of {state.answer_count}"
            self._halt(now, unit, track, content, f"{counts} rejected it: {cause}")

    def record_requests(self, now: int, proxy: int, attempts: int, failures: int) -> None:
        """Adds the attempts and failures of a proxy since its last report."""
        request_sums = self._requests.get(proxy)
        if request_sums is None:
            request_sums = self._requests[proxy] = WindowedSums(TICKS_PER_SECOND, REQUEST_WINDOW_SECONDS, 2)
        request_sums.add(now, attempts, failures)

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        self._requests.pop(proxy, None)
        for track in self.tracks.values():
            track.remove_proxy(proxy)

    # Stages.

    def evaluate(self, now: int) -> None:
        """Ends stages whose canaries have been observed for long enough; call it several times per second."""
        for unit, track in list(self.tracks.items()):
            if track.is_staged:
                self._evaluate_stage(now, unit, track)

    def _evaluate_stage(self, now: int, unit: Unit, track: UnitTrack) -> None:
        if track.canary_answered_at is None:
            # canaries that do not respond must not block the rollout to all others
            waited = now - track.stage_began_at
            if waited >= self._settings.canary_timeout_ticks or not track.canaries:
                self._release(unit, track)
            return
        if now - track.canary_answered_at < self._settings.settle_ticks:
            return
        cause = self._compare_failures(now, track)
        newest = track.newest
        if cause and newest is not None and newest != track.good:
            self._halt(now, unit, track, newest, cause)
        else:
            self._release(unit, track)

    def _begin_stage(self, now: int, track: UnitTrack, unit: Unit) -> None:
        track.is_staged = True
        track.stage_began_at = now
        track.canary_answered_at = None
        track.stage_count += 1
        track.canaries = self._choose_canaries(track, unit)

    def _choose_canaries(self, track: UnitTrack, unit: Unit) -> dict[int, None]:
        """Returns proxies that rejected a content, then others in an order that differs with each stage."""
        proxies = list(track.current)
        count = max(1, math.ceil(self._settings.canary_fraction * len(proxies)))
        shuffled = sorted(
            proxies, key=lambda proxy: xxhash.xxh64_intdigest(f"{unit} {track.stage_count} {proxy}")
        )
        rejecting = track.rejecting_proxies()
        chosen = [*dict.fromkeys(rejecting[-MAX_REJECTING_CANARIES:]), *shuffled]
        count = max(count, min(len(rejecting), MAX_REJECTING_CANARIES) + 1)
        return dict.fromkeys(chosen[:count])

    def _halt(self, now: int, unit: Unit, track: UnitTrack, content: Content, cause: str) -> None:
        track.halt(content, cause)
        self._begin_stage(now, track, unit)
        self._listener.handle_halted(unit, content, track.good, cause)

    def _release(self, unit: Unit, track: UnitTrack) -> None:
        track.is_staged = False
        track.canaries = {}
        track.released = track.newest
        self._listener.handle_released(unit)

    # Evaluation.

    def _track(self, unit: Unit) -> UnitTrack:
        track = self.tracks.get(unit)
        if track is None:
            track = self.tracks[unit] = UnitTrack()
        return track

    def _update_good(self, track: UnitTrack, content: Content | None, state: ContentState) -> None:
        """Marks a content as good if all but a few proxies applied it and none is left on an older one."""
        if content is None or content in track.halted or state.awaiting or not state.acknowledged:
            return
        good = track.contents.get(track.good) if track.good is not None else None
        if good is not None and good.order >= state.order:
            return
        is_behind = any(
            other.current_count > 0 and other.order < state.order for other in track.contents.values()
        )
        if not is_behind and not self._has_too_many_rejections(state):
            track.good = content

    def _has_too_many_rejections(self, state: ContentState) -> bool:
        count = len(state.rejected)
        limit = self._settings.max_rejected_fraction * state.answer_count
        return count >= self._settings.min_rejections and count > limit

    def _compare_failures(self, now: int, track: UnitTrack) -> str:
        """Describes how many more attempts fail at canaries than at others; empty if within the limit."""
        canaries = self._attempts(now, [proxy for proxy in track.current if proxy in track.canaries])
        others = self._attempts(now, [proxy for proxy in track.current if proxy not in track.canaries])
        if min(canaries.count, others.count) < self._settings.min_attempts:
            return ""
        canary_fraction = canaries.failures / canaries.count
        other_fraction = others.failures / others.count
        if canary_fraction <= other_fraction + self._settings.max_failure_increase:
            return ""
        return (
            f"{canary_fraction:.1%} of {canaries.count:.0f} attempts failed at canaries,"
            f" {other_fraction:.1%} of {others.count:.0f} elsewhere"
        )

    def _attempts(self, now: int, proxies: list[int]) -> _Attempts:
        """Returns the attempts of these proxies while canaries ran the content, within the kept window."""
        seconds = max(1, min(REQUEST_WINDOW_SECONDS, self._settings.settle_ticks // TICKS_PER_SECOND))
        count = 0.0
        failures = 0.0
        for proxy in proxies:
            request_sums = self._requests.get(proxy)
            if request_sums is not None:
                attempted, failed = request_sums.total(now, seconds)
                count += attempted
                failures += failed
        return _Attempts(count, failures)
