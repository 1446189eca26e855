"""The outcome of a request that must not take effect twice: done, not done, or unknown.

An outcome is derived from the recorded attempts of the request. An attempt is recorded before it is sent, and
its result afterwards. So a record that is missing after a crash errs on the safe side: an attempt without a
result may have been executed. This module does no I/O and reads no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DONE, NOT_DONE, UNKNOWN = "done", "not done", "unknown"  # outcomes of a request
IN_FLIGHT, ANSWERED, NOT_EXECUTED, FAILED = "out", "answered", "never_ran", "failed"  # states of an attempt
RETRY, RETURN_RESPONSE, REPORT_UNKNOWN = "again", "tell", "hold"  # decisions on a repeated request


@dataclass(slots=True)
class RequestRecord:
    """What is known of one request. Times are in ticks of one clock.

    Attributes:
        semantics: mutating, repeatable or keyed.
        group: the endpoints that deduplicate the request among themselves.
        window: for how many ticks they do.
        first_out: when the first attempt was sent; -1: none was.
        tries: the state of each attempt by its number.
        groups: the endpoint group of each attempt by its number.
        answer: the response of the attempt that was answered.
    """

    semantics: str = "mutating"
    group: str = ""
    window: int = 0
    first_out: int = -1
    tries: dict[int, str] = field(default_factory=dict)
    groups: dict[int, str] = field(default_factory=dict)
    answer: bytes = b""

    def start_attempt(self, number: int, now: int, group: str = "") -> None:
        """Records an attempt that is about to be sent."""
        if number not in self.tries:
            self.tries[number] = IN_FLIGHT
            self.groups[number] = group
            if self.first_out < 0:
                self.first_out = now

    def end_attempt(self, number: int, state: str, response: bytes = b"") -> None:
        """Records the result of an attempt. A conclusive result is never replaced, nor is a response."""
        if self.tries.get(number) in (IN_FLIGHT, FAILED):
            self.tries[number] = state
            if state == ANSWERED and not self.answer:
                self.answer = response

    def state(self) -> str:
        """Returns the outcome of the request."""
        if any(state == ANSWERED for state in self.tries.values()):
            return DONE
        if all(state == NOT_EXECUTED for state in self.tries.values()):
            return NOT_DONE  # also if no attempt was sent
        return UNKNOWN

    def retry_decision(self, now: int, group: str = "") -> str:
        """Returns RETRY if one more attempt in this endpoint group is safe.

        Otherwise RETURN_RESPONSE if the request is done, or REPORT_UNKNOWN.
        """
        state = self.state()
        if state == DONE:
            return RETURN_RESPONSE
        if state == NOT_DONE or self.semantics == "repeatable":
            return RETRY
        if self.semantics == "keyed":
            uncertain_groups = [
                self.groups[number] for number, state in self.tries.items() if state in (IN_FLIGHT, FAILED)
            ]
            within_window = now - self.first_out <= self.window
            if within_window and group and all(other == group for other in uncertain_groups):
                return RETRY
        return REPORT_UNKNOWN


def after_recovery(record: RequestRecord | None, has_lost_entries: bool) -> RequestRecord:
    """Returns what is known of a request after a recovery.

    If entries were lost, one more attempt than recorded may have been sent. A done request stays done.
    """
    recovered = record if record is not None else RequestRecord()
    if has_lost_entries:
        recovered.start_attempt(1 + max(recovered.tries, default=-1), 0)
    return recovered
