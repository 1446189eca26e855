"""The command line with all of its sub-commands."""

from . import guard, store, trial
from .commands import main

__all__ = ["guard", "main", "store", "trial"]
