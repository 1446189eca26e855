"""`python -m willowhook.platform`: one director, as the platform starts it; exits with 0 when told to end."""

from __future__ import annotations

import os
import sys
import time
import traceback
from functools import partial

from .configuration import Unusable, read_start
from .server import run

UNUSABLE, BROKEN = 2, 4


def say(text: str) -> None:
    try:  # a log that cannot be written must not end a director
        sys.stderr.write(f"{time.time():.3f} {text}\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass


def main() -> int:
    reread = partial(read_start, dict(os.environ))
    try:
        start = reread()
    except Unusable as fault:
        say(f"willowhook cannot start: {fault}")
        return UNUSABLE
    code = 0
    try:
        run(start, reread, say)
    except* OSError as faults:
        say(f"willowhook cannot listen on {start.listen[0]}:{start.listen[1]}: {faults.exceptions[0]}")
        code = UNUSABLE
    except* Exception as faults:
        traceback.print_exception(faults)
        say("the director broke")
        code = BROKEN
    return code


if __name__ == "__main__":
    sys.exit(main())
