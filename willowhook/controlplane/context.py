"""The shared context of the components of a running controller."""

from __future__ import annotations

from dataclasses import dataclass

from ..config.terms import Terms
from ..decisions.settings import DeploymentSettings
from ..files.layout import ControllerFolder
from ..files.ops import FileOps
from ..records.writer import RecordWriter
from ..store.store import StoreError
from ..ticks import ticks_from_milliseconds
from .clock import Clock
from .condition_log import ConditionLog, Logger
from .decider import EventHandler
from .decision_queue import DecisionQueue
from .memory import ControllerMemory

SEED_STRIDE = 1000  # distance between the seeds of two controllers; each start of one adds 1


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """The objects that all components of a running controller share.

    Attributes:
        terms: the configuration.
        settings: the settings of the decisions, derived from the configuration.
        folder: the controller's folder, already opened.
        ops: file operations.
        clock: the clock of this process.
        records: the records file.
        log: the log.
        conditions: the log of persistent conditions, such as a full disk.
        queue: the queue of events for the decision task.
        handle: passes an event to the controller; only the decision task may call it.
        memory: the controller's persistent state; None if no store is configured or usable.
    """

    terms: Terms
    settings: DeploymentSettings
    folder: ControllerFolder
    ops: FileOps
    clock: Clock
    records: RecordWriter
    log: Logger
    conditions: ConditionLog
    queue: DecisionQueue
    handle: EventHandler
    memory: ControllerMemory | None

    @classmethod
    def open(
        cls,
        terms: Terms,
        settings: DeploymentSettings,
        folder: ControllerFolder,
        ops: FileOps,
        clock: Clock,
        records: RecordWriter,
        log: Logger,
        handle: EventHandler,
    ) -> ServiceContext:
        """Creates the context of a controller whose folder is open, and opens its store."""
        conditions = ConditionLog(log, records, clock.now)
        memory = _open_memory(terms, folder.epoch, conditions)
        queue = DecisionQueue()
        return cls(terms, settings, folder, ops, clock, records, log, conditions, queue, handle, memory)

    @property
    def epoch(self) -> int:
        """The number of starts of this controller, including the current one."""
        return self.folder.epoch

    @property
    def seed(self) -> int:
        """The random seed, which differs between controllers and between starts of one controller."""
        return self.terms.seed * SEED_STRIDE + self.epoch

    def now(self) -> int:
        """Returns the current tick."""
        return self.clock.now()


def _open_memory(terms: Terms, epoch: int, conditions: ConditionLog) -> ControllerMemory | None:
    """Opens the persistent state; None if there is no usable store, as a controller runs without one."""
    store = terms.store
    if not store.folder:
        return None
    max_age_ticks = ticks_from_milliseconds(store.lasts_ms)
    try:
        return ControllerMemory(store.folder, terms.name, epoch, max_age_ticks, conditions.announce)
    except (StoreError, OSError) as error:
        conditions.report("store", True, "store unavailable", cause=str(error))
        return None
