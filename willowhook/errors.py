"""The base class of the errors that this package raises."""

from __future__ import annotations


class WillowhookError(Exception):
    """Base class of the errors that willowhook raises deliberately."""
