"""The base class of the errors that this package raises."""

from __future__ import annotations


class WillowhookError(Exception):
    """Any error raised by willowhook on purpose."""
