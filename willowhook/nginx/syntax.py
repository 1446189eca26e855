"""Parser of nginx configuration files: a tree of directives with source positions.

A directive is a list of words followed by `;` or a block.  A word is unquoted, or quoted with `"` or `'`; a
backslash escapes the next character; `${name}` may occur within a word; `#` begins a comment where a word
may begin.  Included files are read in place of `include`, sorted by name; an include cycle is an error.
"""

from __future__ import annotations

import glob
import os
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from lark import Lark, Token, Transformer, UnexpectedInput, v_args

MAX_TOTAL_BYTES = 64 << 20  # of all files together
MAX_BLOCK_DEPTH = 100  # levels of nested blocks
MAX_FILES = 10_000

DOUBLE_QUOTED = r'"(?:[^"\\]|\\.)*+"(?=[\s;{}#]|$)'
SINGLE_QUOTED = r"'(?:[^'\\]|\\.)*+'(?=[\s;{}#]|$)"
UNQUOTED = r'(?:[^\s;{}"\'\\#$]|\\.|\$\{[^}\s]*\}|\$)(?:[^\s;{}\\$]|\\.|\$\{[^}\s]*\}|\$)*+'
WORD = f"(?:{DOUBLE_QUOTED}|{SINGLE_QUOTED}|{UNQUOTED})"
WORD_SEPARATOR = r"(?:\s|#[^\n]*\n)++"
# All words of a directive are one token that the transformer splits: one token per word takes three times as
# long to parse.
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
    + f"WORDS: /{WORD}(?:{WORD_SEPARATOR}{WORD})*+/s\n"
)
_BRACE = re.compile(r"[{}]")
_WORD_REGEX = re.compile(f"({WORD})(?:{WORD_SEPARATOR})?", re.DOTALL)


class SourcePosition(NamedTuple):
    """File, line and column; line and column count from 1."""

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f"{self.file}:{self.line}:{self.column}"


class Word(NamedTuple):
    """One word of a directive."""

    text: str  # without quotes, escapes resolved
    position: SourcePosition
    quoted: bool = False


@dataclass(slots=True)
class Directive:
    """A directive with its arguments and, if it has one, its block."""

    name: str
    args: list[Word]
    position: SourcePosition
    block: list[Directive] | None = None

    def arg(self, index: int, default: str = "") -> str:
        """The text of argument `index`, or `default` if there are fewer arguments."""
        return self.args[index].text if index < len(self.args) else default

    def walk(self) -> Iterator[Directive]:
        """Yields the directive and all directives below it, in the order of the file."""
        yield self
        for child in self.block or ():
            yield from child.walk()


class ConfigSyntaxError(Exception):
    """A syntax error: its position, its cause, and the source line with a caret under the column."""

    def __init__(self, position: SourcePosition, cause: str, line: str = "") -> None:
        source = line[:200].replace("\t", " ")
        excerpt = f"\n  {source}\n  {' ' * (min(position.column, 200) - 1)}^" if line else ""
        super().__init__(f"{position}: {cause}{excerpt}")
        self.position, self.cause = position, cause


def unquote(raw: str) -> tuple[str, bool]:
    """The text of a word without quotes and escapes, and whether it was quoted."""
    quoted = raw[:1] in "\"'" and len(raw) > 1 and raw[-1] == raw[0]
    text = raw[1:-1] if quoted else raw
    if "\\" not in text:
        return text, quoted
    characters, index = [], 0
    while index < len(text):
        if text[index] == "\\" and index + 1 < len(text):
            # As in nginx: \" \' \\ \t \r \n are escapes, any other backslash stays.
            escaped = text[index + 1]
            characters.append(
                {"t": "\t", "r": "\r", "n": "\n"}.get(
                    escaped, escaped if escaped in "\"'\\" else "\\" + escaped
                )
            )
            index += 2
        else:
            characters.append(text[index])
            index += 1
    return "".join(characters), quoted


@v_args(inline=True)
class _DirectiveTransformer(Transformer[Token, Any]):
    """Builds directives from tokens; `file` names the file being parsed."""

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
        words, previous, line_start = [], 0, 1 - column  # offset of the line's first column
        for match in _WORD_REGEX.finditer(text):
            offset = match.start()
            if "\n" in text[previous:offset]:
                line += text.count("\n", previous, offset)
                line_start = text.rfind("\n", previous, offset) + 1
            previous = offset
            raw = match.group(1)
            unquoted, quoted = unquote(raw) if raw[0] in "\"'" or "\\" in raw else (raw, False)
            words.append(Word(unquoted, SourcePosition(self.file, line, offset - line_start + 1), quoted))
        return words


_transformer = _DirectiveTransformer()
_parser = Lark(GRAMMAR, parser="lalr", lexer="basic", propagate_positions=False, transformer=_transformer)
FileReader = Callable[[str], bytes]


