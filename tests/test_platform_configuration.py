"""The configuration file of the platform server, at startup and at a reload."""

from __future__ import annotations

import json
from dataclasses import replace
from pathlib import Path

import pytest
import trio
from platform_process import SETTINGS
from trio.testing import MockClock

from willowhook.platform.address import Address
from willowhook.platform.configuration import (
    PATH_VARIABLE,
    ConfigurationError,
    ControllerConfiguration,
    read_configuration,
)
from willowhook.platform.configuration_reload import RETRY_DELAYS_S, ConfigurationReloader

MINIMAL = {"settings": SETTINGS, "listen": "127.0.0.1:7001", "discovery": "127.0.0.1:7002"}


def write_configuration(folder: Path, text: str) -> dict[str, str]:
    (folder / "c.json").write_text(text)
    return {PATH_VARIABLE: str(folder / "c.json")}


@pytest.mark.parametrize(
    ("text", "why"),
    [
        ("{", "invalid JSON"),
        ('{"name": "n"}', "settings is missing"),
        ('{"settings": {}}', "is missing"),
        (json.dumps({"settings": SETTINGS, "listen": "here"}), "listen"),
        (json.dumps({**MINIMAL, "discovery": 5}), "discovery: expected str, got int"),
        (json.dumps({**MINIMAL, "discovery": "127.0.0.1:65536"}), "discovery: expected host:port"),
        (json.dumps({**MINIMAL, "limits": {"sockets": True}}), "sockets: expected int, got bool"),
    ],
)
def test_invalid_configuration_is_refused_with_a_one_line_error(tmp_path: Path, text: str, why: str) -> None:
    with pytest.raises(ConfigurationError, match=why) as caught:
        read_configuration(write_configuration(tmp_path, text))
    assert "\n" not in str(caught.value)
    with pytest.raises(ConfigurationError, match="not set"):
        read_configuration({})


def test_omitted_keys_have_defaults(tmp_path: Path) -> None:
    environment = {**write_configuration(tmp_path, json.dumps(MINIMAL)), "ROUTER_NAME": "n3"}
    configuration = read_configuration(environment)
    assert configuration.name == "n3" and configuration.max_descriptors == 1024
    assert configuration.listen == Address("127.0.0.1", 7001)
    assert str(configuration.discovery) == "127.0.0.1:7002"
    assert configuration.seed == 0
    assert configuration.endpoint_list == {"seq": 0, "whole": True, "hosts": []}


def reload_after_failures(
    failures: int, configuration: ControllerConfiguration
) -> tuple[int, float, list[str]]:
    """Reloads a file whose first reads fail; returns the number of applications, the duration and the log."""
    log: list[str] = []
    applied: list[ControllerConfiguration] = []
    outcomes = iter([None] * failures)

    def read() -> ControllerConfiguration:
        for _ in outcomes:
            raise ConfigurationError("half written")
        return configuration

    async def main() -> float:
        started_at = trio.current_time()
        await ConfigurationReloader(read, applied.append, log.append).reload()
        return trio.current_time() - started_at

    duration_s = trio.run(main, clock=MockClock(autojump_threshold=0))
    return len(applied), duration_s, log


def test_reload_retries_with_backoff_and_logs_the_first_failure_only(tmp_path: Path) -> None:
    configuration = read_configuration(write_configuration(tmp_path, json.dumps(MINIMAL)))
    configuration = replace(configuration, max_descriptors=99)
    reloaded = "configuration reloaded discovery=127.0.0.1:7002 max_descriptors=99"
    failed = "configuration reload failed error='half written'"
    assert reload_after_failures(0, configuration) == (1, 0.0, [reloaded])
    applied, duration_s, log = reload_after_failures(3, configuration)
    assert (applied, log) == (1, [failed, reloaded]) and duration_s == pytest.approx(0.7)
    applied, duration_s, log = reload_after_failures(6, configuration)
    assert (applied, log) == (0, [failed]) and duration_s == pytest.approx(sum(RETRY_DELAYS_S))
