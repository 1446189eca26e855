"""A model of the ownership protocol: few proxies, few controllers, and all events that can happen to them.

A proxy has its term and its applied updates. A controller is up, hung or dead, and holds for each proxy a
belief: that it owns the proxy in a term, or that it does not. An update becomes visible by a rename, which
can be delayed by any time, even beyond the death of the controller. A step is one event; versions and claims
are checked by the program's own functions.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum
from typing import NamedTuple, TypeVar

from ..errors import WillowhookError
from .ownership import OwnershipClaim, UpdateVerdict, check_claim, check_update
from .version import Version

T = TypeVar("T")
NO_TERM = -1  # instead of a term: the controller does not own the proxy, or the proxy has no file there
NOBODY = -1  # instead of a controller's index


class Safeguard(Enum):
    """What preserves the invariants; the model can run without some of them, to show that they are needed."""

    TERM = "term"  # the term of an update is checked
    ORDER = "order"  # updates are applied forward only
    WRITTEN_TERM = "name"  # a controller writes only the term that it read from the proxy's file
    FOLDER = "folder"  # a proxy reads only the folder of the controller that it follows


Safeguards = frozenset[Safeguard]
ALL_PRESENT: Safeguards = frozenset()
NEEDED_SAFEGUARDS: tuple[Safeguards, ...] = (
    frozenset((Safeguard.TERM,)),
    frozenset((Safeguard.ORDER,)),
    frozenset((Safeguard.WRITTEN_TERM,)),
    frozenset((Safeguard.FOLDER, Safeguard.WRITTEN_TERM)),
)


def safeguards_in(text: str) -> Safeguards:
    """Returns the safeguards that are named in a text such as `folder+name`."""
    return frozenset(safeguard for safeguard in Safeguard if safeguard.value in text)


class ControllerState(Enum):
    """The state of a controller's process."""

    UP = "up"
    HUNG = "hung"
    DEAD = "dead"


@dataclass(frozen=True)
class Update:
    """An update as a file.

    Attributes:
        controller: the index of the controller that issued it.
        version: the version that it carries.
        intended_term: the term of the proxy for which the controller issued it.
    """

    controller: int
    version: Version
    intended_term: int


@dataclass(frozen=True)
class Proxy:
    """A proxy.

    Attributes:
        term: the current term.
        follows: the index of its controller.
        applied: the update that was applied last in this term.
        history: all updates that were applied in this term.
    """

    term: int = 0
    follows: int = NOBODY
    applied: Update | None = None
    history: tuple[Update, ...] = ()


class PendingRename(NamedTuple):
    """An update whose file has not been renamed into place yet."""

    proxy: int
    update: Update


@dataclass(frozen=True)
class Controller:
    """A controller.

    Attributes:
        state: the state of its process.
        epoch: how often its process has started.
        update_count: the number of updates issued in this epoch.
        believed_terms: by proxy: the term in which it owns the proxy.
        pending: the renames that have not happened yet; each may happen at any time.
    """

    state: ControllerState = ControllerState.UP
    epoch: int = 1
    update_count: int = 0
    believed_terms: tuple[int, ...] = ()
    pending: tuple[PendingRename, ...] = ()


@dataclass(frozen=True)
class World:
    """A state of the model.

    Attributes:
        proxies: the proxies by index.
        controllers: the controllers by index.
        claimed_terms: by controller and proxy: the term in the proxy's file in that folder.
        updates: by controller and proxy: the update in that folder.
        failures: the number of controller failures so far.
    """

    proxies: tuple[Proxy, ...]
    controllers: tuple[Controller, ...]
    claimed_terms: tuple[tuple[int, ...], ...]
    updates: tuple[tuple[Update | None, ...], ...]
    failures: int = 0


@dataclass(frozen=True)
class Bounds:
    """The maximum number of each item in the model; `updates` applies to one epoch of a controller."""

    proxies: int = 2
    controllers: int = 2
    terms: int = 2
    updates: int = 2
    failures: int = 1


class Step(NamedTuple):
    """An event that can happen: its description, and the world after it."""

    text: str
    world: World


class InvariantError(WillowhookError):
    """An invariant is violated; the message says which."""


def initial_world(bounds: Bounds) -> World:
    """Returns the world before the first step."""
    no_terms = (NO_TERM,) * bounds.proxies
    return World(
        proxies=(Proxy(),) * bounds.proxies,
        controllers=(Controller(believed_terms=no_terms),) * bounds.controllers,
        claimed_terms=(no_terms,) * bounds.controllers,
        updates=((None,) * bounds.proxies,) * bounds.controllers,
    )


def next_steps(world: World, bounds: Bounds, without: Safeguards = ALL_PRESENT) -> Iterator[Step]:
    """Yields all possible next steps. Raises InvariantError if one of them violates an invariant."""
    for proxy in range(bounds.proxies):
        for controller in range(bounds.controllers):
            yield from _joins(world, bounds, proxy, controller)
            yield from _applications(world, proxy, controller, without)
    for controller in range(bounds.controllers):
        yield from _renames(world, controller)
        yield from _process_changes(world, bounds, controller)
        if world.controllers[controller].state is ControllerState.UP:
            for proxy in range(bounds.proxies):
                yield from _reads(world, controller, proxy)
                yield from _new_updates(world, bounds, controller, proxy, without)


def _replaced(values: tuple[T, ...], index: int, value: T) -> tuple[T, ...]:
    return (*values[:index], value, *values[index + 1 :])


