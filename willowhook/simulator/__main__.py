"""Runs the link on standard input and output."""

from __future__ import annotations

import io
import sys

from .adapter import Link


def main() -> int:
    source = io.TextIOWrapper(sys.stdin.buffer, encoding="utf-8", newline="\n")
    sink = io.TextIOWrapper(sys.stdout.buffer, encoding="utf-8", newline="\n", write_through=False)
    return Link(source, sink).run()


if __name__ == "__main__":
    sys.exit(main())
