"""The configuration of a controller: one JSON file, which the environment names.

The keys of the file stand here; those of the settings document are read by `willowhook.settings_codec`.
"""

from __future__ import annotations

import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from ..decisions.settings import DeploymentSettings
from ..errors import WillowhookError
from ..settings_codec import SettingsError, decode_settings
from .address import Address
from .endpoint_list import EMPTY_LIST
from .fields import Fields
from .framing import FramingError, decode_object

PATH_VARIABLE = "ROUTER_CONFIG"
NAME_VARIABLE = "ROUTER_NAME"  # of the controller, if the file does not say
MAX_FILE_BYTES = 64 << 20
DEFAULT_MAX_DESCRIPTORS = 1024
MAX_PORT = 65535
MAX_SHOWN_CHARACTERS = 60  # of a value, in the text of an error

Value = TypeVar("Value")


class ConfigurationError(WillowhookError):
    """The configuration is of no use; the text says in one line what is wrong, and where."""


@dataclass(frozen=True, slots=True)
class ControllerConfiguration:
    """What a controller knows at its start.

    Attributes:
        name: of the controller.
        listen: where proxies and collectors connect.
        discovery: where the endpoint list is.
        seed: of the controller's random numbers.
        max_descriptors: that the process may have open.
        endpoint_list: as this controller last had it, in the form of discovery's answers.
        settings: of the deployment.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int
    endpoint_list: Fields
    settings: DeploymentSettings


def read_configuration(environment: Mapping[str, str]) -> ControllerConfiguration:
    """Reads the file that the environment names. Raises ConfigurationError."""
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
        settings=settings,
    )


def _load_document(path: str) -> Fields:
    if not path:
        raise ConfigurationError(f"{PATH_VARIABLE} is not set")
    try:
        size = os.stat(path).st_size
        if size > MAX_FILE_BYTES:
            raise ConfigurationError(f"{PATH_VARIABLE}: {size} bytes, over {MAX_FILE_BYTES}")
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


def _read_address(document: Fields, key: str) -> Address:
    text = _read_field(document, key, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ConfigurationError(f"{key}: expected host:port, got {text[:MAX_SHOWN_CHARACTERS]!r}")
    return Address(host, int(port))