def decode_text(data: bytes, file: str) -> str:
    """Decodes a file and drops a byte-order mark; raises ConfigSyntaxError for invalid UTF-8."""
    if data.startswith(b"\xef\xbb\xbf"):
        data = data[3:]
    try:
        return data.decode()
    except UnicodeDecodeError as error:
        before = data[: error.start]
        line = before.count(b"\n") + 1
        column = error.start - (before.rfind(b"\n") + 1) + 1
        raise ConfigSyntaxError(
            SourcePosition(file, line, column), f"invalid UTF-8: byte 0x{data[error.start]:02x}"
        ) from error


def parse(text: str, file: str = "-") -> list[Directive]:
    """Parses one file's text into directives; raises ConfigSyntaxError."""
    depth = max_depth = 0
    if text.count("{") > MAX_BLOCK_DEPTH:  # counts levels only if the limit could be exceeded
        for brace in _BRACE.finditer(text):
            depth += 1 if brace[0] == "{" else -1
            max_depth = max(max_depth, depth)
        if max_depth > MAX_BLOCK_DEPTH:
            raise ConfigSyntaxError(
                SourcePosition(file, 1, 1), f"blocks nested {max_depth} deep, {MAX_BLOCK_DEPTH} are allowed"
            )
    _transformer.file = file
    try:
        parsed: Any = _parser.parse(text)
        directives: list[Directive] = parsed
        return directives
    except UnexpectedInput as error:
        lines = text.split("\n")
        position = SourcePosition(file, max(error.line, 1), max(error.column, 1))
        line = lines[position.line - 1] if position.line <= len(lines) else ""
        token = getattr(error, "token", None)
        if token is not None and token.type == "$END":
            position = SourcePosition(file, len(lines), len(lines[-1]) + 1)
            block_line = _innermost_open_block_line(text)
            cause = f"the file ends within a block that begins in line {block_line}" if block_line else \
                "the file ends within a directive: ';' is missing"  # fmt: skip
            raise ConfigSyntaxError(position, cause, lines[-1]) from error
        unexpected = str(token) if token is not None else line[position.column - 1 : position.column]
        causes = {"}": "unexpected '}' before the end of a directive: is ';' missing?",
                  "{": "'{' without a directive's name", ";": "';' without a directive"}  # fmt: skip
        cause = causes.get(unexpected, "an unterminated quote, or no space after a closing quote")
        raise ConfigSyntaxError(position, cause, line) from error


def _innermost_open_block_line(text: str) -> int:
    """The line on which the innermost block that is still open at the end begins; 0 if all are closed."""
    open_lines: list[int] = []
    for token in _parser.lex(text):
        if token.type == "LBRACE":
            open_lines.append(token.line or 0)
        elif token.type == "RBRACE" and open_lines:
            open_lines.pop()
    return open_lines[-1] if open_lines else 0


@dataclass
class Loader:
    """Reads configuration files with the files they include.  `read(path)` may raise OSError."""

    read: FileReader = field(default=lambda path: _read(path))
    files: list[str] = field(default_factory=list)
    size: int = 0

    def load(
        self, path: str, including_files: tuple[str, ...] = (), include_position: SourcePosition | None = None
    ) -> list[Directive]:
        """Reads a file; the directives of an included file follow its `include`.

        Raises ConfigSyntaxError.
        """
        position = include_position or SourcePosition(path, 1, 1)
        resolved_path = os.path.realpath(path)
        if resolved_path in including_files:
            chain = " -> ".join([*including_files[including_files.index(resolved_path) :], resolved_path])
            raise ConfigSyntaxError(position, f"include cycle: {chain}")
        if len(self.files) >= MAX_FILES:
            raise ConfigSyntaxError(position, f"more than {MAX_FILES} files")
        try:
            data = self.read(path)
        except OSError as error:
            cause = error.strerror or str(error)
            raise ConfigSyntaxError(
                position, cause if include_position is None else f"{path}: {cause}"
            ) from error
        self.size += len(data)
        if self.size > MAX_TOTAL_BYTES:
            raise ConfigSyntaxError(position, f"more than {MAX_TOTAL_BYTES} bytes in total")
        self.files.append(path)
        return self._expand_includes(
            parse(decode_text(data, path), path), path, (*including_files, resolved_path)
        )

    def _expand_includes(
        self, directives: list[Directive], path: str, including_files: tuple[str, ...]
    ) -> list[Directive]:
        expanded: list[Directive] = []
        for directive in directives:
            if directive.block is not None:
                directive.block = self._expand_includes(directive.block, path, including_files)
            expanded.append(directive)
            if directive.name != "include" or directive.block is not None:
                continue
            if len(directive.args) != 1:
                raise ConfigSyntaxError(
                    directive.position, f"include takes one argument, got {len(directive.args)}"
                )
            pattern = os.path.join(os.path.dirname(path), directive.arg(0))
            names = sorted(glob.glob(pattern)) if glob.has_magic(pattern) else [pattern]
            for name in names:
                expanded += self.load(name, including_files, directive.position)
        return expanded


def _read(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(MAX_TOTAL_BYTES + 1)
