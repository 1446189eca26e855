"""All that can happen between few proxies and few directors, step by step, with the claims as they are in
service.

The world: each proxy has its term and what it applied; each director lives, hangs or is dead, and
believes of each proxy a term or nothing; between a director's order and its file lies a rename that can
be late by any time, also beyond the director's death. Every order of steps is tried, each world once.
`without` takes one guard away, to see the invariant that it keeps fail.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any

from .claim import APPLY, Version, judge, names_me

LIVE, HUNG, DEAD = "live", "hung", "dead"
# An order's term is looked at; orders are applied forward only; a director stamps the term that the
# proxy's own file told it and no other; and, together with that, only the followed folder is read.
GUARDS = ("term", "order", "name", "folder+name")


@dataclass(frozen=True)
class Order:
    """An order as a file: `by` is who gave it, `joining` the proxy's term that its giver had in mind."""

    by: int
    version: Version
    joining: int


@dataclass(frozen=True)
class Proxy:
    term: int = 0
    follows: int = -1
    applied: Order | None = None
    past: tuple[Order, ...] = ()  # all that it applied in this term


@dataclass(frozen=True)
class Director:
    state: str = LIVE
    epoch: int = 1
    count: int = 0
    believes: tuple[int, ...] = ()  # by proxy: the term under which it rules, -1 not at all
    late: tuple[tuple[int, Order], ...] = ()  # renames on their way: proxy and order


@dataclass(frozen=True)
class World:
    proxies: tuple[Proxy, ...]
    directors: tuple[Director, ...]
    up: tuple[tuple[int, ...], ...]  # [director][proxy]: the term in the file there, -1 if there is none
    down: tuple[tuple[Order | None, ...], ...]  # [director][proxy]: the order that lies there
    kills: int = 0


@dataclass(frozen=True)
class Bounds:
    proxies: int = 2
    directors: int = 2
    terms: int = 2
    orders: int = 2  # of one life of a director
    kills: int = 1


def _put(row: tuple[Any, ...], at: int, value: Any) -> tuple[Any, ...]:
    return (*row[:at], value, *row[at + 1 :])


def first(bounds: Bounds) -> World:
    n, m = bounds.proxies, bounds.directors
    nobody = (-1,) * n
    return World(
        (Proxy(),) * n, (Director(believes=nobody),) * m, (nobody,) * m, ((None,) * n,) * m
    )  # fmt: skip


class Broken(Exception):
    """An invariant that does not hold: its name."""


def steps(world: World, bounds: Bounds, without: str = "") -> Iterator[tuple[str, World]]:
    """Everything that can happen next, with what the world is then.  Raises Broken."""
    for p in range(bounds.proxies):
        yield from _proxy_steps(world, bounds, p, without)
    for d in range(bounds.directors):
        yield from _director_steps(world, bounds, d, without)


def _proxy_steps(world: World, bounds: Bounds, p: int, without: str) -> Iterator[tuple[str, World]]:
    proxy = world.proxies[p]
    for d in range(bounds.directors):
        if d != proxy.follows and proxy.term < bounds.terms:  # it redials; a proxy cannot tell hung from live
            moved = Proxy(proxy.term + 1, d)
            up = world.up
            if proxy.follows >= 0:  # it takes its folder away, where it can be reached
                gone = _put(up, proxy.follows, _put(up[proxy.follows], p, -1))
                came = _put(gone, d, _put(gone[d], p, moved.term))
                yield f"p{p} joins d{d}", replace(world, proxies=_put(world.proxies, p, moved), up=came)
            came = _put(up, d, _put(up[d], p, moved.term))
            yield (
                f"p{p} joins d{d}, its old file stays",
                replace(world, proxies=_put(world.proxies, p, moved), up=came),
            )
        if (order := world.down[d][p]) is not None and (d == proxy.follows or "folder" in without):
            applied = proxy.applied.version if proxy.applied and "order" not in without else None
            if judge(proxy.term, applied, order.version, "term" not in without) == APPLY:
                if order == proxy.applied:
                    continue
                _check(proxy, order)
                done = replace(proxy, applied=order, past=(*proxy.past, order))
                yield (
                    f"p{p} applies {order.version} of d{d}",
                    replace(world, proxies=_put(world.proxies, p, done)),
                )


def _check(proxy: Proxy, order: Order) -> None:
    """The invariants, at the instant at which an order takes effect."""
    if any(other.by != order.by for other in proxy.past):
        raise Broken("one ruler: orders of two directors took effect in one term")
    if order.joining != proxy.term:
        raise Broken("this stay: an order took effect that was given for another stay")
    if any(
        (o.version.epoch, o.version.number) > (order.version.epoch, order.version.number) for o in proxy.past
    ):
        raise Broken("forward: an older order took effect after a newer one")


def _director_steps(world: World, bounds: Bounds, d: int, without: str) -> Iterator[tuple[str, World]]:
    director = world.directors[d]

    def after(changed: Director, **more: Any) -> World:
        return replace(world, directors=_put(world.directors, d, changed), **more)

    for k, (p, order) in enumerate(director.late):  # a rename lands, whatever became of who ordered it
        rest = (*director.late[:k], *director.late[k + 1 :])
        down = _put(world.down, d, _put(world.down[d], p, order))
        yield (
            f"{order.version} lands in d{d}'s folder of p{p}",
            after(replace(director, late=rest), down=down),
        )
    if director.state == DEAD:
        back = Director(LIVE, director.epoch + 1, 0, (-1,) * bounds.proxies, director.late)
        yield f"d{d} starts again", after(back)
        return
    if world.kills < bounds.kills:
        yield f"d{d} is killed", after(replace(director, state=DEAD), kills=world.kills + 1)
        if director.state == LIVE:
            yield f"d{d} hangs", after(replace(director, state=HUNG), kills=world.kills + 1)
    if director.state == HUNG:
        yield f"d{d} goes on", after(replace(director, state=LIVE))
        return
    for p in range(bounds.proxies):
        told, believed = world.up[d][p], director.believes[p]
        said = names_me(str(d), str(d) if told >= 0 else "nobody", max(believed, 0), max(told, 0))
        news = told if told >= 0 and said != "older" else -1
        if news != believed:
            yield f"d{d} reads p{p}", after(replace(director, believes=_put(director.believes, p, news)))
        if believed >= 0 and director.count < bounds.orders:
            term = believed if "name" not in without else max(believed, world.proxies[p].term)
            version = Version(term, director.epoch, director.count + 1)
            late = (*director.late, (p, Order(d, version, believed)))
            yield (
                f"d{d} orders {version} for p{p}",
                after(replace(director, count=director.count + 1, late=late)),
            )


@dataclass
class Found:
    worlds: int
    steps: int
    broken: str  # '' if all invariants hold
    path: list[str]


def explore(bounds: Bounds, without: str = "", most: int = 5_000_000) -> Found:
    """Every world that can be reached, breadth first; ends at the first broken invariant, with the way
    there.
    """
    start = first(bounds)
    before: dict[World, tuple[World, str] | None] = {start: None}
    waiting, count = deque([start]), 0
    while waiting:
        world = waiting.popleft()
        try:
            for text, then in steps(world, bounds, without):
                count += 1
                if then not in before:
                    before[then] = (world, text)
                    waiting.append(then)
        except Broken as fault:
            path = [str(fault)]
            at = before[world]
            while at is not None:
                path.append(at[1])
                at = before[at[0]]
            return Found(len(before), count, str(fault), path[::-1])
        if len(before) > most:
            raise RuntimeError(f"more than {most} worlds: lower the bounds")
    return Found(len(before), count, "", [])
