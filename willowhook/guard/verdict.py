"""What the guard says of a candidate, in terms that a person, and a pipeline, can act on."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any

PASSED, SPLIT, HELD, REFUSED = "passed", "split", "held", "refused"
ORDER = (PASSED, SPLIT, HELD, REFUSED)  # the worst finding is the verdict
EXIT_CODES = {PASSED: 0, SPLIT: 3, HELD: 4, REFUSED: 5}


@dataclass(frozen=True, slots=True)
class Finding:
    check: str
    verdict: str
    rule: int  # of the service, 0 if it is none of the five
    text: str
    mend: str  # the smallest change that would make it pass
    route: str = ""
    host: str = ""
    figure: float = 0.0
    limit: float = 0.0
    until: int = 0  # held: when it may pass

    def line(self) -> str:
        where = "".join(
            f" {word} {name}" for word, name in (("route", self.route), ("host", self.host)) if name
        )
        rule = f" (rule {self.rule})" if self.rule else ""
        return f"{self.verdict}: {self.check}{where}{rule}: {self.text}; {self.mend}"


@dataclass(frozen=True, slots=True)
class Step:
    """One of the ordered safe steps that a split table is sent in."""

    at: int  # not before
    lines: tuple[dict[str, float], ...]  # by route
    why: str


@dataclass(slots=True)
class Verdict:
    what: str = PASSED
    findings: list[Finding] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    rescue: str = ""  # why something bad passes all the same
    faults: list[str] = field(default_factory=list)  # checks that broke, and which way they failed

    @property
    def good(self) -> bool:
        return self.what == PASSED

    def add(self, finding: Finding) -> None:
        self.findings.append(finding)
        self.what = max(self.what, finding.verdict, key=ORDER.index)

    def until(self) -> int:
        return max((finding.until for finding in self.findings if finding.verdict == HELD), default=0)

    def data(self) -> dict[str, Any]:
        return {**asdict(self), "exit_code": EXIT_CODES[self.what]}

    def lines(self) -> list[str]:
        found = [finding.line() for finding in self.findings]
        found += [f"step {k + 1}, not before {step.at}: {step.why}" for k, step in enumerate(self.steps)]
        if self.rescue:
            found.append(f"passes all the same: {self.rescue}")
        return [f"verdict: {self.what}", *found, *self.faults]
