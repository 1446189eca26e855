"""What the components of a running controller share."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.terms import Terms
from ..decisions.settings import DeploymentSettings
from ..files.layout import Folder
from ..files.ops import FileOps
from ..records.writer import Records
from .clock import Clock
from .condition_log import ConditionLog, Logger
from .decider import EventHandler
from .decision_queue import DecisionQueue
from .memory import ControllerMemory

SEED_STRIDE = 1000  # between the seeds of two controllers: each start takes another one


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """The surroundings of a running controller.

    Attributes:
        terms: the configuration.
        settings: the configuration, as the decisions read it.
        folder: the controller's folder; it is open.
        ops: file operations.
        clock: of this process.
        records: the records file.
        log: the log.
        conditions: the log of what persists, such as a full disk.
        queue: to the decision task.
        handle: hands an event to the controller; for the decision task only.
        memory: what is stored for the next start; None: there is no store.
    """

    terms: Terms
    settings: DeploymentSettings
    folder: Folder
    ops: FileOps
    clock: Clock
    records: Records
    log: Logger
    conditions: ConditionLog
    queue: DecisionQueue
    handle: EventHandler
    memory: ControllerMemory | None

    @property
    def epoch(self) -> int:
        """How often this controller has been started."""
        return self.folder.epoch

    @property
    def seed(self) -> int:
        """The seed of random numbers: another one for each controller and each of its starts."""
        return self.terms.seed * SEED_STRIDE + self.epoch

    def now(self) -> int:
        """The current tick."""
        return self.clock.now()
