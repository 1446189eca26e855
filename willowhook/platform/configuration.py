"""The configuration of a controller: one JSON file, whose path is in an environment variable.

The keys of the file are used only here; `willowhook.settings_codec` reads those of its settings document.
"""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from ..decisions.settings import DeploymentSettings
from ..errors import WillowhookError
from ..settings_codec import decode_settings
from ..settings_fields import SettingsError
from .address import Address
from .endpoint_list import EMPTY_LIST
from .fields import Fields
from .framing import FramingError, decode_object

PATH_VARIABLE = "ROUTER_CONFIG"
NAME_VARIABLE = "ROUTER_NAME"  # the controller's name, if the file does not contain one
MAX_FILE_BYTES = 64 << 20
DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MAX_MEMORY_MB = 128
MAX_PORT = 65535
MAX_QUOTED_CHARACTERS = 60  # longer values are truncated in error messages

Value = TypeVar("Value")


class ConfigurationError(WillowhookError):
    """The configuration is invalid; the message says in one line what is wrong, and where."""


@dataclass(frozen=True, slots=True)
class ControllerConfiguration:
    """The configuration with which a controller starts.

    Attributes:
        name: the name of the controller.
        listen: the address at which it listens for proxies and collectors.
        discovery: the address of service discovery, which serves the endpoint list.
        seed: the seed of the controller's random numbers.
        max_descriptors: the number of file descriptors that the process may have open.
        max_memory_mb: the memory that the process may use, in MiB.
        endpoint_list: the last endpoint list of this controller, in the format of a discovery answer.
        settings: the settings of the deployment.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    max_memory_mb: float
    endpoint_list: Fields
    settings: DeploymentSettings


def read_configuration(environment: Mapping[str, str]) -> ControllerConfiguration:
    """Reads the file that PATH_VARIABLE names in `environment`. Raises ConfigurationError."""
    document = _load_document(environment.get(PATH_VARIABLE, ""))
    try:
        settings = decode_settings(_read_field(document, "settings", dict))
    except SettingsError as error:
        raise ConfigurationError(f"settings: {error}") from error
    limits = _read_field(document, "limits", dict, {})
    return ControllerConfiguration(
        endpoint_list=_read_field(document, "known", dict, EMPTY_LIST),
        name=_read_field(document, "name", str, environment.get(NAME_VARIABLE, "")),
        listen=_read_address(document, "listen"),
        discovery=_read_address(document, "discovery"),
        seed=int.from_bytes(str(document.get("seed", "")).encode(), "little"),
        max_descriptors=_read_field(limits, "sockets", int, DEFAULT_MAX_DESCRIPTORS),
        max_memory_mb=_read_memory_limit(limits),
        settings=settings,
    )


def _load_document(path: str) -> Fields:
    if not path:
        raise ConfigurationError(f"{PATH_VARIABLE} is not set")
    try:
        size = os.stat(path).st_size
        if size > MAX_FILE_BYTES:
            raise ConfigurationError(f"{PATH_VARIABLE}: a file of {size} bytes exceeds {MAX_FILE_BYTES}")
        return decode_object(Path(path).read_bytes())
    except OSError as error:
        raise ConfigurationError(f"{PATH_VARIABLE} cannot be read: {error.strerror}") from error
    except FramingError as error:
        raise ConfigurationError(f"{PATH_VARIABLE}: {error}") from error


def _read_field(
    document: Fields, key: str, expected_type: type[Value], default: Value | None = None
) -> Value:
    value = document.get(key, default)
    if value is None:
        raise ConfigurationError(f"{key} is missing")
    if type(value) is not expected_type:
        found = type(value).__name__
        raise ConfigurationError(f"{key}: expected {expected_type.__name__}, got {found}")
    return value


def _read_memory_limit(limits: Fields) -> float:
    value = limits.get("memory_mb", DEFAULT_MAX_MEMORY_MB)
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < math.inf:
        raise ConfigurationError(f"memory_mb: expected a number above 0, got {type(value).__name__}")
    return float(value)


def _read_address(document: Fields, key: str) -> Address:
    text = _read_field(document, key, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{key}: expected host:port, got {text[:MAX_QUOTED_CHARACTERS]!r}")
    return Address(host, int(port))
