"""The version of an update, by which a proxy recognizes newer updates and the session that they belong to."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import WillowhookError

NUMBER_COUNT = 3  # in a version
MAX_TEXT_LENGTH = 60  # characters
SHOWN_CHARACTERS = 60  # of an invalid version, in the error message


class VersionError(WillowhookError):
    """The text is not a valid version."""


@dataclass(frozen=True, slots=True, order=True)
class Version:
    """The version of an update; its text is `TERM.EPOCH.NUMBER`.

    Attributes:
        term: the fencing term of the proxy that it is for.
        epoch: the epoch of the controller: the number of its starts in its folder.
        number: the number of the update, counted from the controller's start.
    """

    term: int
    epoch: int
    number: int

    def __str__(self) -> str:
        """Returns the version as it is published."""
        return f"{self.term}.{self.epoch}.{self.number}"


def parse_version(text: str) -> Version:
    """Parses a version. Raises VersionError."""
    parts = text.split(".")
    are_numbers = all(part.isascii() and part.isdigit() for part in parts)
    if len(parts) != NUMBER_COUNT or not are_numbers or len(text) > MAX_TEXT_LENGTH:
        raise VersionError(f"version {text[:SHOWN_CHARACTERS]!r} is no TERM.EPOCH.NUMBER")
    term, epoch, number = parts
    return Version(int(term), int(epoch), int(number))
