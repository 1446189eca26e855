"""The corpus of nginx samples, written by hand, with the verdict that each directive must get.

A sample begins with `### NAME` and may go on with `: --option value ...`.  A line of directives ends with
`#: ` and a mark for each of them in order: `=` carried, `~` carried and differs, `-` not carried, `!`
refused.
"""

from __future__ import annotations

import re
import shlex
from dataclasses import dataclass
from pathlib import Path

from ..nginx.plan import Asked
from ..nginx.syntax import parse
from ..nginx.verdicts import CARRIED, DIFFERS, LEFT, REFUSED, verdicts

FOLDER = Path(__file__).parent / "corpus"
MARKS = {"=": CARRIED, "~": DIFFERS, "-": LEFT, "!": REFUSED}
HEAD = re.compile(r"^### (?P<name>.*?)(?:: (?P<options>--.*))?$")


@dataclass(frozen=True, slots=True)
class Sample:
    name: str
    place: str  # file and line
    asked: Asked
    text: str
    wanted: tuple[str, ...]  # verdicts, in order


def _asked(options: str) -> Asked:
    rows: dict[str, list[str]] = {}
    words = shlex.split(options)
    for option, value in zip(words[::2], words[1::2], strict=True):
        rows.setdefault(option.removeprefix("--"), []).append(value)
    keyed = tuple(
        (path, int(window)) for path, _, window in (row.partition("=") for row in rows.get("keyed", ()))
    )
    return Asked(
        host="".join(rows.get("host", ())), mutating=tuple(rows.get("mutating", ())),
        repeatable=tuple(rows.get("repeatable", ())), keyed=keyed,
    )  # fmt: skip


def load_samples() -> list[Sample]:
    """All of them; raises ValueError where a file is not in the form above."""
    found: list[Sample] = []
    for path in sorted(FOLDER.glob("*.conf")):
        lines = path.read_text().splitlines()
        heads = [at for at, line in enumerate(lines) if line.startswith("### ")]
        for at, end in zip(heads, [*heads[1:], len(lines)], strict=True):
            head = HEAD.match(lines[at])
            if head is None:
                raise ValueError(f"{path.name}:{at + 1}: no head of a sample")
            body = lines[at + 1 : end]
            marks = "".join(line.rpartition("#: ")[2].strip() for line in body if "#: " in line)
            wanted = tuple(MARKS[mark] for mark in marks)
            asked = _asked(head["options"] or "")
            place = f"{path.name}:{at + 1}"
            found.append(Sample(head["name"], place, asked, "\n".join(body) + "\n", wanted))
    return found


def verdict_errors(sample: Sample) -> list[str]:
    """Where its verdicts are not those wanted; empty if all are, and each but the carried says why."""
    rows = parse(sample.text, sample.place)
    found, _ = verdicts(rows, sample.asked)
    told = [
        f"{sample.place} {sample.name}: {row.line()}; wanted {want}"
        for row, want in zip(found, sample.wanted, strict=False)
        if row.what != want or (row.what != CARRIED and not row.why)
    ]  # fmt: skip
    if len(found) != len(sample.wanted):
        told.append(f"{sample.place} {sample.name}: {len(found)} directives, {len(sample.wanted)} marks")
    return told
