"""An explicit-state model checker: breadth-first search of all reachable worlds of the takeover model."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from .takeover_model import (
    ALL_PRESENT,
    Bounds,
    InvariantError,
    Safeguards,
    Step,
    World,
    initial_world,
    next_steps,
)

MAX_WORLDS = 5_000_000


@dataclass(frozen=True)
class Exploration:
    """The result of an exploration.

    Attributes:
        world_count: the number of different worlds that were reached.
        step_count: the number of steps that were examined.
        violation: the invariant that was violated; '': none.
        path: the steps of the shortest path to the violation, and the violation itself.
    """

    world_count: int
    step_count: int
    violation: str
    path: list[str]


def explore(bounds: Bounds, without: Safeguards = ALL_PRESENT, max_worlds: int = MAX_WORLDS) -> Exploration:
    """Explores all worlds within the bounds, or up to the first violation, without some of the safeguards.

    Raises RuntimeError if there are more worlds than `max_worlds`.
    """
    start = initial_world(bounds)
    # By world: the step that led to it, with the world before that step.
    predecessors: dict[World, Step | None] = {start: None}
    frontier = deque([start])
    step_count = 0
    while frontier:
        world = frontier.popleft()
        try:
            for text, successor in next_steps(world, bounds, without):
                step_count += 1
                if successor not in predecessors:
                    predecessors[successor] = Step(text, world)
                    frontier.append(successor)
        except InvariantError as error:
            path = [*_path_to(world, predecessors), str(error)]
            return Exploration(len(predecessors), step_count, str(error), path)
        if len(predecessors) > max_worlds:
            raise RuntimeError(f"more than {max_worlds} worlds: lower the bounds")
    return Exploration(len(predecessors), step_count, "", [])


def _path_to(world: World, predecessors: dict[World, Step | None]) -> list[str]:
    path = []
    step = predecessors[world]
    while step is not None:
        path.append(step.text)
        step = predecessors[step.world]
    return path[::-1]
