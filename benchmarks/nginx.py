"""Reading and importing a configuration against its size: `python -m benchmarks.nginx [--most BYTES]`.

Generated files: twenty upstreams of eight hosts, then locations.  Plain rival: splitting the same text into
words by one expression, which builds no tree and finds no fault.  Times are medians.
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


def text(size: int) -> str:
    rows = ["events { worker_connections 1024; }\nhttp {\n"]
    for k in range(20):
        hosts = "".join(f"    server 10.0.{k}.{h}:8080 weight={h + 1} max_fails=3;\n" for h in range(8))
        rows.append(f"  upstream tasks{k} {{\n{hosts}    keepalive 32;\n  }}\n")
    rows.append("  server {\n    listen 8080;\n    server_name tasks.example;\n")
    made, k = sum(map(len, rows)), 0
    while made < size:
        rows.append(
            f"    location /unit-{k}/ {{\n      proxy_pass http://tasks{k % 20};\n"
            "      proxy_set_header Host $host; # kept\n"
            '      proxy_set_header X-Forwarded-For "$proxy_add_x_forwarded_for";\n'
            "      proxy_next_upstream error timeout;\n      proxy_read_timeout 5s;\n    }\n"
        )
        made, k = made + len(rows[-1]), k + 1
    return "".join([*rows, "  }\n}\n"])


def median(what: Callable[[], object], times: int) -> float:
    found = []
    for _ in range(times):
        began = time.perf_counter()
        what()
        found.append(time.perf_counter() - began)
    return statistics.median(found)


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--most", type=int, default=10_000_000)
    most = parser.parse_args().most
    word = re.compile(f"{WORD}|[{{}};]", re.DOTALL)
    print("bytes       directives   read s   import s   us a directive   read / splitting   peak MB")
    for size in (1_000, 10_000, 100_000, 1_000_000, 10_000_000):
        if size > most:
            break
        source, times = text(size), 5 if size < 1_000_000 else 3 if size < 5_000_000 else 1
        rows = parse(source)
        count = sum(1 for top in rows for _ in top.walk())
        read = median(lambda source=source: parse(source), times)  # type: ignore[misc]
        plain = median(lambda source=source: word.findall(source), times)  # type: ignore[misc]
        done = median(lambda rows=rows: diagnose(rows, ImportOptions(mutating=("/unit-7",))), times)  # type: ignore[misc]
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1000
        each = (read + done) / count * 1e6
        print(f"{len(source):<11} {count:<12} {read:<8.4f} {done:<10.4f} {each:<16.1f} "
              f"{read / plain:<18.1f} {peak:.0f}")  # fmt: skip


if __name__ == "__main__":
    main()
