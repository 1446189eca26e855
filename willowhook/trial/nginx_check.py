"""Checks of the nginx reader at length: the matcher beside a reading of the rules one by one, lists beside
the search, and mutated samples.  In memory, no sockets.
"""

from __future__ import annotations

import random
import re
import time
from dataclasses import dataclass, field

from ..nginx.flat import FirstMatch, Flattener
from ..nginx.locations import Location, Matcher, read_all
from ..nginx.plan import CARRIED, Asked, Plan
from ..nginx.setup import Setup
from ..nginx.syntax import SyntaxFault, parse
from ..nginx.verdicts import verdicts
from .corpus import load_samples

PIECES = ["/", "a", "b", "ab", "/a", "/ab/", ".x", ".X", "1"]
EXPRESSIONS = [r"\.x$", "a+b", "/ab", "[b1]", "^/a", "x", "^/ab/.*[1x]$", "(a|b)1"]
NOISE = ["{", "}", ";", '"', "'", "\\", "#", "$", "\n", " ", "", "location", "server", "upstream", "backup",
         "weight=-1", "~", "=", "^~", "(", "\x00", "\u00e9", "proxy_pass", "*", "100%"]  # fmt: skip


def brute(rows: list[Location], uri: str) -> tuple[Location | None, bool]:
    """The published rules, read one by one over all locations; and whether the search is over."""
    for row in rows:
        if row.kind == "=" and row.pattern == uri:
            return row, True
    chosen: Location | None = None
    for row in rows:
        longer = chosen is None or len(row.pattern) > len(chosen.pattern)
        if row.kind in ("", "^~") and uri.startswith(row.pattern) and longer:
            chosen = row
    remembered = chosen
    if chosen is not None:
        deeper, over = brute(chosen.inner, uri)
        if over:
            return deeper, True
        remembered = deeper or chosen
    if chosen is None or chosen.kind != "^~":
        for row in rows:
            if row.kind in ("~", "~*"):
                flags = re.IGNORECASE if row.kind == "~*" else 0
                if re.search(row.pattern.replace("(?<", "(?P<"), uri, flags):
                    return brute(row.inner, uri)[0] or row, True
    return remembered, False


def block(chance: random.Random, within: str, depth: int, body: str = "") -> str:
    """Locations by chance, nested as far as `depth`."""
    rows, seen = [], set[tuple[str, str]]()
    for _ in range(chance.randint(1, 5)):
        kind = chance.choice(["=", "^~", "", "", "~", "~*"])
        if kind in ("~", "~*"):
            pattern = chance.choice(EXPRESSIONS)
        else:
            pattern = within + "".join(chance.choice(PIECES) for _ in range(chance.randint(0, 3)))
        key = ("p" if kind in ("", "^~") else kind, pattern)
        if key in seen or not pattern:
            continue
        seen.add(key)
        inner = ""
        if depth and kind != "=" and chance.random() < 0.4:
            inner = block(chance, pattern if kind in ("", "^~") else "", depth - 1, body)
        rows.append(f"location {kind} {pattern} {{ {body} {inner} }}")
    return " ".join(rows)


def a_uri(chance: random.Random) -> str:
    return "/" + "".join(chance.choice(PIECES) for _ in range(chance.randint(0, 5)))


def check_matcher(uris: int, seed: int = 5) -> tuple[int, list[str]]:
    """URIs asked of the matcher and of the brute reading, fifty a configuration; where they differ."""
    chance, count, found = random.Random(seed), 0, list[str]()
    while count < uris:
        text = block(chance, "/", 2)
        rows = read_all(parse(text))
        matcher = Matcher(rows)
        for _ in range(min(50, uris - count)):
            uri = a_uri(chance)
            count += 1
            if matcher.find(uri) is not brute(rows, uri)[0]:
                found.append(f"{uri}: {text}")
    return count, found


@dataclass(slots=True)
class ListCheck:
    """How often the flat list says other than the search, and whether the import told of it."""

    uris: int = 0
    differ: int = 0
    unreported: list[str] = field(default_factory=list)
    configs: int = 0
    told_in: int = 0  # configurations


def check_lists(uris: int, seed: int = 9) -> ListCheck:
    """Random URIs, none of them those by which the import checks itself."""
    chance, made = random.Random(seed), ListCheck()
    while made.uris < uris:
        rows = parse(f"server {{ {block(chance, '/', 2, 'return 204;')} }}")
        setup = Setup(rows)
        plan = Plan(setup, Asked())
        site = setup.sites[0]
        flat = FirstMatch(Flattener(site).entries())
        made.configs += 1
        made.told_in += any(what != CARRIED for what, _ in plan.notes.values())
        for _ in range(min(50, uris - made.uris)):
            uri = a_uri(chance)
            made.uris += 1
            place, entry = site.place(uri), flat.find(uri)
            here = entry.place.location.directive if entry is not None else None
            if place is None or place.location.directive is here:
                continue
            made.differ += 1
            if plan.notes.get(id(place.location.directive), (CARRIED, ""))[0] == CARRIED:
                made.unreported.append(f"{uri}: {place.location}")
    return made


@dataclass(slots=True)
class MutationCheck:
    inputs: int = 0
    parsed: int = 0  # the rest was told of with place and cause
    directives: int = 0
    unaccounted: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    slowest_s: float = 0.0


def check_mutated_samples(inputs: int, seed: int = 3) -> MutationCheck:
    """Samples with pieces put in, taken out and swapped: each is read with a verdict each, or told of."""
    chance, made, corpus = random.Random(seed), MutationCheck(), load_samples()
    for _ in range(inputs):
        sample = chance.choice(corpus)
        text = sample.text
        for _ in range(chance.randint(1, 4)):
            at = chance.randrange(len(text) + 1)
            piece = chance.choice(NOISE)
            if chance.random() < 0.3:
                other = chance.choice(corpus).text
                start = chance.randrange(len(other))
                piece = other[start : start + chance.randint(1, 60)]
            text = text[:at] + piece + text[at + chance.choice((0, 0, 1, 5)) :]
        made.inputs += 1
        began = time.perf_counter()
        try:
            rows = parse(text)
            found, _ = verdicts(rows, sample.asked)
        except SyntaxFault as fault:
            if fault.place.line < 1 or fault.place.column < 1 or not fault.cause:
                made.crashes.append(f"no place or cause: {text!r}")
            continue
        except Exception as fault:  # any other is what this looks for
            made.crashes.append(f"{type(fault).__name__}: {fault}: {text!r}")
            continue
        finally:
            made.slowest_s = max(made.slowest_s, time.perf_counter() - began)
        made.parsed += 1
        walked = [id(each) for top in rows for each in top.walk()]
        made.directives += len(walked)
        if len(found) != len(walked):
            made.unaccounted.append(text)
    return made
