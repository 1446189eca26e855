"""The configuration language as a tree of directives, each with its place; errors with line and caret.

A directive is words and then `;` or a block.  A word is bare, or quoted with `"` or `'`; a backslash takes
the next character as it is; `${name}` may stand within a word; `#` begins a comment where a word may begin.
Files that are included are read in place, in the order of their names; one that includes itself is an error.
"""

from __future__ import annotations

import glob
import os
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer, UnexpectedInput, v_args

MOST_BYTES = 64 << 20  # of all files together
MOST_DEPTH = 100  # blocks within blocks
MOST_FILES = 10_000

DOUBLE = r'"(?:[^"\\]|\\.)*+"(?=[\s;{}#]|$)'
SINGLE = r"'(?:[^'\\]|\\.)*+'(?=[\s;{}#]|$)"
BARE = r'(?:[^\s;{}"\'\\#$]|\\.|\$\{[^}\s]*\}|\$)(?:[^\s;{}\\$]|\\.|\$\{[^}\s]*\}|\$)*+'
WORD = f"(?:{DOUBLE}|{SINGLE}|{BARE})"
GAP = r"(?:\s|#[^\n]*\n)++"
# the words of a directive are one token, taken apart when it is met: a token a word takes three times as long
GRAMMAR = (
    r"""
start: item*
item: WORDS (";" | block)
block: "{" item* "}"
COMMENT: /#[^\n]*/
%import common.WS
%ignore WS
%ignore COMMENT
"""
    + f"WORDS: /{WORD}(?:{GAP}{WORD})*+/s\n"
)
_brace = re.compile(r"[{}]")
_word = re.compile(f"({WORD})(?:{GAP})?", re.DOTALL)


class SourcePosition(NamedTuple):
    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Word(NamedTuple):
    text: str  # without quotes, escapes taken
    position: SourcePosition
    quoted: bool = False


@dataclass(slots=True)
class Directive:
    name: str
    args: list[Word]
    position: SourcePosition
    block: list[Directive] | None = None

    def arg(self, k: int, default: str = "") -> str:
        return self.args[k].text if k < len(self.args) else default

    def walk(self) -> Iterator[Directive]:
        yield self
        for each in self.block or ():
            yield from each.walk()


class ConfigSyntaxError(Exception):
    """What is wrong, where, and the line with a caret under the place."""

    def __init__(self, position: SourcePosition, cause: str, line: str = "") -> None:
        text = line[:200].replace("\t", " ")
        shown = f"\n  {text}\n  {' ' * (min(position.column, 200) - 1)}^" if line else ""
        super().__init__(f"{position}: {cause}{shown}")
        self.position, self.cause = position, cause


def unquoted(raw: str) -> tuple[str, bool]:
    """A word as it is meant, and whether it was quoted."""
    quoted = raw[:1] in "\"'" and len(raw) > 1 and raw[-1] == raw[0]
    text = raw[1:-1] if quoted else raw
    if "\\" not in text:
        return text, quoted
    found, k = [], 0
    while k < len(text):
        if text[k] == "\\" and k + 1 < len(text):
            # as the language has it: \" \' \\ and \t \r \n are taken, any other backslash stays
            nxt = text[k + 1]
            found.append({"t": "\t", "r": "\r", "n": "\n"}.get(nxt, nxt if nxt in "\"'\\" else "\\" + nxt))
            k += 2
        else:
            found.append(text[k])
            k += 1
    return "".join(found), quoted


@v_args(inline=True)
class _Tree(Transformer[Token, Any]):
    """Directives as they are met; `file` is that which is being read."""

    file = "-"

    def start(self, *items: Directive) -> list[Directive]:
        return list(items)

    def block(self, *items: Directive) -> list[Directive]:
        return list(items)

    def item(self, token: Token, block: list[Directive] | None = None) -> Directive:
        words = self._words(token)
        return Directive(words[0].text, words[1:], words[0].position, block)

    def _words(self, token: Token) -> list[Word]:
        text, line, column = str(token), token.line or 0, token.column or 0
        found, seen, start = [], 0, 1 - column  # `start`: where the line would begin, in this text
        for each in _word.finditer(text):
            at = each.start()
            if "\n" in text[seen:at]:
                line += text.count("\n", seen, at)
                start = text.rfind("\n", seen, at) + 1
            seen = at
            raw = each.group(1)
            meant, quoted = unquoted(raw) if raw[0] in "\"'" or "\\" in raw else (raw, False)
            found.append(Word(meant, SourcePosition(self.file, line, at - start + 1), quoted))
        return found


_tree = _Tree()
_parser = Lark(GRAMMAR, parser="lalr", lexer="basic", propagate_positions=False, transformer=_tree)
Read = Callable[[str], bytes]


