"""Bytes and CPU of a change: whole, by difference, and compressed; `python -m benchmarks.versions`.

One table of many changes one weight, all its weights, or all tables change.  Each body is made once for
all proxies, as in service; what a proxy is sent is its bytes.  Medians of several runs, beside a plain
rival: every proxy's answer encoded anew.
"""

from __future__ import annotations

import gzip
import random
import statistics
import time
from collections.abc import Callable

import msgspec
import zstandard

from willowhook.versions.resources import ResourceSet, ResourceStore, first_era
from willowhook.xds import forms, tables
from willowhook.xds.codec import encode, encode_response

RUNS = 7
SIZES = ((86, 245, 4), (1000, 1000, 8))  # hosts, proxies, tables


def table(name: str, weights: dict[str, float]) -> bytes:
    rows = [(h, "10.0.0.1", 8000 + k, "norte", w, False) for k, (h, w) in enumerate(weights.items())]
    return encode(tables.assignment(name, rows))


def timed(what: Callable[[], object]) -> float:
    times = []
    for _ in range(RUNS):
        began = time.process_time()
        what()
        times.append(time.process_time() - began)
    return statistics.median(times) * 1000


def whole(part: ResourceSet) -> bytes:
    return encode_response(
        part.version, forms.ASSIGNMENT, part.version, [row.body for row in part.resources.values()]
    )


def difference(core: ResourceStore, old: ResourceSet, new: ResourceSet) -> bytes:
    delta = core.delta(old, new)
    changed = [forms.Resource(row.name, row.version, msgspec.Raw(row.body)) for row in delta.changed]
    return encode(
        forms.DeltaDiscoveryResponse(
            new.version, changed, forms.ASSIGNMENT, list(delta.removed), f"{old.version}-{new.version}"
        )
    )


def told(what: str, core: ResourceStore, old: ResourceSet, new: ResourceSet, proxies: int) -> None:
    makes: dict[str, Callable[[], bytes]] = {
        "whole": lambda: whole(new),
        "difference": lambda: difference(core, old, new),
    }
    size = len(makes["whole"]())
    for form, make in makes.items():
        body = make()
        packed = zstandard.ZstdCompressor(level=3).compress(body)
        zipped = gzip.compress(body, 6, mtime=0)
        print(f"  {what}, {form}: {len(body)} bytes ({len(body) / size:.3f} of whole), zstd {len(packed)}, "
              f"gzip {len(zipped)}")  # fmt: skip
        once, each = timed(make), timed(lambda make=make: [make() for _ in range(proxies)])  # type: ignore[misc]
        pack = timed(lambda body=body: zstandard.ZstdCompressor(level=3).compress(body))  # type: ignore[misc]
        zip_ = timed(lambda body=body: gzip.compress(body, 6, mtime=0))  # type: ignore[misc]
        print(f"  {what}, {form}: CPU {once:.2f} ms once for all, {each:.1f} ms anew for each proxy, "
              f"zstd {pack:.2f} ms, gzip {zip_:.2f} ms")  # fmt: skip


def main() -> None:
    for hosts, proxies, count in SIZES:
        chance = random.Random(1)
        names = [f"host-{chance.getrandbits(24):06x}" for _ in range(hosts)]
        weights = [{name: round(chance.uniform(0.2, 3.0), 4) for name in names} for _ in range(count)]
        core = ResourceStore(first_era(1, 1))
        now = [(f"d.1.t{k}", table(f"d.1.t{k}", row)) for k, row in enumerate(weights)]
        old = core.make_set("eds", now)
        one = [("d.1.t0", table("d.1.t0", {**weights[0], names[0]: 0.7})), *now[1:]]
        scaled = [{name: w * 1.01 for name, w in row.items()} for row in weights]
        everything = [(n, table(n, scaled[k])) for k, (n, _) in enumerate(now)]
        print(f"{hosts} hosts, {proxies} proxies, {count} tables")
        told("one weight of one table", core, old, core.make_set("eds", one, old), proxies)
        told("all weights of all tables", core, old, core.make_set("eds", everything, old), proxies)


if __name__ == "__main__":
    main()