def _with_proxy(world: World, index: int, proxy: Proxy) -> World:
    return replace(world, proxies=_replaced(world.proxies, index, proxy))


def _with_controller(world: World, index: int, controller: Controller) -> World:
    return replace(world, controllers=_replaced(world.controllers, index, controller))


def _with_claim(world: World, controller: int, proxy: int, term: int) -> World:
    terms = _replaced(world.claimed_terms[controller], proxy, term)
    return replace(world, claimed_terms=_replaced(world.claimed_terms, controller, terms))


def _joins(world: World, bounds: Bounds, index: int, controller: int) -> Iterator[Step]:
    """A proxy may join at any time, as it cannot distinguish a hung controller from a live one."""
    proxy = world.proxies[index]
    if controller == proxy.follows or proxy.term >= bounds.terms:
        return
    joined = Proxy(proxy.term + 1, controller)
    moved = _with_claim(_with_proxy(world, index, joined), controller, index, joined.term)
    text = f"p{index} joins c{controller}"
    if proxy.follows != NOBODY:  # it removes its old file if it can access it
        yield Step(text, _with_claim(moved, proxy.follows, index, NO_TERM))
    yield Step(f"{text}, its old file stays", moved)


def _applications(world: World, index: int, controller: int, without: Safeguards) -> Iterator[Step]:
    proxy = world.proxies[index]
    update = world.updates[controller][index]
    if update is None or (controller != proxy.follows and Safeguard.FOLDER not in without):
        return
    applied = proxy.applied.version if proxy.applied and Safeguard.ORDER not in without else None
    verdict = check_update(proxy.term, applied, update.version, Safeguard.TERM not in without)
    if verdict is not UpdateVerdict.APPLY or update == proxy.applied:
        return
    _check_invariants(proxy, update)
    after = replace(proxy, applied=update, history=(*proxy.history, update))
    yield Step(f"p{index} applies {update.version} of c{controller}", _with_proxy(world, index, after))


def _check_invariants(proxy: Proxy, update: Update) -> None:
    """Checks the invariants when an update takes effect."""
    if any(earlier.controller != update.controller for earlier in proxy.history):
        raise InvariantError("single owner: updates of two controllers took effect in one term")
    if update.intended_term != proxy.term:
        raise InvariantError("current term: an update took effect that was issued for another term")
    position = (update.version.epoch, update.version.number)
    if any((earlier.version.epoch, earlier.version.number) > position for earlier in proxy.history):
        raise InvariantError("forward only: an older update took effect after a newer one")


def _renames(world: World, index: int) -> Iterator[Step]:
    """A rename can happen in any state of the controller."""
    controller = world.controllers[index]
    for position, (proxy, update) in enumerate(controller.pending):
        pending = (*controller.pending[:position], *controller.pending[position + 1 :])
        after = _with_controller(world, index, replace(controller, pending=pending))
        updates = _replaced(world.updates[index], proxy, update)
        yield Step(
            f"{update.version} is renamed into c{index}'s folder of p{proxy}",
            replace(after, updates=_replaced(world.updates, index, updates)),
        )


def _process_changes(world: World, bounds: Bounds, index: int) -> Iterator[Step]:
    controller = world.controllers[index]
    if controller.state is ControllerState.DEAD:
        restarted = Controller(
            epoch=controller.epoch + 1,
            believed_terms=(NO_TERM,) * bounds.proxies,
            pending=controller.pending,
        )
        yield Step(f"c{index} restarts", _with_controller(world, index, restarted))
        return
    if world.failures < bounds.failures:
        failed = replace(world, failures=world.failures + 1)
        dead = replace(controller, state=ControllerState.DEAD)
        yield Step(f"c{index} is killed", _with_controller(failed, index, dead))
        if controller.state is ControllerState.UP:
            hung = replace(controller, state=ControllerState.HUNG)
            yield Step(f"c{index} hangs", _with_controller(failed, index, hung))
    if controller.state is ControllerState.HUNG:
        resumed = replace(controller, state=ControllerState.UP)
        yield Step(f"c{index} resumes", _with_controller(world, index, resumed))


def _reads(world: World, index: int, proxy: int) -> Iterator[Step]:
    """The controller reads a proxy's file, or finds none."""
    controller = world.controllers[index]
    claimed = world.claimed_terms[index][proxy]
    believed = controller.believed_terms[proxy]
    claimed_controller = str(index) if claimed != NO_TERM else "nobody"
    claim = check_claim(str(index), claimed_controller, term=max(believed, 0), claimed_term=max(claimed, 0))
    read = claimed if claim is not OwnershipClaim.OUTDATED else NO_TERM
    if read != believed:
        believed_terms = _replaced(controller.believed_terms, proxy, read)
        after = replace(controller, believed_terms=believed_terms)
        yield Step(f"c{index} reads p{proxy}", _with_controller(world, index, after))


def _new_updates(world: World, bounds: Bounds, index: int, proxy: int, without: Safeguards) -> Iterator[Step]:
    controller = world.controllers[index]
    believed = controller.believed_terms[proxy]
    if believed == NO_TERM or controller.update_count >= bounds.updates:
        return
    term = believed if Safeguard.WRITTEN_TERM not in without else max(believed, world.proxies[proxy].term)
    version = Version(term, controller.epoch, controller.update_count + 1)
    rename = PendingRename(proxy, Update(index, version, believed))
    after = replace(
        controller,
        update_count=controller.update_count + 1,
        pending=(*controller.pending, rename),
    )
    yield Step(f"c{index} issues {version} for p{proxy}", _with_controller(world, index, after))
