"""What one proxy is known to run of one type, or that it is not known.

A version is *known* when the proxy has said that it runs it and nothing newer is on its way.  From the moment
before an answer leaves until it is acknowledged or refused, the proxy may run either: it is unknown.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from .core import Part, Resource

UNKNOWN, ACKNOWLEDGED, SENT, REFUSED, LOST = "unknown", "acknowledged", "sent", "refused", "lost"
MOST_FLIGHTS = 8  # answers that were never answered; a proxy asks again after each


@dataclass(slots=True)
class Belief:
    kind: str
    known: Part | None = None
    flights: dict[str, Part] = field(default_factory=dict)  # by nonce
    told: dict[str, str] = field(
        default_factory=dict
    )  # versions that it came with, before it said any of ours
    refused: dict[str, Resource] = field(default_factory=dict)  # by name: not to be sent to it again
    errors: dict[str, str] = field(default_factory=dict)  # why, in its words
    cut: bool = False  # the connection ended with something on its way
    before: dict[str, Resource] = field(default_factory=dict)  # by name: what the one of now replaced

    @property
    def state(self) -> str:
        if self.flights:
            return LOST if self.cut else SENT
        if self.refused:
            return REFUSED
        return ACKNOWLEDGED if self.known is not None else UNKNOWN

    def runs(self) -> str:
        """The version that the proxy runs; '' if that is not certain."""
        return self.known.version if self.known is not None and not self.flights else ""

    def sent(self, nonce: str, part: Part) -> None:
        """An answer is about to leave."""
        self.flights.pop(nonce, None)
        self.flights[nonce] = part
        self.cut = False
        if len(self.flights) > MOST_FLIGHTS:
            del self.flights[next(iter(self.flights))]

    def acknowledged(self, nonce: str) -> Part | None:
        """The part that this proves to be applied; None if the nonce proves nothing new."""
        part = self.flights.get(nonce)
        if part is None or (self.known is not None and part.at < self.known.at):
            return None
        if self.known is not None:
            for name, row in self.known.rows.items():
                if part.rows.get(name, row) is not row:
                    self.before[name] = row
            for name in [name for name in self.before if name not in part.rows]:
                del self.before[name]
        self.known = part
        # an answer that left later may still be applied; one that left before it may not
        self.flights = {key: each for key, each in self.flights.items() if each.at > part.at}
        self.cut = self.cut and bool(self.flights)
        self.told = {}
        return part

    def refusal(self, nonce: str, error: str) -> tuple[Resource, ...] | None:
        """What was new in the answer that is refused; None if the nonce is of no answer on its way."""
        part = self.flights.pop(nonce, None)
        if part is None:
            return None
        if self.known is not None:
            held = self.known.rows
            new = tuple(row for name, row in part.rows.items() if held.get(name) is not row)
        else:
            new = tuple(row for name, row in part.rows.items() if self.told.get(name) != row.version)
        for row in new:
            self.errors[row.name] = error
        return new

    def holds(self, row: Resource) -> bool:
        """Whether this resource, as it is, is known to be held."""
        return self.known is not None and self.known.rows.get(row.name) is row

    def base(self) -> Part | dict[str, str]:
        """What a difference may be told against."""
        return self.known if self.known is not None else self.told
