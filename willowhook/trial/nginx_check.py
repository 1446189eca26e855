"""Randomized checks of the nginx reader, in memory.

The location matcher is compared with a brute-force reading of the published rules, the flattened route lists
with the location search, and mutated samples are parsed.
"""

from __future__ import annotations

import random
import re
import time
from dataclasses import dataclass, field

from ..nginx.flat import FirstMatch, Flattener
from ..nginx.locations import Location, LocationMatcher, read_locations
from ..nginx.plan import CARRIED, ImportOptions, ImportPlan
from ..nginx.setup import NginxConfig
from ..nginx.syntax import ConfigSyntaxError, parse
from ..nginx.verdicts import diagnose
from .corpus import load_samples

PIECES = ["/", "a", "b", "ab", "/a", "/ab/", ".x", ".X", "1"]
EXPRESSIONS = [r"\.x$", "a+b", "/ab", "[b1]", "^/a", "x", "^/ab/.*[1x]$", "(a|b)1"]
NOISE = ["{", "}", ";", '"', "'", "\\", "#", "$", "\n", " ", "", "location", "server", "upstream", "backup",
         "weight=-1", "~", "=", "^~", "(", "\x00", "\u00e9", "proxy_pass", "*", "100%"]  # fmt: skip


def brute(locations: list[Location], uri: str) -> tuple[Location | None, bool]:
    """Applies the published rules one by one to all locations; also returns whether the search is over."""
    for location in locations:
        if location.modifier == "=" and location.pattern == uri:
            return location, True
    chosen: Location | None = None
    for location in locations:
        longer = chosen is None or len(location.pattern) > len(chosen.pattern)
        if location.modifier in ("", "^~") and uri.startswith(location.pattern) and longer:
            chosen = location
    remembered = chosen
    if chosen is not None:
        deeper, over = brute(chosen.nested, uri)
        if over:
            return deeper, True
        remembered = deeper or chosen
    if chosen is None or chosen.modifier != "^~":
        for location in locations:
            if location.modifier in ("~", "~*"):
                flags = re.IGNORECASE if location.modifier == "~*" else 0
                if re.search(location.pattern.replace("(?<", "(?P<"), uri, flags):
                    return brute(location.nested, uri)[0] or location, True
    return remembered, False


def random_locations(generator: random.Random, within: str, depth: int, body: str = "") -> str:
    """Draws random locations, nested up to `depth` levels."""
    locations, seen = [], set[tuple[str, str]]()
    for _ in range(generator.randint(1, 5)):
        kind = generator.choice(["=", "^~", "", "", "~", "~*"])
        if kind in ("~", "~*"):
            pattern = generator.choice(EXPRESSIONS)
        else:
            pattern = within + "".join(generator.choice(PIECES) for _ in range(generator.randint(0, 3)))
        key = ("p" if kind in ("", "^~") else kind, pattern)
        if key in seen or not pattern:
            continue
        seen.add(key)
        inner = ""
        if depth and kind != "=" and generator.random() < 0.4:
            inner = random_locations(generator, pattern if kind in ("", "^~") else "", depth - 1, body)
        locations.append(f"location {kind} {pattern} {{ {body} {inner} }}")
    return " ".join(locations)


def random_uri(generator: random.Random) -> str:
    """Draws a URI of up to five pieces."""
    return "/" + "".join(generator.choice(PIECES) for _ in range(generator.randint(0, 5)))


def check_matcher(uris: int, seed: int = 5) -> tuple[int, list[str]]:
    """Compares matcher and brute-force reading, fifty URIs per configuration; returns the differences."""
    generator, count, differences = random.Random(seed), 0, list[str]()
    while count < uris:
        text = random_locations(generator, "/", 2)
        locations = read_locations(parse(text))
        matcher = LocationMatcher(locations)
        for _ in range(min(50, uris - count)):
            uri = random_uri(generator)
            count += 1
            if matcher.find(uri) is not brute(locations, uri)[0]:
                differences.append(f"{uri}: {text}")
    return count, differences


@dataclass(slots=True)
class ListCheck:
    """How often the flattened list differs from the search, and whether the import reported it."""

    uris: int = 0
    differ: int = 0
    unreported: list[str] = field(default_factory=list)
    configs: int = 0
    configs_with_notes: int = 0  # configurations with a reported difference


def check_lists(uris: int, seed: int = 9) -> ListCheck:
    """Compares list and search for random URIs, which are not those of the import's own check."""
    generator, check = random.Random(seed), ListCheck()
    while check.uris < uris:
        directives = parse(f"server {{ {random_locations(generator, '/', 2, 'return 204;')} }}")
        setup = NginxConfig(directives)
        plan = ImportPlan(setup, ImportOptions())
        site = setup.server_blocks[0]
        first_match = FirstMatch(Flattener(site).entries())
        check.configs += 1
        check.configs_with_notes += any(what != CARRIED for what, _ in plan.outcomes.values())
        for _ in range(min(50, uris - check.uris)):
            uri = random_uri(generator)
            check.uris += 1
            place, entry = site.find_location(uri), first_match.find(uri)
            listed_directive = entry.location_config.location.directive if entry is not None else None
            if place is None or place.location.directive is listed_directive:
                continue
            check.differ += 1
            if plan.outcomes.get(id(place.location.directive), (CARRIED, ""))[0] == CARRIED:
                check.unreported.append(f"{uri}: {place.location}")
    return check


@dataclass(slots=True)
class MutationCheck:
    """How mutated samples were parsed, and which made the reader fail."""

    inputs: int = 0
    parsed: int = 0  # the others were rejected with place and cause
    directives: int = 0
    unaccounted: list[str] = field(default_factory=list)
    crashes: list[str] = field(default_factory=list)
    slowest_s: float = 0.0


def check_mutated_samples(inputs: int, seed: int = 3) -> MutationCheck:
    """Parses mutated samples: each gets a verdict per directive, or is rejected with place and cause."""
    generator, check, corpus = random.Random(seed), MutationCheck(), load_samples()
    for _ in range(inputs):
        sample = generator.choice(corpus)
        text = sample.text
        for _ in range(generator.randint(1, 4)):
            position = generator.randrange(len(text) + 1)
            piece = generator.choice(NOISE)
            if generator.random() < 0.3:
                other = generator.choice(corpus).text
                start = generator.randrange(len(other))
                piece = other[start : start + generator.randint(1, 60)]
            text = text[:position] + piece + text[position + generator.choice((0, 0, 1, 5)) :]
        check.inputs += 1
        started_at = time.perf_counter()
        try:
            directives = parse(text)
            found_verdicts, _ = diagnose(directives, sample.asked)
        except ConfigSyntaxError as error:
            if error.position.line < 1 or error.position.column < 1 or not error.cause:
                check.crashes.append(f"no place or cause: {text!r}")
            continue
        except Exception as error:  # any other exception is a defect
            check.crashes.append(f"{type(error).__name__}: {error}: {text!r}")
            continue
        finally:
            check.slowest_s = max(check.slowest_s, time.perf_counter() - started_at)
        check.parsed += 1
        walked = [id(directive) for top_level in directives for directive in top_level.walk()]
        check.directives += len(walked)
        if len(found_verdicts) != len(walked):
            check.unaccounted.append(text)
    return check
