"""Runs the adapter on standard input and output."""

from __future__ import annotations

import io
import sys

from .adapter import SimulatorAdapter


def main() -> int:
    """Runs the adapter; its exit code."""
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n", write_through=False)
    return SimulatorAdapter(source, sink).run()


if __name__ == "__main__":
    sys.exit(main())
