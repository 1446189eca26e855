"""Options of the whole suite."""

from __future__ import annotations

import pytest

CI_SOAK_SEEDS = (3, 5, 8)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--soak-seeds", type=int, default=0, help="play the soak with seeds 1 to N instead of CI's"
    )
    parser.addoption("--soak-seed", type=int, default=0, help="play the soak with this seed alone")


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if "soak_seed" not in metafunc.fixturenames:
        return
    one = metafunc.config.getoption("--soak-seed")
    many = metafunc.config.getoption("--soak-seeds")
    seeds = [one] if one else list(range(1, many + 1)) or CI_SOAK_SEEDS
    metafunc.parametrize("soak_seed", seeds)
