"""The command line with all of its sub-commands."""

from . import exports, guard, imports, store, trial
from .commands import main

__all__ = ["exports", "guard", "imports", "main", "store", "trial"]
