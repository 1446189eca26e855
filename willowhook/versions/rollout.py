"""Whether a content may go out to more proxies: it stops where many refuse it, and the next one goes to few
first.

A *unit* is what has one content at a time (a table, the routes); a *content* is any version of it.  As long
as nothing is refused a unit is trusted and every content goes out as the channel brings it: a table that is
tuned twice a second, or that takes a dead host out, must not wait for anybody.  When a content is refused
by more than the stated share it is stopped, those who run it go back to the last that was good everywhere,
and the unit is doubted: what comes next goes to a few (the canaries, among them some who refused) until
they have taken it and their calls have gone no worse than others'.  Staged from the start on, if the
configuration says so.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from ..decisions.windows import WindowedSums
from ..ticks import TICKS_PER_SECOND

KEPT = 16  # contents of a unit that are remembered
GO, BACK = "go", "back"
Unit = Hashable
Content = int | str


@dataclass(frozen=True, slots=True)
class RolloutTerms:
    mode: str = "after_refusal"  # or always, never
    refuse_share: float = 0.03  # of those who answered; more stops a content
    refuse_least: int = 2
    canary_share: float = 0.05
    settle: int = 2 * TICKS_PER_SECOND  # canaries run a content for so long before the others get it
    patience: int = 15 * TICKS_PER_SECOND  # with no answers from canaries the others get it then
    worse: float = 0.05  # how much larger a share of calls may fail at canaries than at others
    least_tries: int = 20  # by fewer, calls tell nothing


class Host(Protocol):
    def halted(self, unit: Unit, bad: Content, good: Content | None, why: str) -> None:
        """Who runs `bad` is to go back to `good`."""

    def released(self, unit: Unit) -> None:
        """The newest content may go to all."""


@dataclass(slots=True)
class Answers:
    """Of one content."""

    order: int
    offered: dict[int, int] = field(default_factory=dict)  # by proxy, when
    took: dict[int, int] = field(default_factory=dict)
    refused: dict[int, str] = field(default_factory=dict)  # why
    open: dict[int, None] = field(default_factory=dict)  # offered, not answered, and nothing later offered
    runs: int = 0  # proxies to which it is what was offered last


@dataclass(slots=True)
class Track:
    """Of one unit."""

    contents: dict[Content, Answers] = field(default_factory=dict)
    users: dict[int, Content] = field(default_factory=dict)  # by proxy the content offered last
    good: Content | None = None
    banned: dict[Content, str] = field(default_factory=dict)
    doubted: bool = False
    canaries: dict[int, None] = field(default_factory=dict)
    since: int = 0  # of this stage
    answered_at: int = -1  # by a canary, first
    stages: int = 0
    released: Content | None = None  # in mode always: what all may have


class Rollout:
    def __init__(self, terms: RolloutTerms, host: Host) -> None:
        self._terms, self._host = terms, host
        self.tracks: dict[Unit, Track] = {}
        self._met: dict[int, WindowedSums] = {}  # by proxy: tries, errors
        self._count = 0

    # What may go out.

    def choose(self, now: int, proxy: int, unit: Unit, content: Content) -> tuple[str, Content | None]:
        """`(GO, content)`, or `(BACK, another)` that is to go in its place: None if there is none."""
        if self._terms.mode == "never":
            return GO, content
        track = self.tracks.get(unit)
        if track is None:
            track = self.tracks[unit] = Track()
        if content in track.banned:
            return BACK, track.good
        new = track.good is not None and content not in (track.good, track.released)
        if self._terms.mode == "always" and new and not track.doubted:
            self._begin(now, track, unit)
        if not track.doubted or track.good is None or content == track.good:
            return GO, content
        if proxy in track.canaries:
            return GO, content
        return BACK, track.good

    def _begin(self, now: int, track: Track, unit: Unit) -> None:
        """A stage: few proxies get what is new, some of those who refused among them."""
        track.doubted, track.since, track.answered_at = True, now, -1
        track.stages += 1
        users = list(track.users)
        count = max(1, math.ceil(self._terms.canary_share * len(users)))
        by_lot = sorted(users, key=lambda proxy: xxhash.xxh64_intdigest(f"{unit} {track.stages} {proxy}"))
        refusers = [proxy for answers in track.contents.values() for proxy in answers.refused]
        chosen = [*dict.fromkeys(refusers[-2:]), *by_lot]
        track.canaries = dict.fromkeys(chosen[: max(count, min(len(refusers), 2) + 1)])

    # What happens.

    def offered(self, now: int, proxy: int, unit: Unit, content: Content) -> None:
        """It goes out to this proxy."""
        track = self.tracks.get(unit)
        if track is None:
            track = self.tracks[unit] = Track()
        answers = track.contents.get(content)
        if answers is None:
            self._count += 1
            answers = track.contents[content] = Answers(self._count)
            self._forget(track)
        last = track.users.get(proxy)
        if last != content:
            before = track.contents.get(last) if last is not None else None
            if before is not None:
                before.runs -= 1
                before.open.pop(proxy, None)
                self._look_good(track, last, before)
            answers.runs += 1
        if proxy not in answers.took and proxy not in answers.refused:
            answers.open[proxy] = None
        answers.offered[proxy] = now
        track.users[proxy] = content

    def took(self, now: int, proxy: int, unit: Unit, content: Content) -> None:
        track = self.tracks.get(unit)
        answers = track.contents.get(content) if track is not None else None
        if track is None or answers is None or content in track.banned:
            return
        answers.took[proxy] = now
        answers.refused.pop(proxy, None)
        if track.doubted and proxy in track.canaries and track.answered_at < 0 and content != track.good:
            track.answered_at = now
        answers.open.pop(proxy, None)
        self._look_good(track, content, answers)

    def _look_good(self, track: Track, content: Content | None, answers: Answers) -> None:
        """It is good everywhere if all to whom it went took it, but for a few, and all have got so far."""
        newest = track.contents.get(track.good) if track.good is not None else None
        if content is None or content in track.banned or answers.open or not answers.took:
            return
        if newest is not None and newest.order >= answers.order:
            return
        behind = any(each.runs > 0 and each.order < answers.order for each in track.contents.values())
        if not behind and not self._too_many(answers):
            track.good = content

    def _too_many(self, answers: Answers) -> bool:
        count, terms = len(answers.refused), self._terms
        asked = count + len(answers.took)
        return count >= terms.refuse_least and count > terms.refuse_share * asked

    def refused(self, now: int, proxy: int, unit: Unit, content: Content, error: str) -> None:
        track = self.tracks.get(unit)
        answers = track.contents.get(content) if track is not None else None
        if track is None or answers is None:
            return
        answers.refused[proxy] = error
        answers.took.pop(proxy, None)
        answers.open.pop(proxy, None)
        if content in track.banned or self._terms.mode == "never":
            return
        if track.doubted and proxy in track.canaries:
            self._halt(now, unit, track, content, f"a canary refused it: {error}")
        elif self._too_many(answers):
            asked = len(answers.refused) + len(answers.took)
            self._halt(now, unit, track, content, f"{len(answers.refused)} of {asked} refused it: {error}")

    def _halt(self, now: int, unit: Unit, track: Track, content: Content, why: str) -> None:
        track.banned[content] = why
        if len(track.banned) > KEPT:
            del track.banned[next(iter(track.banned))]
        if track.good == content:
            track.good = None
        self._begin(now, track, unit)
        self._host.halted(unit, content, track.good, why)

    def met(self, now: int, proxy: int, tries: int, errors: int) -> None:
        """Calls of this proxy, by its sums."""
        ring = self._met.get(proxy)
        if ring is None:
            ring = self._met[proxy] = WindowedSums(TICKS_PER_SECOND, 10, 2)
        ring.add(now, tries, errors)

    def left(self, proxy: int) -> None:
        self._met.pop(proxy, None)
        for track in self.tracks.values():
            last = track.users.pop(proxy, None)
            if last in track.contents:
                track.contents[last].runs -= 1
            track.canaries.pop(proxy, None)
            for answers in track.contents.values():
                for book in (answers.offered, answers.took, answers.open):
                    book.pop(proxy, None)

    def look(self, now: int) -> None:
        """Whether canaries have shown enough; to be called some times a second."""
        for unit, track in list(self.tracks.items()):
            if not track.doubted:
                continue
            if track.answered_at < 0:
                if now - track.since >= self._terms.patience or not track.canaries:
                    self._release(unit, track)  # nobody answers: the way of before staged roll-out
                continue
            if now - track.answered_at < self._terms.settle:
                continue
            worse = self._worse(now, track)
            newest = self._newest(track)
            if worse and newest is not None and newest != track.good:
                self._halt(now, unit, track, newest, worse)
            else:
                self._release(unit, track)

    def _release(self, unit: Unit, track: Track) -> None:
        track.doubted, track.canaries = False, {}
        track.released = self._newest(track)
        self._host.released(unit)

    @staticmethod
    def _newest(track: Track) -> Content | None:
        rows = [(a.order, content) for content, a in track.contents.items() if content not in track.banned]
        return max(rows, key=lambda row: row[0])[1] if rows else None

    def _worse(self, now: int, track: Track) -> str:
        """How much worse calls go at canaries than at others, if they do."""
        sums = {True: [0.0, 0.0], False: [0.0, 0.0]}
        span = max(1, min(10, self._terms.settle // TICKS_PER_SECOND))
        for proxy in track.users:
            ring = self._met.get(proxy)
            if ring is not None:
                tries, errors = ring.total(now, span)
                sums[proxy in track.canaries][0] += tries
                sums[proxy in track.canaries][1] += errors
        (tries, errors), (rest, rest_errors) = sums[True], sums[False]
        if tries < self._terms.least_tries or rest < self._terms.least_tries:
            return ""
        share, usual = errors / tries, rest_errors / rest
        if share <= usual + self._terms.worse:
            return ""
        return f"{share:.1%} of {tries:.0f} tries failed at canaries, {usual:.1%} of {rest:.0f} elsewhere"

    @staticmethod
    def _forget(track: Track) -> None:
        """Contents of long ago; never the good one, nor what somebody runs."""
        if len(track.contents) <= KEPT:
            return
        for content, answers in list(track.contents.items()):
            if len(track.contents) <= KEPT:
                return
            if content != track.good and not answers.runs and content not in track.banned:
                del track.contents[content]
