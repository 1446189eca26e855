"""What became of a call that must not have its effect twice: done, not done, or unknown; never guessed.

The rule maps what is known of its tries to one of the three.  A try is written down before it leaves, and
what became of it after; so whatever is missing after a crash is missing on the safe side: a try without an
end may have run.  No I/O and no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DONE, NOT_DONE, UNKNOWN = "done", "not done", "unknown"
IN_FLIGHT, ANSWERED, NOT_EXECUTED, FAILED = "out", "answered", "never_ran", "failed"  # of one try
RETRY, RETURN_RESPONSE, REPORT_UNKNOWN = "again", "tell", "hold"  # what to do about a repeat


@dataclass(slots=True)
class RequestRecord:
    """Of one call.  Times in tenths of a millisecond of one clock."""

    semantics: str = "mutating"  # or repeatable, keyed
    group: str = ""  # hosts that drop repeats among them know this name
    window: int = 0  # for how long
    first_out: int = -1  # when the first try left
    tries: dict[int, str] = field(default_factory=dict)
    groups: dict[int, str] = field(default_factory=dict)  # by try, where it went
    answer: bytes = b""  # of the try that was answered

    def start_attempt(self, number: int, at: int, group: str = "") -> None:
        """A try is about to leave."""
        if number not in self.tries:
            self.tries[number] = IN_FLIGHT
            self.groups[number] = group
            if self.first_out < 0:
                self.first_out = at

    def end_attempt(self, number: int, what: str, answer: bytes = b"") -> None:
        """What became of it; proof, once there, stands, and so does an answer."""
        if self.tries.get(number) in (IN_FLIGHT, FAILED):
            self.tries[number] = what
            if what == ANSWERED and not self.answer:
                self.answer = answer

    def state(self) -> str:
        if any(what == ANSWERED for what in self.tries.values()):
            return DONE
        if all(what == NOT_EXECUTED for what in self.tries.values()):
            return NOT_DONE  # also where no try ever left
        return UNKNOWN

    def retry_decision(self, now: int, group: str = "") -> str:
        """Whether the call may be tried once more, in this group of hosts: AGAIN; if not, TELL its answer or
        HOLD it as unknown.
        """
        state = self.state()
        if state == DONE:
            return RETURN_RESPONSE
        if state == NOT_DONE or self.semantics == "repeatable":
            return RETRY
        if self.semantics == "keyed":
            doubtful = [self.groups[k] for k, what in self.tries.items() if what in (IN_FLIGHT, FAILED)]
            within = now - self.first_out <= self.window
            if within and group and all(each == group for each in doubtful):
                return RETRY
        return REPORT_UNKNOWN


def after_recovery(found: RequestRecord | None, has_lost_entries: bool) -> RequestRecord:
    """What is known of a call after a recovery.  Where records are missing, a try more may have left than is
    written; what is done stays done.
    """
    made = found if found is not None else RequestRecord()
    if has_lost_entries:
        made.start_attempt(1 + max(made.tries, default=-1), 0)
    return made
