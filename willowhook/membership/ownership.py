"""Which one controller owns a proxy, by fencing terms, and which updates the proxy may apply.

The proxy alone decides. Each time it joins a controller it increases its term, stores it on its own disk, and
states it in everything that it publishes. A controller puts that term into the version of every update. An
update takes effect only if it is in the folder of the controller that the proxy follows *now* and carries the
*current* term of the proxy. So whatever a controller wrote, queued or renamed before has no effect, however
late it arrives.

No clocks are compared. A lease based on time would need clocks that run at the same rate, and a controller
that pauses between the check of its lease and the rename would violate it all the same.
"""

from __future__ import annotations

from enum import Enum

from .version import Version


class UpdateVerdict(Enum):
    """What a proxy does with an update of the controller that it follows."""

    APPLY = "apply"
    OLD = "old"  # already applied, or superseded by a newer one
    STALE = "stale"  # of an earlier term
    AHEAD = "ahead"  # of a term that the proxy never started: folders were mixed up


class OwnershipClaim(Enum):
    """What a proxy's file states about its owner, as a controller reads it."""

    OWNED = "owned"
    OUTDATED = "outdated"  # a late copy from an earlier term; ignored
    RELEASED = "released"


def check_update(
    term: int, applied: Version | None, version: Version, is_fenced: bool = True
) -> UpdateVerdict:
    """Returns what to do with an update, by the proxy's term and the version that was applied last.

    If `is_fenced` is False, the term is not checked; the model checker shows with it that the term is needed.
    """
    if is_fenced and version.term < term:
        return UpdateVerdict.STALE
    if is_fenced and version.term > term:
        return UpdateVerdict.AHEAD
    if applied is not None and (version.epoch, version.number) <= (applied.epoch, applied.number):
        return UpdateVerdict.OLD
    return UpdateVerdict.APPLY


def check_claim(controller: str, claimed_controller: str, *, term: int, claimed_term: int) -> OwnershipClaim:
    """Evaluates a proxy's claim that a controller owns it in a term; '' names the controller that reads it.

    A controller owns a proxy while the newest claim names that controller.
    """
    if claimed_term < term:
        return OwnershipClaim.OUTDATED
    if claimed_controller in ("", controller) and claimed_term == term:
        return OwnershipClaim.OWNED
    return OwnershipClaim.RELEASED


class ProxyOwnership:
    """The proxy's side of the protocol.

    Attributes:
        term: the current term.
        controller: the controller that the proxy follows; '': none.
        applied: the version that was last applied in this term; None: none.
    """

    def __init__(self, term: int = 0) -> None:
        """Starts with the last term that is stored on the proxy's disk."""
        self.term = term
        self.controller = ""
        self.applied: Version | None = None

    def next_term(self) -> int:
        """Returns the term for the next `join`; it must be stored first, as a term is never used twice."""
        return self.term + 1

    def join(self, controller: str, term: int) -> None:
        """Follows a controller in a new term. Raises ValueError if the term was used before."""
        if term <= self.term:
            raise ValueError(f"term {term} is not above {self.term}")
        self.term = term
        self.controller = controller
        self.applied = None

    def leave(self) -> None:
        """Stops following a controller; the term stays until the next `join`."""
        self.controller = ""

    def check(self, version: Version, is_fenced: bool = True) -> UpdateVerdict:
        """Returns what to do with an update; if not fenced, any version but the applied one is applied."""
        if not is_fenced:
            return UpdateVerdict.OLD if version == self.applied else UpdateVerdict.APPLY
        return check_update(self.term, self.applied, version)

    def record_applied(self, version: Version) -> None:
        """Records that an update has been applied."""
        self.applied = version
