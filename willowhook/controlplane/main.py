"""Runs a controller as a process: logging, signals, exit codes."""

from __future__ import annotations

import logging
import signal
import sys
from functools import partial
from typing import Any

import structlog
import trio

from ..config.terms import Terms
from ..files.layout import FolderInUseError
from ..signals import receive_signals
from .service import Service

EXIT_CANNOT_START = 3
EXIT_FAILED = 4


class StandardErrorLogger:
    """Writes log lines to standard error; a failing write does not stop the controller."""

    def __init__(self) -> None:
        """Creates a logger without lost lines."""
        self._lost_lines = 0

    def msg(self, text: str) -> None:
        """Writes a line, preceded by the number of lines lost since the last successful write, if any."""
        try:
            lost = f"{self._lost_lines} log lines were lost\n" if self._lost_lines else ""
            sys.stderr.write(f"{lost}{text}\n")
            sys.stderr.flush()
            self._lost_lines = 0
        except (OSError, ValueError):
            self._lost_lines += 1

    info = warning = error = critical = debug = msg


def open_log(log_format: str) -> Any:
    """Creates a structlog logger that writes to standard error.

    Args:
        log_format: `json` for JSON objects, anything else for human-readable lines.
    """
    renderer: Any
    if log_format == "json":
        renderer = structlog.processors.JSONRenderer()
    else:
        renderer = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=StandardErrorLogger,
    )
    return structlog.get_logger()


def run(terms: Terms, log_format: str) -> int:
    """Runs a controller until SIGTERM or SIGINT and returns the exit code."""
    log = open_log(log_format)
    exit_code = 0
    try:
        trio.run(partial(_serve, terms, log))
    except* FolderInUseError as errors:
        log.error("controller folder is locked by another process", cause=str(errors.exceptions[0]))
        exit_code = EXIT_CANNOT_START
    except* OSError as errors:
        log.error("controller cannot start", cause=str(errors.exceptions[0]))
        exit_code = EXIT_CANNOT_START
    except* Exception as errors:
        log.error("controller failed", exc_info=errors)
        exit_code = EXIT_FAILED
    return exit_code


async def _serve(terms: Terms, log: Any) -> None:
    service = Service(terms, log=log)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_signal, nursery.cancel_scope, log)
        await service.run()


async def _cancel_on_signal(scope: trio.CancelScope, log: Any) -> None:
    with receive_signals(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            log.info("stopping on signal", signal=signal.Signals(number).name)
            scope.cancel()
            return
