"""Derivative of a regular expression by a path prefix.

A first-match list cannot express "begins with this prefix and matches that regex somewhere": the regex may
match within the prefix, beyond it, or across its end.  So the regex is derived by the characters of the
prefix, one by one (Brzozowski, Derivatives of regular expressions, 1964), and what remains is written as a
regex again.  This works on the tree of Python's regex parser, never on the text.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from re import _constants as op
from re import _parser
from typing import Any

Node = tuple[Any, Any]
NodeSequence = tuple[Node, ...]  # concatenated nodes
MAX_ALTERNATIVES = 64  # of one derivative; above that left_after() returns None
MAX_REGEX_LENGTH = 4000


class UnsupportedRegexError(Exception):
    """The regex has a construct that cannot be derived, or its derivative is too large."""


def _node_sequence(parsed: Any) -> NodeSequence:
    return tuple((code, _node_value(code, value)) for code, value in parsed)


def _node_value(code: Any, value: Any) -> Any:
    if code is op.SUBPATTERN:
        _, added, removed, inner = value
        if added or removed:
            raise UnsupportedRegexError("flags within")
        return _node_sequence(inner)
    if code is op.BRANCH:
        return tuple(_node_sequence(branch) for branch in value[1])
    if code in (op.MAX_REPEAT, op.MIN_REPEAT):
        return value[0], value[1], _node_sequence(value[2])
    if code is op.IN:
        return tuple((kind, tuple(item) if isinstance(item, list) else item) for kind, item in value)
    if code in (op.LITERAL, op.NOT_LITERAL, op.ANY, op.AT):
        return value
    raise UnsupportedRegexError(str(code))


def nullable(nodes: NodeSequence, at_start: bool) -> bool:
    """Whether it matches the empty string, where more characters may follow."""
    for code, value in nodes:
        if code is op.AT:
            if value is not op.AT_BEGINNING or not at_start:
                return False
        elif code is op.SUBPATTERN:
            if not nullable(value, at_start):
                return False
        elif code is op.BRANCH:
            if not any(nullable(branch, at_start) for branch in value):
                return False
        elif code in (op.MAX_REPEAT, op.MIN_REPEAT):
            if value[0] and not nullable(value[2], at_start):
                return False
        else:
            return False
    return True


def _matches_character(node: Node, character: str, nocase: bool) -> bool:
    code, value = node
    if code is op.LITERAL and not nocase:
        return chr(value) == character
    return re.fullmatch(_node_text(node), character, re.DOTALL | (re.IGNORECASE if nocase else 0)) is not None


def derive(nodes: NodeSequence, character: str, at_start: bool, nocase: bool) -> list[NodeSequence]:
    """The derivative by `character`: what may follow it, as alternatives."""
    alternatives: list[NodeSequence] = []
    for index, (code, value) in enumerate(nodes):
        following = nodes[index + 1 :]
        if code is op.AT:
            if value is op.AT_BEGINNING and at_start:
                continue
            if value in (op.AT_BEGINNING, op.AT_END, op.AT_BEGINNING_STRING, op.AT_END_STRING):
                return alternatives
            raise UnsupportedRegexError(str(value))
        if code is op.SUBPATTERN:
            alternatives += [
                alternative + following for alternative in derive(value, character, at_start, nocase)
            ]
        elif code is op.BRANCH:
            for branch in value:
                alternatives += [
                    alternative + following for alternative in derive(branch, character, at_start, nocase)
                ]
        elif code in (op.MAX_REPEAT, op.MIN_REPEAT):
            minimum, maximum, inner = value
            remaining = maximum if maximum is op.MAXREPEAT or maximum == _parser.MAXREPEAT else maximum - 1
            if maximum:
                repeated: NodeSequence = (
                    ((code, (max(minimum - 1, 0), remaining, inner)),) if remaining else ()
                )
                alternatives += [
                    alternative + repeated + following
                    for alternative in derive(inner, character, at_start, nocase)
                ]
        elif _matches_character((code, value), character, nocase):
            alternatives.append(following)
            return alternatives
        else:
            return alternatives
        if not nullable(((code, value),), at_start):
            return alternatives
    return alternatives


def left_after(pattern: str, prefix: str, nocase: bool) -> str | None:
    """The regex derivative of `pattern` by `prefix`: a regex for the rest of a path after `prefix`.

    The rest matches it if and only if `pattern` is found in the complete path.

    Empty if `pattern` is found in every path that begins with `prefix`; None if this cannot be expressed.
    """
    try:
        start = _node_sequence(_parser.parse(pattern))
        current: dict[NodeSequence, None] = {start: None}
        for index, character in enumerate(prefix):
            if any(nullable(alternative, index == 0) for alternative in current):
                return ""
            following: dict[NodeSequence, None] = {}
            for alternative in current:
                following.update(dict.fromkeys(derive(alternative, character, index == 0, nocase)))
            following[start] = None  # a match may begin at any character
            if len(following) > MAX_ALTERNATIVES:
                return None
            current = following
        if any(nullable(alternative, not prefix) for alternative in current):
            return ""
        del current[start]
        alternatives = [f"{pattern_text(alternative)}.*" for alternative in current]
        alternatives.append(f".*(?:{pattern_text(start)}).*")
    except (UnsupportedRegexError, RecursionError):
        return None
    text = "|".join(alternatives)
    return f"(?:{text})" if len(text) <= MAX_REGEX_LENGTH else None


# Conversion back to text.


def pattern_text(nodes: Iterable[Node]) -> str:
    """The regex that a sequence of nodes stands for."""
    return "".join(_node_text(node) for node in nodes)


def _literal_text(codepoint: int) -> str:
    return re.escape(chr(codepoint))


CATEGORY_ESCAPES = {op.CATEGORY_DIGIT: r"\d", op.CATEGORY_NOT_DIGIT: r"\D",
                    op.CATEGORY_SPACE: r"\s", op.CATEGORY_NOT_SPACE: r"\S",
                    op.CATEGORY_WORD: r"\w", op.CATEGORY_NOT_WORD: r"\W"}  # fmt: skip
ANCHORS = {op.AT_BEGINNING: "^", op.AT_END: "$", op.AT_BEGINNING_STRING: r"\A", op.AT_END_STRING: r"\z"}


def _node_text(node: Node) -> str:
    code, value = node
    if code is op.LITERAL:
        return _literal_text(value)
    if code is op.NOT_LITERAL:
        return f"[^{_literal_text(value)}]"
    if code is op.ANY:
        return "."
    if code is op.IN:
        parts = []
        for kind, item in value:
            if kind is op.NEGATE:
                parts.append("^")
            elif kind is op.LITERAL:
                parts.append(_literal_text(item))
            elif kind is op.RANGE:
                parts.append(f"{_literal_text(item[0])}-{_literal_text(item[1])}")
            else:
                parts.append(CATEGORY_ESCAPES[item])
        return f"[{''.join(parts)}]"
    if code is op.SUBPATTERN:
        return f"(?:{pattern_text(value)})"
    if code is op.BRANCH:
        return f"(?:{'|'.join(pattern_text(branch) for branch in value)})"
    if code in (op.MAX_REPEAT, op.MIN_REPEAT):
        minimum, maximum, inner = value
        upper = "" if maximum == _parser.MAXREPEAT else str(maximum)
        return f"(?:{pattern_text(inner)}){{{minimum},{upper}}}"
    if value not in ANCHORS:
        raise UnsupportedRegexError(str(value))
    return ANCHORS[value]
