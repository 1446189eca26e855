"""What an operator may ask of a store's folder: is it whole, what is in it, and to make it so again.

Repair never invents: it keeps what can be read, puts what cannot aside, and says which numbers are lost.
"""

from __future__ import annotations

import base64
import os
import shutil
from collections.abc import Iterator
from typing import Any

from .disk import RealDisk
from .store import LOST, MARKS, SEGMENT, SNAPSHOT, STORE_SPACE, Op, RecoveredStore, Store, StoreError, recover

ASIDE = "damaged"


def look(folder: str) -> RecoveredStore:
    """Raises StoreError if there is no store."""
    if not os.path.isdir(folder):
        raise StoreError(f"{folder}: not a folder")
    if not any(name.startswith((SEGMENT, SNAPSHOT)) for name in os.listdir(folder)):
        raise StoreError(f"{folder}: no store")
    return recover(RealDisk(), folder)


def check(folder: str) -> tuple[bool, list[str]]:
    """Whether all that was promised is there, and what there is to say."""
    got = look(folder)
    lines = [
        f"store {got.store_id:016x}, number {got.number}, epoch {got.epoch}, {got.report.frames} frames read"
    ]
    if got.report.snapshot:
        lines.append(f"  from {got.report.snapshot}")
    lines += [
        f"  {name}: {size} bytes of a tail that nobody was promised" for name, size in got.report.cut.items()
    ]
    lines += [f"  damage: {row.describe()}" for row in got.report.corruptions]
    entry = got.state.get(STORE_SPACE, {}).get(LOST)
    if entry is not None:
        lines.append(f"  lost before: {entry.value.decode(errors='replace')}")
    return not got.report.corruptions and entry is None, lines


def stats(folder: str) -> dict[str, Any]:
    got = look(folder)
    sizes = {name: os.stat(f"{folder}/{name}").st_size for name in sorted(os.listdir(folder))}
    kinds = {"segments": SEGMENT, "snapshots": SNAPSHOT, "marks": MARKS}
    made: dict[str, Any] = {
        what: {
            "files": sum(n.startswith(p) for n in sizes),
            "bytes": sum(s for n, s in sizes.items() if n.startswith(p)),
        }
        for what, p in kinds.items()
    }
    spaces = {
        space: {
            "entries": len(rows),
            "bytes": sum(len(entry.value) for entry in rows.values()),
            "oldest": min((entry.timestamp for entry in rows.values()), default=0),
            "newest": max((entry.timestamp for entry in rows.values()), default=0),
        }
        for space, rows in sorted(got.state.items())
    }
    return {
        "number": got.number,
        "epoch": got.epoch,
        "damage": len(got.report.corruptions),
        **made,
        "spaces": spaces,
    }


def dump(folder: str, space: str = "", key: str = "") -> Iterator[dict[str, Any]]:
    """Entries in the order of their keys; what is no text goes as base64."""
    got = look(folder)
    for name, rows in sorted(got.state.items()):
        if space and name != space:
            continue
        for each, entry in sorted(rows.items()):
            if key and each != key:
                continue
            row: dict[str, Any] = {"space": name, "key": each, "number": entry.number, "at": entry.timestamp}
            try:
                row["value"] = entry.value.decode()
            except UnicodeDecodeError:
                row["base64"] = base64.b64encode(entry.value).decode()
            yield row


def repair(folder: str, seen: bool) -> list[str]:
    """Raises StoreTaken, StoreError or OSError.  `seen`: what was lost is known, and is no longer told."""
    before = look(folder)
    bad = list(dict.fromkeys(row.file for row in before.report.corruptions))
    lines = [f"lost: {row.describe()}" for row in before.report.corruptions if row.last >= row.first]
    store = Store(folder)
    try:
        for name in bad:  # as it is, for whoever can read more of it
            if os.path.exists(f"{folder}/{name}"):
                os.makedirs(f"{folder}/{ASIDE}", exist_ok=True)
                shutil.copy2(f"{folder}/{name}", f"{folder}/{ASIDE}/{name}")
                lines.append(f"{name}: a copy is put aside in {ASIDE}")
        if seen and store.has_lost_entries:
            store.write([Op(STORE_SPACE, LOST, 0, None)])
            store.flush()
        for _ in range(2):  # the older of two snapshots is what segments are cleared by
            store.write([Op(STORE_SPACE, "repaired", 0, str(store.number).encode())])
            store.flush()
            list(store.compact())
    finally:
        store.close()
    return lines or ["nothing was damaged"]
