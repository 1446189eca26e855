"""Bytes and CPU of an xDS change, complete, as a delta and compressed: `python -m benchmarks.versions`.

One weight of one table changes, or all weights of all tables. A response body is encoded once for all
proxies, as the controller does, and each proxy is sent the same bytes. CPU times are medians of several
runs. For comparison, the response is encoded again for each proxy.
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
SIZES = ((86, 245, 4), (1000, 1000, 8))  # endpoints, proxies, tables


def encode_table(name: str, weights: dict[str, float]) -> bytes:
    entries = [
        (endpoint, "10.0.0.1", 8000 + k, "norte", weight, False)
        for k, (endpoint, weight) in enumerate(weights.items())
    ]
    return encode(tables.assignment(name, entries))


def cpu_ms(work: Callable[[], object]) -> float:
    durations = []
    for _ in range(RUNS):
        began = time.process_time()
        work()
        durations.append(time.process_time() - began)
    return statistics.median(durations) * 1000


def encode_complete(resources: ResourceSet) -> bytes:
    return encode_response(
        resources.version,
        forms.ASSIGNMENT,
        resources.version,
        [resource.body for resource in resources.resources.values()],
    )


def encode_delta(store: ResourceStore, old: ResourceSet, new: ResourceSet) -> bytes:
    delta = store.delta(old, new)
    changed = [
        forms.Resource(resource.name, resource.version, msgspec.Raw(resource.body))
        for resource in delta.changed
    ]
    return encode(
        forms.DeltaDiscoveryResponse(
            new.version, changed, forms.ASSIGNMENT, list(delta.removed), f"{old.version}-{new.version}"
        )
    )


def print_costs(title: str, store: ResourceStore, old: ResourceSet, new: ResourceSet, proxies: int) -> None:
    encoders: dict[str, Callable[[], bytes]] = {
        "complete": lambda: encode_complete(new),
        "delta": lambda: encode_delta(store, old, new),
    }
    size = len(encoders["complete"]())
    for form, build in encoders.items():
        body = build()
        zstd_body = zstandard.ZstdCompressor(level=3).compress(body)
        gzip_body = gzip.compress(body, 6, mtime=0)
        print(f"  {title}, {form}: {len(body)} bytes ({len(body) / size:.3f} of complete),"
              f" zstd {len(zstd_body)}, gzip {len(gzip_body)}")  # fmt: skip
        once_ms, each_ms = cpu_ms(build), cpu_ms(lambda build=build: [build() for _ in range(proxies)])  # type: ignore[misc]
        zstd_ms = cpu_ms(lambda body=body: zstandard.ZstdCompressor(level=3).compress(body))  # type: ignore[misc]
        gzip_ms = cpu_ms(lambda body=body: gzip.compress(body, 6, mtime=0))  # type: ignore[misc]
        print(f"  {title}, {form}: CPU {once_ms:.2f} ms once for all, {each_ms:.1f} ms again for each proxy,"
              f" zstd {zstd_ms:.2f} ms, gzip {gzip_ms:.2f} ms")  # fmt: skip


def main() -> None:
    for endpoints, proxies, table_count in SIZES:
        generator = random.Random(1)
        names = [f"host-{generator.getrandbits(24):06x}" for _ in range(endpoints)]
        weights = [
            {name: round(generator.uniform(0.2, 3.0), 4) for name in names} for _ in range(table_count)
        ]
        store = ResourceStore(first_era(1, 1))
        resources = [
            (f"d.1.t{k}", encode_table(f"d.1.t{k}", table_weights)) for k, table_weights in enumerate(weights)
        ]
        old = store.make_set("eds", resources)
        one_changed = [("d.1.t0", encode_table("d.1.t0", {**weights[0], names[0]: 0.7})), *resources[1:]]
        scaled = [
            {name: weight * 1.01 for name, weight in table_weights.items()} for table_weights in weights
        ]
        all_changed = [(name, encode_table(name, scaled[k])) for k, (name, _) in enumerate(resources)]
        print(f"{endpoints} endpoints, {proxies} proxies, {table_count} tables")
        print_costs("one weight of one table", store, old, store.make_set("eds", one_changed, old), proxies)
        print_costs("all weights of all tables", store, old, store.make_set("eds", all_changed, old), proxies)


if __name__ == "__main__":
    main()
