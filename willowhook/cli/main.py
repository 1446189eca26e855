"""The command line with all of its sub-commands."""

from . import trial
from .commands import main

__all__ = ["main", "trial"]
