"""What a director is told at its start: the configuration file that the environment names."""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..decisions.settings import DeploymentSettings
from ..settings_codec import SettingsError, decode_settings
from .fields import Fields
from .framing import FramingError, decode_object

PATH = "ROUTER_CONFIG"
MOST = 64 << 20  # bytes of a configuration


class Unusable(Exception):
    """What is wrong with the configuration, and where; one line."""


@dataclass(frozen=True, slots=True)
class Start:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # descriptors that the director may hold
    known: Fields  # the list as this director last had it, in discovery's form
    settings: DeploymentSettings


def read_start(environment: dict[str, str]) -> Start:
    """Raises Unusable.  The file holds all that the other variables say."""
    path = environment.get(PATH, "")
    if not path:
        raise Unusable(f"{PATH} is not set")
    try:
        size = os.stat(path).st_size
        if size > MOST:
            raise Unusable(f"{PATH}: {size} bytes")
        top = decode_object(Path(path).read_bytes())
    except OSError as fault:
        raise Unusable(f"{PATH} cannot be read: {fault.strerror}") from fault
    except FramingError as fault:
        raise Unusable(f"{PATH}: {fault}") from fault
    try:
        settings = decode_settings(_part(top, "settings", dict))
    except SettingsError as fault:
        raise Unusable(f"settings: {fault}") from fault
    limits, seed = _part(top, "limits", dict, {}), top.get("seed", "")
    known = _part(top, "known", dict, {"seq": 0, "whole": True, "hosts": []})
    name = _part(top, "name", str, environment.get("ROUTER_NAME", ""))
    return Start(
        name=name,
        listen=_address(top, "listen"),
        discovery=_address(top, "discovery"),
        seed=int.from_bytes(str(seed).encode(), "little"),
        sockets=int(_part(limits, "sockets", int, 1024)),
        known=known,
        settings=settings,
    )


def _part(top: Fields, key: str, form: type, missing: Any = None) -> Any:
    value = top.get(key, missing)
    if type(value) is not form:
        raise Unusable(f"{key} is missing" if value is None else f"{key} is {type(value).__name__}")
    return value


def _address(top: Fields, key: str) -> tuple[str, int]:
    text = _part(top, key, str)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        raise Unusable(f"{key} is no address with a port: {text[:60]!r}")
    return host, int(port)
