"""A proxy's claim: which one director rules it, under which term, and which orders it may apply.

The proxy alone decides.  Each time it joins a director it raises its term, keeps it on its own disk, and
says it in all that it publishes.  A director puts that term into the version of everything that it
orders.  An order takes effect only if it lies in the folder of the director that the proxy follows *now*
and carries the proxy's term of *now*; so whatever a director wrote, queued or renamed before, however
late it lands, is void.  No clock is compared with any other: a lease by time would need clocks that run
alike, and a director that stops between the look at its clock and the rename would break it all the same.
"""

from __future__ import annotations

from dataclasses import dataclass

FIELDS = 3


class VersionError(Exception):
    """A version that is none."""


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """Of an order: the proxy's term, how many directors started in that folder, and the message."""

    term: int
    epoch: int
    number: int

    def __str__(self) -> str:
        return f"{self.term}.{self.epoch}.{self.number}"


def read_version(text: str) -> Version:
    """`TERM.EPOCH.NUMBER`; raises VersionError."""
    parts = text.split(".")
    if len(parts) != FIELDS or not all(part.isascii() and part.isdigit() for part in parts) or len(text) > 60:
        raise VersionError(f"version {text[:60]!r} is no TERM.EPOCH.NUMBER")
    return Version(*(int(part) for part in parts))


APPLY, OLD, STALE, AHEAD = "apply", "old", "stale", "ahead"


def judge(term: int, applied: Version | None, version: Version, fenced: bool = True) -> str:
    """What a proxy does with an order of the director that it follows.

    STALE: of a term that is over.  AHEAD: of a term that the proxy never began; a folder was mixed up.
    OLD: applied already, or overtaken.  `fenced` False leaves the term unlooked at: to show what it is for.
    """
    if fenced and version.term < term:
        return STALE
    if fenced and version.term > term:
        return AHEAD
    if applied is not None and (version.epoch, version.number) <= (applied.epoch, applied.number):
        return OLD
    return APPLY


class Claim:
    """The proxy's side.  `term`: the last one that its disk holds."""

    def __init__(self, term: int = 0) -> None:
        self.term, self.director = term, ""
        self.applied: Version | None = None  # in this term

    def next_term(self) -> int:
        """To be put on disk before `join`: a term is never used twice."""
        return self.term + 1

    def join(self, director: str, term: int) -> None:
        if term <= self.term:
            raise ValueError(f"term {term} is not above {self.term}")
        self.term, self.director, self.applied = term, director, None

    def leave(self) -> None:
        self.director = ""

    def look(self, version: Version, fenced: bool = True) -> str:
        """What to do with an order; unfenced, as a plain reader would, whatever is new there is applied."""
        if not fenced:
            return OLD if version == self.applied else APPLY
        return judge(self.term, self.applied, version)

    def apply(self, version: Version) -> None:
        self.applied = version


def names_me(director: str, told: str, term: int, told_term: int) -> str:
    """What a proxy's file says of who rules it, as a director reads it: 'mine', 'older' or 'left'.

    A director rules a proxy while the newest file names it; one of an older term is a late copy, not news.
    """
    if told_term < term:
        return "older"
    return "mine" if told in ("", director) and told_term == term else "left"


def narrower(one: int, other: int) -> int:
    """Of two orders for further tries the one that allows less: 0 none, 1 after proof, 2 and 3 after any
    failure.
    """
    return min(one, other)


def safe_tries(semantics: str, tries: int) -> int:
    """What of an order for further tries may be published for a route.

    The published form knows neither groups nor windows of keyed calls, so these, like mutating ones, are only
    ever tried again after proof that the first try never ran.
    """
    return tries if semantics == "idempotent" else min(tries, 1)
