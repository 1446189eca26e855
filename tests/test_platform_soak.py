"""The soak: life cycles of real controller processes, drawn from seeds, checked from outside."""

from __future__ import annotations

from concurrent.futures import ThreadPoolExecutor
from dataclasses import replace
from pathlib import Path

import soak_faults
from soak import Disturbance, SoakPlan, SoakRun, allow_descriptors, draw_plan
from soak_faults import FAULTS

COMMAND = ".venv-dev/bin/python -m pytest -q tests/test_platform_soak.py --soak-seed {seed}"
RUNS_AT_ONCE = 4
PLAN_OF_FAULTS = SoakPlan(
    seed=1,
    proxies=5,
    endpoints=12,
    crowd=40,
    message_cap=4,
    overload_factor=1.5,
    sends_changes=True,
    disturbances=(Disturbance.CROWD, *[Disturbance.RECONNECT] * 5),
)
PLANS_OF_FAULTS = {
    "bound without a list": replace(
        PLAN_OF_FAULTS, disturbances=(*[Disturbance.KILL_WITHOUT_DISCOVERY] * 3,)
    ),
}


def test_soak_keeps_the_rules(tmp_path: Path, soak_seed: int) -> None:
    allow_descriptors()
    plan = draw_plan(soak_seed)
    findings = SoakRun(plan, tmp_path).run()
    assert not findings, f"{plan}\n{COMMAND.format(seed=soak_seed)}\n" + "\n".join(findings)


def test_soak_finds_each_fault_that_is_put_in_by_hand(tmp_path: Path) -> None:
    allow_descriptors()

    def find(name: str) -> list[str]:
        run = SoakRun(
            PLANS_OF_FAULTS.get(name, PLAN_OF_FAULTS), tmp_path / name, (soak_faults.__file__, name)
        )
        return run.run()

    with ThreadPoolExecutor(RUNS_AT_ONCE) as pool:
        findings = dict(zip(FAULTS, pool.map(find, FAULTS), strict=True))
    missed = [name for name, found in findings.items() if FAULTS[name].finding not in "\n".join(found)]
    assert not missed, {name: findings[name] for name in missed}
