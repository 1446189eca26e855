"""The result of validating an update, for people and for pipelines.

The words in records and in the output of the command line are fixed: `Verdict.data` maps the fields to them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum, StrEnum
from typing import Any


class Outcome(StrEnum):
    """The outcome of an update. The values are those of records and of the command line."""

    PASSED = "passed"
    SPLIT = "split"  # it goes out in steps
    HELD = "held"  # it goes out later
    REFUSED = "refused"


SEVERITY = (Outcome.PASSED, Outcome.SPLIT, Outcome.HELD, Outcome.REFUSED)  # the worst finding decides
EXIT_CODES = {Outcome.PASSED: 0, Outcome.SPLIT: 3, Outcome.HELD: 4, Outcome.REFUSED: 5}


class Rule(IntEnum):
    """The rules of the service, by the numbers of its documents."""

    NONE = 0
    EMPTY_TABLE = 1  # a connected proxy keeps a usable endpoint
    RETRIES = 2  # no request runs twice that must not
    DRAINING = 3  # nothing goes to an endpoint past its drain grace
    SLOW_START = 4  # no endpoint that is warming up is overloaded
    QUEUE = 5  # the queue limit and the message cap


@dataclass(frozen=True, slots=True, kw_only=True)
class Finding:
    """What one check found.

    Attributes:
        check: the name of the check.
        outcome: the outcome of the update by this finding alone.
        rule: the rule of the service that the update would break, if any.
        text: what is wrong, for a person.
        remedy: the smallest change that would make the update pass.
        route: the route that is concerned; empty: all.
        endpoint: the endpoint that is concerned; empty: no single one.
        figure: what was measured.
        limit: what it was measured against.
        until: the tick from which the update may pass; None: waiting does not help.
    """

    check: str
    outcome: Outcome
    rule: Rule
    text: str
    remedy: str
    route: str = ""
    endpoint: str = ""
    figure: float = 0.0
    limit: float = 0.0
    until: int | None = None

    def line(self) -> str:
        """Returns the finding as one line of text."""
        where = f" route {self.route}" if self.route else ""
        if self.endpoint:
            where += f" host {self.endpoint}"
        rule = f" (rule {self.rule.value})" if self.rule else ""
        return f"{self.outcome.value}: {self.check}{where}{rule}: {self.text}; {self.remedy}"

    def data(self) -> dict[str, Any]:
        """Returns the finding in the words of the records."""
        return {
            "check": self.check,
            "verdict": self.outcome.value,
            "rule": self.rule.value,
            "text": self.text,
            "mend": self.remedy,
            "route": self.route,
            "host": self.endpoint,
            "figure": self.figure,
            "limit": self.limit,
            "until": self.until or 0,
        }


@dataclass(frozen=True, slots=True)
class Step:
    """One of the ordered safe steps that a split update is sent in.

    Attributes:
        not_before: the tick from which it is safe.
        weights: the weights of the tables in this step, by route index.
        text: what the step does, for a person.
    """

    not_before: int
    weights: tuple[dict[str, float], ...]
    text: str

    def data(self) -> dict[str, Any]:
        """Returns the step in the words of the records."""
        return {"at": self.not_before, "lines": self.weights, "why": self.text}


@dataclass(slots=True)
class Verdict:
    """The result of all checks of an update.

    Attributes:
        outcome: the outcome of the worst finding, unless the update is exempted.
        findings: the findings in the order of the checks.
        steps: the steps in which a split update is safe.
        exemption: why an update with findings passes nevertheless; empty if it does not.
        faults: the checks that raised an error, and whether each failed open or closed.
    """

    outcome: Outcome = Outcome.PASSED
    findings: list[Finding] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
    exemption: str = ""
    check_errors: list[str] = field(default_factory=list)

    @property
    def has_passed(self) -> bool:
        """Whether the update may go out as it is."""
        return self.outcome is Outcome.PASSED

    def add(self, finding: Finding) -> None:
        """Adds a finding."""
        self.findings.append(finding)
        self.outcome = max(self.outcome, finding.outcome, key=SEVERITY.index)

    def exempt(self, reason: str) -> None:
        """Makes the update pass nevertheless."""
        self.outcome = Outcome.PASSED
        self.exemption = reason

    def held_until(self) -> int | None:
        """Returns the tick from which no finding holds the update; None if none does."""
        held = [finding.until for finding in self.findings if finding.outcome is Outcome.HELD]
        return max((until for until in held if until is not None), default=None)

    def data(self) -> dict[str, Any]:
        """Returns the verdict in the words of the records."""
        return {
            "what": self.outcome.value,
            "findings": [finding.data() for finding in self.findings],
            "steps": [step.data() for step in self.steps],
            "rescue": self.exemption,
            "faults": list(self.check_errors),
            "exit_code": EXIT_CODES[self.outcome],
        }

    def lines(self) -> list[str]:
        """Returns the verdict as lines of text."""
        lines = [f"verdict: {self.outcome.value}"]
        lines += [finding.line() for finding in self.findings]
        for number, step in enumerate(self.steps, 1):
            lines.append(f"step {number}, not before {step.not_before}: {step.text}")
        if self.exemption:
            lines.append(f"passes all the same: {self.exemption}")
        return [*lines, *self.check_errors]
