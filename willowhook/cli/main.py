"""The command line with all of its sub-commands."""

from . import guard, imports, store, trial
from .commands import main

__all__ = ["guard", "imports", "main", "store", "trial"]
