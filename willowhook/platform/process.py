"""The server's process: its configuration, its exit code and its log."""

from __future__ import annotations

import os
import sys
import time
import traceback
from enum import IntEnum
from functools import partial

from .configuration import ConfigurationError, ControllerConfiguration, read_configuration
from .configuration_reload import ReadConfiguration
from .server import run_server


class ExitCode(IntEnum):
    """The exit codes of the process."""

    TERMINATED = 0
    CANNOT_START = 2
    INTERNAL_ERROR = 4


def write_log(text: str) -> None:
    """Writes one line, with the Unix time in seconds, to standard error."""
    try:
        sys.stderr.write(f"{time.time():.3f} {text}\n")
        sys.stderr.flush()
    except (OSError, ValueError):
        pass  # a failed write to the log must not stop the controller


def run_process() -> ExitCode:
    """Runs a server until a signal terminates it. Returns an `ExitCode`."""
    read_current_configuration = partial(read_configuration, dict(os.environ))
    try:
        configuration = read_current_configuration()
    except ConfigurationError as error:
        write_log(f"cannot start error={str(error)!r}")
        return ExitCode.CANNOT_START
    return _serve(configuration, read_current_configuration)


def _serve(configuration: ControllerConfiguration, read_current_configuration: ReadConfiguration) -> ExitCode:
    exit_code = ExitCode.TERMINATED
    try:
        run_server(configuration, read_current_configuration, write_log)
    except* OSError as errors:
        write_log(f"cannot listen address={configuration.listen} error={str(errors.exceptions[0])!r}")
        exit_code = ExitCode.CANNOT_START
    except* Exception as errors:
        traceback.print_exception(errors)
        write_log("stopped by an internal error")
        exit_code = ExitCode.INTERNAL_ERROR
    return exit_code
