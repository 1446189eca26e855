"""Time to parse and import an nginx configuration, by its size: `python -m benchmarks.nginx [--most BYTES]`.

The files are generated: twenty upstreams of eight servers, then locations. For comparison, one regular
expression splits the same text into words, without a syntax tree and without errors. Times are medians.
"""

from __future__ import annotations

import argparse
import re
import resource
import statistics
import time
from collections.abc import Callable

from willowhook.nginx.plan import ImportOptions
from willowhook.nginx.syntax import WORD, parse
from willowhook.nginx.verdicts import diagnose


def generate_configuration(size: int) -> str:
    blocks = ["events { worker_connections 1024; }\nhttp {\n"]
    for k in range(20):
        servers = "".join(f"    server 10.0.{k}.{h}:8080 weight={h + 1} max_fails=3;\n" for h in range(8))
        blocks.append(f"  upstream tasks{k} {{\n{servers}    keepalive 32;\n  }}\n")
    blocks.append("  server {\n    listen 8080;\n    server_name tasks.example;\n")
    length, index = sum(map(len, blocks)), 0
    while length < size:
        blocks.append(
            f"    location /unit-{index}/ {{\n      proxy_pass http://tasks{index % 20};\n"
            "      proxy_set_header Host $host; # kept\n"
            '      proxy_set_header X-Forwarded-For "$proxy_add_x_forwarded_for";\n'
            "      proxy_next_upstream error timeout;\n      proxy_read_timeout 5s;\n    }\n"
        )
        length, index = length + len(blocks[-1]), index + 1
    return "".join([*blocks, "  }\n}\n"])


def median_s(work: Callable[[], object], times: int) -> float:
    durations = []
    for _ in range(times):
        began = time.perf_counter()
        work()
        durations.append(time.perf_counter() - began)
    return statistics.median(durations)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--most", type=int, default=10_000_000)
    largest_size = parser.parse_args().most
    word = re.compile(f"{WORD}|[{{}};]", re.DOTALL)
    print("bytes       directives   parse s  import s   us a directive   parse / split      peak MB")
    for size in (1_000, 10_000, 100_000, 1_000_000, 10_000_000):
        if size > largest_size:
            break
        source, times = generate_configuration(size), 5 if size < 1_000_000 else 3 if size < 5_000_000 else 1
        tree = parse(source)
        count = sum(1 for top in tree for _ in top.walk())
        parse_s = median_s(lambda source=source: parse(source), times)  # type: ignore[misc]
        split_s = median_s(lambda source=source: word.findall(source), times)  # type: ignore[misc]
        import_s = median_s(lambda tree=tree: diagnose(tree, ImportOptions(mutating=("/unit-7",))), times)  # type: ignore[misc]
        peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
        us_per_directive = (parse_s + import_s) / count * 1e6
        print(f"{len(source):<11} {count:<12} {parse_s:<8.4f} {import_s:<10.4f} {us_per_directive:<16.1f} "
              f"{parse_s / split_s:<18.1f} {peak_mb:.0f}")  # fmt: skip


if __name__ == "__main__":
    main()
