"""Entry point with which the platform starts one controller: `python -m willowhook.platform`.

The exit code is 0 after SIGTERM or SIGINT.
"""

from __future__ import annotations

import sys

from .held_signals import block_signals


def main() -> int:
    """Runs a server until a signal terminates it. Returns an `ExitCode`."""
    block_signals()
    from .process import run_process  # deferred: this import takes most of the startup time

    return run_process()


if __name__ == "__main__":
    sys.exit(main())
