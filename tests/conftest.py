"""Command-line options of the test suite."""

from __future__ import annotations

import pytest

CI_SOAK_SEEDS = (3, 5, 8)


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--soak-seeds",
        type=int,
        default=0,
        help="run the soak test with seeds 1 to N instead of the CI seeds",
    )
    parser.addoption("--soak-seed", type=int, default=0, help="run the soak test with this seed only")


def pytest_generate_tests(metafunc: pytest.Metafunc) -> None:
    if "soak_seed" not in metafunc.fixturenames:
        return
    single_seed = metafunc.config.getoption("--soak-seed")
    seed_count = metafunc.config.getoption("--soak-seeds")
    seeds = [single_seed] if single_seed else list(range(1, seed_count + 1)) or CI_SOAK_SEEDS
    metafunc.parametrize("soak_seed", seeds)
