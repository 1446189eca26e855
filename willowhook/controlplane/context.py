"""What the components of a running controller share."""

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

SEED_STRIDE = 1000  # between the seeds of two controllers: each start of a controller adds 1


@dataclass(frozen=True, slots=True)
class ServiceContext:
    """What the components of a running controller share.

    Attributes:
        terms: the configuration.
        settings: the configuration, as the decisions read it.
        folder: the controller's folder; it is open.
        ops: file operations.
        clock: the clock of this process.
        records: the records file.
        log: the log.
        conditions: the log of persisting conditions, such as a full disk.
        queue: the queue of events for the decision task.
        handle: hands an event to the controller; only the decision task may call it.
        memory: what is stored for the next start; None: there is no store.
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
        """Makes the context of a controller whose folder is open; also opens the store of the controller."""
        conditions = ConditionLog(log, records, clock.now)
        memory = _open_memory(terms, folder.epoch, conditions)
        queue = DecisionQueue()
        return cls(terms, settings, folder, ops, clock, records, log, conditions, queue, handle, memory)

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


def _open_memory(terms: Terms, epoch: int, conditions: ConditionLog) -> ControllerMemory | None:
    """Returns the memory; None if none is configured or it cannot be used, as a controller needs none."""
    store = terms.store
    if not store.folder:
        return None
    max_age_ticks = ticks_from_milliseconds(store.lasts_ms)
    try:
        return ControllerMemory(store.folder, terms.name, epoch, max_age_ticks, conditions.announce)
    except (StoreError, OSError) as error:
        conditions.report("store", True, "store unavailable", cause=str(error))
        return None
