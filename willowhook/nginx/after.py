"""What of an expression is left once a path is known to begin with a prefix.

A list of which the first match wins cannot say "begins with this and matches that expression somewhere":
the expression may match within the prefix, beyond it, or across its end.  So the expression is derived by the
characters of the prefix, one by one (Brzozowski, Derivatives of regular expressions, 1964), and what remains
is written down again.  Only what the language's parser makes of an expression is looked at, never its text.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from re import _constants as op
from re import _parser
from typing import Any

Node = tuple[Any, Any]
Seq = tuple[Node, ...]  # one after the other
MOST = 64  # alternatives; beyond that the prefix is not worked into the expression
MOST_TEXT = 4000


class TooMuch(Exception):
    """It has a part that is not derived, or grows too large."""


def _seq(parsed: Any) -> Seq:
    return tuple((code, _value(code, value)) for code, value in parsed)


def _value(code: Any, value: Any) -> Any:
    if code is op.SUBPATTERN:
        _, added, removed, inner = value
        if added or removed:
            raise TooMuch("flags within")
        return _seq(inner)
    if code is op.BRANCH:
        return tuple(_seq(each) for each in value[1])
    if code in (op.MAX_REPEAT, op.MIN_REPEAT):
        return value[0], value[1], _seq(value[2])
    if code is op.IN:
        return tuple((kind, tuple(what) if isinstance(what, list) else what) for kind, what in value)
    if code in (op.LITERAL, op.NOT_LITERAL, op.ANY, op.AT):
        return value
    raise TooMuch(str(code))


def nullable(seq: Seq, at_start: bool) -> bool:
    """Whether nothing at all is matched by it, where more may follow."""
    for code, value in seq:
        if code is op.AT:
            if value is not op.AT_BEGINNING or not at_start:
                return False
        elif code is op.SUBPATTERN:
            if not nullable(value, at_start):
                return False
        elif code is op.BRANCH:
            if not any(nullable(each, at_start) for each in value):
                return False
        elif code in (op.MAX_REPEAT, op.MIN_REPEAT):
            if value[0] and not nullable(value[2], at_start):
                return False
        else:
            return False
    return True


def _takes(node: Node, letter: str, nocase: bool) -> bool:
    code, value = node
    if code is op.LITERAL and not nocase:
        return chr(value) == letter
    return re.fullmatch(_shown_node(node), letter, re.DOTALL | (re.IGNORECASE if nocase else 0)) is not None


def derive(seq: Seq, letter: str, at_start: bool, nocase: bool) -> list[Seq]:
    """What may follow `letter`, as alternatives."""
    found: list[Seq] = []
    for k, (code, value) in enumerate(seq):
        rest = seq[k + 1 :]
        if code is op.AT:
            if value is op.AT_BEGINNING and at_start:
                continue
            if value in (op.AT_BEGINNING, op.AT_END, op.AT_BEGINNING_STRING, op.AT_END_STRING):
                return found
            raise TooMuch(str(value))
        if code is op.SUBPATTERN:
            found += [each + rest for each in derive(value, letter, at_start, nocase)]
        elif code is op.BRANCH:
            for branch in value:
                found += [each + rest for each in derive(branch, letter, at_start, nocase)]
        elif code in (op.MAX_REPEAT, op.MIN_REPEAT):
            least, most, inner = value
            left = most if most is op.MAXREPEAT or most == _parser.MAXREPEAT else most - 1
            if most:
                again: Seq = ((code, (max(least - 1, 0), left, inner)),) if left else ()
                found += [each + again + rest for each in derive(inner, letter, at_start, nocase)]
        elif _takes((code, value), letter, nocase):
            found.append(rest)
            return found
        else:
            return found
        if not nullable(((code, value),), at_start):
            return found
    return found


def left_after(pattern: str, prefix: str, nocase: bool) -> str | None:
    """An expression that, behind `prefix`, matches the whole paths in which `pattern` is found; empty if they
    are all that begin with it; None if this cannot be said.
    """
    try:
        start = _seq(_parser.parse(pattern))
        now: dict[Seq, None] = {start: None}
        for k, letter in enumerate(prefix):
            if any(nullable(each, k == 0) for each in now):
                return ""
            after: dict[Seq, None] = {}
            for each in now:
                after.update(dict.fromkeys(derive(each, letter, k == 0, nocase)))
            after[start] = None  # it may begin at any character
            if len(after) > MOST:
                return None
            now = after
        if any(nullable(each, not prefix) for each in now):
            return ""
        del now[start]
        rows = [f"{shown(each)}.*" for each in now]
        rows.append(f".*(?:{shown(start)}).*")
    except (TooMuch, RecursionError):
        return None
    text = "|".join(rows)
    return f"(?:{text})" if len(text) <= MOST_TEXT else None


# Writing down.


def shown(seq: Iterable[Node]) -> str:
    return "".join(_shown_node(node) for node in seq)


def _letter(value: int) -> str:
    return re.escape(chr(value))


CATEGORIES = {op.CATEGORY_DIGIT: r"\d", op.CATEGORY_NOT_DIGIT: r"\D", op.CATEGORY_SPACE: r"\s",
              op.CATEGORY_NOT_SPACE: r"\S", op.CATEGORY_WORD: r"\w", op.CATEGORY_NOT_WORD: r"\W"}  # fmt: skip
PLACES = {op.AT_BEGINNING: "^", op.AT_END: "$", op.AT_BEGINNING_STRING: r"\A", op.AT_END_STRING: r"\z"}


def _shown_node(node: Node) -> str:
    code, value = node
    if code is op.LITERAL:
        return _letter(value)
    if code is op.NOT_LITERAL:
        return f"[^{_letter(value)}]"
    if code is op.ANY:
        return "."
    if code is op.IN:
        parts = []
        for kind, what in value:
            if kind is op.NEGATE:
                parts.append("^")
            elif kind is op.LITERAL:
                parts.append(_letter(what))
            elif kind is op.RANGE:
                parts.append(f"{_letter(what[0])}-{_letter(what[1])}")
            else:
                parts.append(CATEGORIES[what])
        return f"[{''.join(parts)}]"
    if code is op.SUBPATTERN:
        return f"(?:{shown(value)})"
    if code is op.BRANCH:
        return f"(?:{'|'.join(shown(each) for each in value)})"
    if code in (op.MAX_REPEAT, op.MIN_REPEAT):
        least, most, inner = value
        end = "" if most == _parser.MAXREPEAT else str(most)
        return f"(?:{shown(inner)}){{{least},{end}}}"
    if value not in PLACES:
        raise TooMuch(str(value))
    return PLACES[value]
