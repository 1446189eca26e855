"""The only way out: messages leave the channel in turn, are judged, and go to where their proxy reads.

On the way a table that was stopped, or is still tried on a few, is replaced by the last that was good
everywhere (`versions/rollout.py`), and the guard judges the effect of what is left.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

import trio

from ..config.terms import Terms
from ..decisions.settings import DeploymentSettings
from ..records.writer import Records
from ..versions.core import Core, Part, Resource
from ..versions.rollout import GO, Content, Rollout, RolloutTerms, Unit
from .channel import UpdateChannel
from .proxy_session import ProxySession
from .proxy_state import ProxyStateBook, ProxyView, TableState, UpdateMessage
from .resource_renderer import ResourceRenderer
from .update_sinks import HttpUpdateSink
from .validation import HELD, SPLIT, ValidationContext, guard_terms, records_of

SECOND = 10_000
SLOW_US = 50_000  # of one check of the guard: longer is told of
RESEND = 2 * SECOND  # files that are not answered by then are put in place again
ROOM = 6  # what is sent again waits until this part of the queue at the most is full
MOST_STATES = 400  # of tables, that are kept to go back to


class PublisherListener(Protocol):
    """The service, as the publisher needs it."""

    def now(self) -> int: ...
    def report_condition(self, name: str, on: bool, text: str, **parts: Any) -> None: ...
    def is_in_service(self, host: str) -> bool: ...
    def handle_acknowledged(self, now: int, proxy: int, marker: int) -> None: ...
    async def post_event(self, event: Callable[[int], None]) -> None: ...
    def record_known_version(self, proxy: str, part: str, version: str) -> None: ...
    def record_sent(self, proxy: str, term: int, message: int) -> None: ...


class Publisher:
    """`joined`, `left`, `applied` and `refused` are called by the deciding task; `run` is a task."""

    def __init__(
        self,
        terms: Terms,
        settings: DeploymentSettings,
        listener: PublisherListener,
        records: Records,
        log: Any,
        core: Core,
        renderer: ResourceRenderer,
        epoch: int,
        book: ProxyStateBook,
    ) -> None:
        self._terms, self._settings, self._listener, self.records, self._log = (
            terms,
            settings,
            listener,
            records,
            log,
        )
        self.core, self.renderer, self._epoch, self._book = core, renderer, epoch, book
        self.channel = UpdateChannel(settings.channel)
        guard = terms.guard
        made = guard_terms(settings, guard.cold_part, guard.swing, guard.capacity_calls_per_s)
        self.validation = ValidationContext(settings, made, guard.mode == "shadow")
        self.guarded = guard.mode != "off"
        out = terms.rollout
        staged = RolloutTerms(
            out.mode,
            out.refuse_share,
            out.refuse_least,
            out.canary_share,
            round(out.settle_ms * 10),
            round(out.patience_ms * 10),
            out.worse_share,
        )
        self.rollout = Rollout(staged, self)
        self.sessions: dict[int, ProxySession] = {}
        self.validation_micros: deque[int] = deque(maxlen=10_000)
        self.woken = trio.Event()
        self._states: dict[Content, TableState] = {}  # of tables that may be gone back to
        self._rows: dict[tuple[Unit, Content], Resource] = {}  # that were refused
        self._again: dict[int, None] = {}  # proxies that are to be sent what they are to hold once more
        self._retry_at = 0
        self._open: dict[int, None] = {}  # readers with something unsent, held, or unanswered

    def now(self) -> int:
        return self._listener.now()

    # Who reads.

    def add_session(self, reader: ProxySession) -> None:
        self.sessions[reader.number] = reader

    def remove_session(self, proxy: int) -> None:
        reader = self.sessions.pop(proxy, None)
        if reader is not None:
            reader.sink.close()
        self.channel.drop_proxy(proxy)
        self.rollout.left(proxy)
        self._again.pop(proxy, None)
        self.update_validation(self.validation.remove_proxy, proxy)

    # What goes in.

    def enqueue(self, message: UpdateMessage) -> None:
        kept = self.channel.put(message)
        limit = self._settings.channel.queue_limit_entries
        self._listener.report_condition(
            "queue",
            not kept,
            "queue over its limit" if not kept else "queue within its limit",
            waiting=self.channel.waiting_entries,
            most=limit,
        )
        reader = self.sessions.get(message.proxy)
        self.records.note(
            message.ordered,
            "order",
            message=message.number,
            mark=message.mark,
            proxy=reader.name if reader else "",
            lines=message.lines,
        )

    def wake(self) -> None:
        self.woken.set()

    async def run(self) -> None:
        """Messages leave in turn; one whose swap fails is tried again until a later one holds it."""
        while True:
            now = self._listener.now()
            while (taken := self.channel.take(now)) is not None:
                message, kept = taken
                if not kept:
                    self._listener.report_condition(
                        "cap", True, "more messages to one proxy than allowed", proxy=message.proxy
                    )
                reader = self.sessions.get(message.proxy)
                if reader is not None:
                    reader.later, reader.newest = None, message  # a later message holds all of it
                    await self._go(now, reader, message)
                now = self._listener.now()
            if now >= self._retry_at:
                for reader in self._concerned():
                    if reader.unsent is not None:
                        await self._go(now, reader, reader.unsent)
            self._due_later(now)
            await self._look_for_answers(now)
            self.rollout.look(now)
            self._send_again(now)
            self.woken = trio.Event()
            with trio.move_on_after(max(self._wait(now), 0) / SECOND):
                await self.woken.wait()

    def _concerned(self) -> list[ProxySession]:
        """Those few with something open: a fleet that is well costs the loop nothing."""
        found = []
        for proxy in list(self._open):
            reader = self.sessions.get(proxy)
            if reader is None or (reader.unsent is None and reader.later is None and reader.resend is None):
                del self._open[proxy]
            else:
                found.append(reader)
        return found

    def _wait(self, now: int) -> float:
        due = self.channel.next_departure()
        waits: list[float] = [SECOND / 4] if self._again else [SECOND]
        waits += [due - now] if due is not None else []
        waits += [r.later[0] - now for r in self._concerned() if r.later is not None]
        waits += [self._retry_at - now for r in self._concerned() if r.unsent is not None][:1]
        return min(waits)

    async def _go(self, now: int, reader: ProxySession, message: UpdateMessage) -> None:
        chosen, contents = self._chosen(now, reader, message)
        allowed = self._guard(now, reader, chosen)
        if allowed is None or await self._swap(reader, allowed, contents):
            reader.unsent = None
        else:
            reader.unsent = message
            self._open[reader.number] = None
            self._retry_at = now + SECOND // 5

    def _due_later(self, now: int) -> None:
        """What the guard held until now goes through the channel once more, under numbers of its own."""
        for reader in self._concerned():
            if reader.later is not None and now >= reader.later[0]:
                message, reader.later = reader.later[1], None
                if not self.channel.has(reader.number):  # else what waits there holds all of it
                    self.enqueue(replace(message, number=self._book.next_number(), mark=-1, ordered=now))

    # Staged roll-out.

    def _chosen(
        self, now: int, reader: ProxySession, message: UpdateMessage
    ) -> tuple[UpdateMessage, tuple[tuple[Unit, Content], ...]]:
        """The message with tables that may go to this proxy now, and which contents these are."""
        view, contents = message.view, dict[Unit, Content]()
        bound: dict[int, TableState] | None = None
        for k, state in view.bound.items():
            unit: Unit = ("t", state.number)
            what, content = self.rollout.choose(now, reader.number, unit, state.serial)
            good = self._states.get(content) if what != GO and content is not None else None
            back = self._usable(good, state, view) if good is not None else None
            if back is None or content is None:
                self._keep(state)
                contents[unit] = state.serial
            else:
                bound = bound if bound is not None else dict(view.bound)
                bound[k], contents[unit] = back, content
        reader.replaced = bound is not None
        if bound is None:
            return message, tuple(contents.items())
        chosen = ProxyView(bound, view.excluded, view.levels, view.is_sent_away, view.serial)
        return replace(message, view=chosen), tuple(contents.items())

    def _keep(self, state: TableState) -> None:
        if state.serial not in self._states:
            self._states[state.serial] = state
            if len(self._states) > MOST_STATES:
                used = {c for track in self.rollout.tracks.values() for c in (*track.contents, track.good)}
                self._states = {key: each for key, each in self._states.items() if key in used}

    def _usable(self, good: TableState, new: TableState, view: ProxyView) -> TableState | None:
        """The good content without hosts that are no more; None if it leads to no open host."""
        fit = [h for h in good.lines if h in new.lines or self._listener.is_in_service(h)]
        if not any(self._listener.is_in_service(host) and host not in view.excluded for host in fit):
            return None  # the rescue is never kept back
        if len(fit) == len(good.lines) and good.levels == new.levels:
            return good
        made = TableState(good.number, {host: good.lines[host] for host in fit}, new.levels)
        made.shared = True
        return made

    def halted(self, unit: Unit, bad: Content, good: Content | None, why: str) -> None:
        now = self._listener.now()
        shown = str(unit)
        self._log.warning("roll-out stopped", unit=shown, content=bad, back_to=good, cause=why[:300])
        self.records.note(now, "halted", unit=shown, content=bad, good=good, why=why[:300])
        row = self._rows.get((unit, bad))
        moved = 0
        for reader in self.sessions.values():
            if row is not None:
                moved += isinstance(reader.sink, HttpUpdateSink) and reader.sink.ban(row)
            elif good is not None and (unit, bad) in next(reversed(reader.contents.values()), ()):
                self._again[reader.number] = None
                moved += 1
        self.records.note(now, "rollback", unit=shown, content=bad, readers=moved)
        self.wake()

    def released(self, unit: Unit) -> None:
        """Who was given something else meanwhile gets what was ordered."""
        self.records.note(self._listener.now(), "released", unit=str(unit))
        waiting = [reader.number for reader in self.sessions.values() if reader.replaced]
        self._again.update(dict.fromkeys(waiting))
        self.wake()

    def _send_again(self, now: int) -> None:
        """As the queue has room: what a proxy is to hold, by its newest message, as it may go out now."""
        for proxy in list(self._again):
            if self.channel.waiting_entries > self._settings.channel.queue_limit_entries / ROOM:
                return
            del self._again[proxy]
            reader = self.sessions.get(proxy)
            if reader is None or reader.newest is None or self.channel.has(proxy):
                continue
            bound = {state.number: len(state.lines) for state in reader.newest.view.bound.values()}
            lines = int(self._settings.channel.message_overhead_entries) + sum(bound.values())
            number = self._book.next_number()
            self.enqueue(replace(reader.newest, number=number, mark=-1, ordered=now, lines=lines))

    # The guard.

    def update_validation(self, what: Callable[..., None], *told: Any) -> None:
        """The guard's world is kept; if that breaks, what it says is worth nothing and it is off."""
        if self.guarded:
            try:
                what(*told)
            except Exception as fault:
                self._guard_broke(fault)

    def _guard_broke(self, fault: Exception) -> None:
        """Open: orders of the module have kept the rules without a guard; none at all would break them."""
        self.guarded = False
        self._listener.report_condition("no guard", True, "the guard broke and is off", cause=repr(fault))

    def _version(self, reader: ProxySession, message: UpdateMessage) -> tuple[int, int, int]:
        return reader.term, self._epoch, message.number

    def _guard(self, now: int, reader: ProxySession, message: UpdateMessage) -> UpdateMessage | None:
        """The message as it may go out now; None if it may not, or not yet."""
        if not self.guarded:
            return message
        began = time.perf_counter()
        version = self._version(reader, message)
        try:
            verdict, _ = self.validation.judge(now, message, version, self.channel.waiting_entries)
        except Exception as broken:
            self._guard_broke(broken)
            return message
        took = round((time.perf_counter() - began) * 1e6)
        self._listener.report_condition(
            "slow guard",
            took > SLOW_US,
            "a check of the guard took long" if took > SLOW_US else "checks of the guard are quick again",
            took_us=took,
        )
        if verdict.good and not verdict.rescue and not verdict.faults:
            self.validation_micros.append(took)
            return message
        self.records.note(
            now, "guard", message=message.number, proxy=reader.name, took_us=took, **records_of(verdict)
        )
        for fault in verdict.faults:
            self._listener.report_condition("guard", True, "a check of the guard broke", cause=fault)
        if verdict.good:
            return message
        why = verdict.findings[0].line()
        stopped = "held by the guard" if verdict.what in (HELD, SPLIT) else "refused by the guard"
        self._log.warning(stopped, proxy=reader.name, message=message.number, verdict=verdict.what, cause=why)
        if verdict.what in (HELD, SPLIT):
            until = verdict.until() or max((step.at for step in verdict.steps), default=now + SECOND)
            reader.later = (max(until, now + SECOND // 10), message)
            self._open[reader.number] = None
        return self.validation.first_step(message, verdict) if verdict.what == SPLIT else None

    # To where it is read.

    async def _swap(
        self, reader: ProxySession, message: UpdateMessage, contents: tuple[tuple[Unit, Content], ...]
    ) -> bool:
        """Puts a message in place.  True also if its proxy has left: it is nobody's any more."""
        view, outlet = message.view, reader.sink
        if view.is_sent_away:
            outlet.away(self.renderer.render_send_away(), message.number)
        place = outlet.prepare(
            message.number, self.renderer.render(view, reader.held), frozenset(view.excluded)
        )
        if not reader.is_http:
            self.record_known_version(reader, "group", "", "sent")
        try:
            # a disk may take its time: the loop does not wait for it
            swapped = await trio.to_thread.run_sync(place) if outlet.slow else place()
        except OSError as fault:
            self._listener.report_condition(
                "disk", True, "files cannot be swapped", proxy=reader.name, cause=str(fault)
            )
            return False
        self._listener.report_condition("disk", False, "files can be swapped again", proxy=reader.name)
        now = self._listener.now()
        self.records.note(
            now,
            "sent",
            message=message.number,
            proxy=reader.name,
            waiting=self.channel.waiting_entries,
            after=now - message.ordered,
            swapped=swapped,
        )
        proxy = reader.number
        if self.sessions.get(proxy) is not reader:  # it left, or came again, while the disk worked
            return True
        self.update_validation(self.validation.record_sent, now, message, self._version(reader, message))
        self._listener.record_sent(reader.name, reader.term, message.number)
        for unit, content in contents:
            self.rollout.offered(now, proxy, unit, content)
        reader.contents[message.number] = contents
        if len(reader.contents) > 200:
            del reader.contents[next(iter(reader.contents))]
        if swapped:
            reader.lies = message.number
            if reader.is_http:
                self.channel.hold(proxy, message.lines)
            elif reader.resend is None:
                reader.resend = (now + RESEND, RESEND)
                self._open[proxy] = None
        # where nothing that shows has changed, the answer to what lies there answers this too
        lies = reader.lies
        reader.marks.append((lies, message.mark, message.ordered))
        if not swapped and reader.applied >= lies:
            await self._listener.post_event(lambda now: self.handle_acknowledged(now, proxy, lies))
        return True

    def handle_delivered(self, proxy: int) -> None:
        """What waited for this proxy's call has left."""
        self.channel.release(proxy)

    async def _look_for_answers(self, now: int) -> None:
        """Files that nobody answered are put in place again: a late rename of another may lie over them."""
        for reader in self._concerned():
            if reader.resend is None or now < reader.resend[0]:
                continue
            if reader.applied >= reader.lies:
                reader.resend = None
                continue
            wait = reader.resend[1]
            reader.resend = (now + 2 * wait, min(2 * wait, 30 * SECOND))
            try:
                if await trio.to_thread.run_sync(reader.sink.again()):
                    self.records.note(now, "again", proxy=reader.name, message=reader.lies)
            except OSError:
                continue  # the disk's trouble is told where orders are swapped

    # What proxies say.

    def handle_acknowledged(self, now: int, proxy: int, number: int) -> None:
        """The newest mark that this proves to have been applied is answered."""
        reader = self.sessions.get(proxy)
        if reader is None:
            return
        reader.applied = max(reader.applied, number)
        if not reader.is_http and number >= reader.lies:
            self.record_known_version(
                reader, "group", f"{reader.term}.{self._epoch}.{number}", "acknowledged"
            )
        for each in [each for each in reader.contents if each <= number]:
            contents = reader.contents[each]
            if each != next(reversed(reader.contents)):
                del reader.contents[each]
            for unit, content in contents:
                self.rollout.took(now, proxy, unit, content)
        done = [row for row in reader.marks if row[0] <= number]
        if not done:
            return
        del reader.marks[: len(done)]
        self.update_validation(self.validation.record_acknowledged, proxy, number)
        _, mark, ordered = done[-1]
        self.records.note(now, "applied", message=number, proxy=reader.name, after=now - ordered)
        if mark >= 0:
            self._listener.handle_acknowledged(now, proxy, mark)

    def handle_group_rejected(self, now: int, proxy: int, kind: str, number: int, cause: str) -> None:
        """A group of files is refused whole: what lies there is not put in place again."""
        reader = self.sessions.get(proxy)
        if reader is None:
            return
        self._told(now, reader, kind, f"message {number}", cause)
        if number >= reader.lies:
            reader.resend = None
            self.record_known_version(reader, "group", "", "refused")
        if kind == "eds":
            for unit, content in reader.contents.get(number, ()):
                self.rollout.refused(now, proxy, unit, content, cause)

    def handle_resource_rejected(self, now: int, proxy: int, row: Resource, cause: str) -> None:
        """One resource is refused; the desk does not offer it to this proxy again."""
        reader = self.sessions.get(proxy)
        if reader is None:
            return
        self._told(now, reader, row.kind, f"{row.name} at {row.version}", cause)
        if row.kind == "eds":
            for unit, content in next(reversed(reader.contents.values()), ()):
                assert isinstance(unit, tuple)
                if self.renderer.table_name(unit[1]) == row.name:
                    self.rollout.refused(now, proxy, unit, content, cause)
            return
        key = (row.kind, row.name)
        self._rows[key, row.version] = row
        if len(self._rows) > 1000:
            del self._rows[next(iter(self._rows))]
        self.rollout.offered(now, proxy, key, row.version)
        self.rollout.refused(now, proxy, key, row.version, cause)

    def handle_part_acknowledged(self, now: int, proxy: int, part: Part) -> None:
        """A part was acknowledged at a desk."""
        if part.kind != "eds":
            for row in part.rows.values():
                self.rollout.offered(now, proxy, (row.kind, row.name), row.version)
                self.rollout.took(now, proxy, (row.kind, row.name), row.version)

    def _told(self, now: int, reader: ProxySession, kind: str, what: str, cause: str) -> None:
        self._log.warning("refused by a proxy", proxy=reader.name, form=kind, what=what, cause=cause[:300])
        self.records.note(now, "refused", proxy=reader.name, form=kind, what=what, cause=cause[:300])

    def record_known_version(self, reader: ProxySession, kind: str, version: str, state: str) -> None:
        self._listener.record_known_version(reader.name, kind, version)
        self.records.note(
            self._listener.now(),
            "belief",
            proxy=reader.name,
            term=reader.term,
            part=kind,
            version=version,
            state=state,
        )
