"""Runs the adapter on standard input and output."""

from __future__ import annotations

import io
import sys

from .adapter import SimulatorAdapter


def main() -> int:
    """Runs the adapter and returns its exit code."""
    input_lines = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    output = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n", write_through=False)
    return SimulatorAdapter(input_lines, output).run()


if __name__ == "__main__":
    sys.exit(main())
