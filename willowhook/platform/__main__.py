"""Runs one controller as the platform starts it: `python -m willowhook.platform`.

The exit code is 0 after SIGTERM or SIGINT.
"""

from __future__ import annotations

import sys

from .held_signals import hold_signals


def main() -> int:
    """Runs a server until a signal ends it. Returns an `ExitCode`."""
    hold_signals()
    from .process import run_process  # only now: importing it is the longest part of the start

    return run_process()


if __name__ == "__main__":
    sys.exit(main())