def text_of(data: bytes, file: str) -> str:
    """Raises SyntaxFault where it is no UTF-8; a byte-order mark is taken off."""
    if data.startswith(b"\xef\xbb\xbf"):
        data = data[3:]
    try:
        return data.decode()
    except UnicodeDecodeError as fault:
        before = data[: fault.start]
        line = before.count(b"\n") + 1
        column = fault.start - (before.rfind(b"\n") + 1) + 1
        raise ConfigSyntaxError(
            SourcePosition(file, line, column), f"no UTF-8: byte 0x{data[fault.start]:02x}"
        ) from fault


def parse(text: str, file: str = "-") -> list[Directive]:
    """One file's directives; raises SyntaxFault."""
    depth = most = 0
    if text.count("{") > MOST_DEPTH:  # cheap, and exact only where it matters
        for mark in _brace.finditer(text):
            depth += 1 if mark[0] == "{" else -1
            most = max(most, depth)
        if most > MOST_DEPTH:
            raise ConfigSyntaxError(SourcePosition(file, 1, 1), f"blocks {most} deep, {MOST_DEPTH} are read")
    _tree.file = file
    try:
        found: Any = _parser.parse(text)
        rows: list[Directive] = found
        return rows
    except UnexpectedInput as fault:
        lines = text.split("\n")
        at = SourcePosition(file, max(fault.line, 1), max(fault.column, 1))
        line = lines[at.line - 1] if at.line <= len(lines) else ""
        token = getattr(fault, "token", None)
        if token is not None and token.type == "$END":
            at = SourcePosition(file, len(lines), len(lines[-1]) + 1)
            open_blocks = _open(text)
            cause = f"the file ends within a block that begins in line {open_blocks}" if open_blocks else \
                "the file ends within a directive: ';' is missing"  # fmt: skip
            raise ConfigSyntaxError(at, cause, lines[-1]) from fault
        shown = str(token) if token is not None else line[at.column - 1 : at.column]
        causes = {"}": "'}' without a directive or block before it ends: is ';' missing?",
                  "{": "'{' without a directive's name", ";": "';' without a directive"}  # fmt: skip
        cause = causes.get(shown, "a quote that does not end, or no space after one that does")
        raise ConfigSyntaxError(at, cause, line) from fault


def _open(text: str) -> int:
    """The line in which the innermost block begins that is open at the end; 0 if none is."""
    stack: list[int] = []
    for token in _parser.lex(text):
        if token.type == "LBRACE":
            stack.append(token.line or 0)
        elif token.type == "RBRACE" and stack:
            stack.pop()
    return stack[-1] if stack else 0


@dataclass
class Loader:
    """Reads files and what they include.  `read(path)` may raise OSError."""

    read: Read = field(default=lambda path: _read(path))
    files: list[str] = field(default_factory=list)
    size: int = 0

    def load(
        self, path: str, within: tuple[str, ...] = (), at: SourcePosition | None = None
    ) -> list[Directive]:
        """All directives of a file, those of included files in the place of `include`; raises SyntaxFault."""
        here = at or SourcePosition(path, 1, 1)
        full = os.path.realpath(path)
        if full in within:
            chain = " -> ".join([*within[within.index(full) :], full])
            raise ConfigSyntaxError(here, f"it includes itself: {chain}")
        if len(self.files) >= MOST_FILES:
            raise ConfigSyntaxError(here, f"more than {MOST_FILES} files")
        try:
            data = self.read(path)
        except OSError as fault:
            cause = fault.strerror or str(fault)
            raise ConfigSyntaxError(here, cause if at is None else f"{path}: {cause}") from fault
        self.size += len(data)
        if self.size > MOST_BYTES:
            raise ConfigSyntaxError(here, f"more than {MOST_BYTES} bytes in all")
        self.files.append(path)
        return self._included(parse(text_of(data, path), path), path, (*within, full))

    def _included(self, rows: list[Directive], path: str, within: tuple[str, ...]) -> list[Directive]:
        found: list[Directive] = []
        for row in rows:
            if row.block is not None:
                row.block = self._included(row.block, path, within)
            found.append(row)
            if row.name != "include" or row.block is not None:
                continue
            if len(row.args) != 1:
                raise ConfigSyntaxError(row.position, f"include has one argument, here are {len(row.args)}")
            wanted = os.path.join(os.path.dirname(path), row.arg(0))
            names = sorted(glob.glob(wanted)) if glob.has_magic(wanted) else [wanted]
            for name in names:
                found += self.load(name, within, row.position)
        return found


def _read(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(MOST_BYTES + 1)
