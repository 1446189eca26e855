"""Reads from the kernel which signals a process blocks or handles."""

from __future__ import annotations

import re
import signal
from pathlib import Path

BLOCKED = "SigBlk"
HANDLED = "SigCgt"


def has_signal(pid: int, mask: str, number: signal.Signals) -> bool:
    """Whether a signal is in a signal mask of a process."""
    match = re.search(rf"{mask}:\s+(\w+)", Path(f"/proc/{pid}/status").read_text())
    assert match
    return bool(int(match[1], 16) & 1 << (number - 1))
