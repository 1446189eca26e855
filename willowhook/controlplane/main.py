"""Starts a director as a process: logging, signals, exit codes."""

from __future__ import annotations

import logging
import signal
import sys
from functools import partial
from typing import Any

import structlog
import trio

from ..config.terms import Terms
from ..files.layout import FolderTaken
from .service import Service

TAKEN, BROKEN = 3, 4


class Lines:
    """Writes log lines to standard error; a log that cannot be written must not end a director."""

    def __init__(self) -> None:
        self._lost = 0

    def msg(self, text: str) -> None:
        try:
            lost = f"{self._lost} log lines were lost\n" if self._lost else ""
            sys.stderr.write(f"{lost}{text}\n")
            sys.stderr.flush()
            self._lost = 0
        except (OSError, ValueError):
            self._lost += 1

    info = warning = error = critical = debug = msg


def open_log(form: str) -> Any:
    """Lines on standard error, as JSON objects or for people."""
    if form == "json":
        render: Any = structlog.processors.JSONRenderer()
    else:
        render = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            render,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=Lines,
    )
    return structlog.get_logger()


def run(terms: Terms, log_format: str) -> int:
    """Runs until SIGTERM or SIGINT; gives the exit code."""
    log, code = open_log(log_format), 0
    try:
        trio.run(partial(_serve, terms, log))
    except* FolderTaken as faults:
        log.error("the folder is taken", cause=str(faults.exceptions[0]))
        code = TAKEN
    except* OSError as faults:
        log.error("the folder cannot be used", cause=str(faults.exceptions[0]))
        code = TAKEN
    except* Exception as faults:
        log.error("the director broke", exc_info=faults)
        code = BROKEN
    return code


async def _serve(terms: Terms, log: Any) -> None:
    service = Service(terms, log=log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_until_told, nursery.cancel_scope, log)
        await service.run()


async def _until_told(scope: trio.CancelScope, log: Any) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for each in signals:
            log.info("told to end", signal=signal.Signals(each).name)
            scope.cancel()
            return
