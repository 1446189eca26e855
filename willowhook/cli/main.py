"""The command line with all sub-commands, which are registered by importing their modules."""

from . import exports, guard, imports, store, trial
from .commands import main

__all__ = ["exports", "guard", "imports", "main", "store", "trial"]
