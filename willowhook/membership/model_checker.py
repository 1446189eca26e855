"""An explicit-state model checker: every world of the takeover model that can be reached, breadth first."""

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
    """What an exploration found.

    Attributes:
        world_count: the number of different worlds that were reached.
        step_count: the number of steps that were examined.
        violation: the invariant that does not hold; '': all hold.
        path: the shortest way there, a step each, and the violation.
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
    predecessors: dict[World, Step | None] = {start: None}  # the text of the step here, and the world before
    waiting = deque([start])
    step_count = 0
    while waiting:
        world = waiting.popleft()
        try:
            for text, following in next_steps(world, bounds, without):
                step_count += 1
                if following not in predecessors:
                    predecessors[following] = Step(text, world)
                    waiting.append(following)
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
