"""Reads the hand-written corpus of nginx samples, with the expected verdict of each directive.

A sample begins with `### NAME`, optionally followed by `: --option value ...`.  A line with directives ends
with `#: ` and one mark for each of them in order: `=` carried, `~` carried but differs, `-` not carried,
`!` refused.
"""

from __future__ import annotations

import re
import shlex
from dataclasses import dataclass
from pathlib import Path

from ..nginx.plan import ImportOptions
from ..nginx.syntax import parse
from ..nginx.verdicts import CARRIED, DIFFERS, NOT_CARRIED, REFUSED, diagnose

CORPUS_FOLDER = Path(__file__).parent / "corpus"
VERDICT_BY_MARK = {"=": CARRIED, "~": DIFFERS, "-": NOT_CARRIED, "!": REFUSED}
SAMPLE_HEADER = re.compile(r"^### (?P<name>.*?)(?:: (?P<options>--.*))?$")


@dataclass(frozen=True, slots=True)
class Sample:
    """One sample configuration, the import's options and the expected verdicts."""

    name: str
    place: str  # file and line
    asked: ImportOptions
    text: str
    wanted: tuple[str, ...]  # expected verdicts, in order


def _parse_options(options: str) -> ImportOptions:
    values_by_option: dict[str, list[str]] = {}
    words = shlex.split(options)
    for option, value in zip(words[::2], words[1::2], strict=True):
        values_by_option.setdefault(option.removeprefix("--"), []).append(value)
    keyed = tuple(
        (path, int(window))
        for path, _, window in (item.partition("=") for item in values_by_option.get("keyed", ()))
    )
    return ImportOptions(
        server_name="".join(values_by_option.get("host", ())),
        mutating=tuple(values_by_option.get("mutating", ())),
        repeatable=tuple(values_by_option.get("repeatable", ())), keyed=keyed,
    )  # fmt: skip


def load_samples() -> list[Sample]:
    """Reads all samples; raises ValueError if a file is not in the form above."""
    loaded: list[Sample] = []
    for path in sorted(CORPUS_FOLDER.glob("*.conf")):
        lines = path.read_text().splitlines()
        header_lines = [start for start, line in enumerate(lines) if line.startswith("### ")]
        for start, end in zip(header_lines, [*header_lines[1:], len(lines)], strict=True):
            header = SAMPLE_HEADER.match(lines[start])
            if header is None:
                raise ValueError(f"{path.name}:{start + 1}: not a sample header")
            body = lines[start + 1 : end]
            marks = "".join(line.rpartition("#: ")[2].strip() for line in body if "#: " in line)
            wanted = tuple(VERDICT_BY_MARK[mark] for mark in marks)
            asked = _parse_options(header["options"] or "")
            place = f"{path.name}:{start + 1}"
            loaded.append(Sample(header["name"], place, asked, "\n".join(body) + "\n", wanted))
    return loaded


def verdict_errors(sample: Sample) -> list[str]:
    """Lists unexpected verdicts, and verdicts other than `carried` that lack a reason."""
    directives = parse(sample.text, sample.place)
    found_verdicts, _ = diagnose(directives, sample.asked)
    errors = [
        f"{sample.place} {sample.name}: {verdict.report_line()}; expected {expected}"
        for verdict, expected in zip(found_verdicts, sample.wanted, strict=False)
        if verdict.outcome != expected or (verdict.outcome != CARRIED and not verdict.reason)
    ]  # fmt: skip
    if len(found_verdicts) != len(sample.wanted):
        errors.append(
            f"{sample.place} {sample.name}: {len(found_verdicts)} directives, {len(sample.wanted)} marks"
        )
    return errors
