"""The operator's commands on a store's folder: check, dump, statistics and repair.

A repair never makes up entries: it keeps what can be read, keeps copies of corrupt files, and reports which
numbers are lost.
"""

from __future__ import annotations

import base64
import os
import shutil
from collections.abc import Iterator
from typing import Any

from .disk import RealDisk
from .store import (
    LOST_KEY,
    SEGMENT_PREFIX,
    SNAPSHOT_PREFIX,
    STORE_SPACE,
    WATERMARK_PREFIX,
    Op,
    RecoveredStore,
    Store,
    StoreError,
    recover,
)

COPIES_FOLDER = "damaged"


def read_store(folder: str) -> RecoveredStore:
    """Recovers the store in a folder without changing it. Raises StoreError if there is none."""
    if not os.path.isdir(folder):
        raise StoreError(f"{folder}: not a folder")
    if not any(name.startswith((SEGMENT_PREFIX, SNAPSHOT_PREFIX)) for name in os.listdir(folder)):
        raise StoreError(f"{folder}: contains no store")
    return recover(RealDisk(), folder)


def check(folder: str) -> tuple[bool, list[str]]:
    """Returns whether all committed entries are there, and the lines to print."""
    recovered = read_store(folder)
    lines = [
        f"store {recovered.store_id:016x}, number {recovered.number}, epoch {recovered.epoch}, "
        f"{recovered.report.frames} frames read"
    ]
    if recovered.report.snapshot:
        lines.append(f"  from {recovered.report.snapshot}")
    lines += [
        f"  {name}: {size} bytes of an interrupted write that was never acknowledged"
        for name, size in recovered.report.torn_tails.items()
    ]
    lines += [f"  damage: {corruption.describe()}" for corruption in recovered.report.corruptions]
    entry = recovered.state.get(STORE_SPACE, {}).get(LOST_KEY)
    if entry is not None:
        lines.append(f"  lost before: {entry.value.decode(errors='replace')}")
    return not recovered.report.corruptions and entry is None, lines


def stats(folder: str) -> dict[str, Any]:
    """Returns counts and sizes of files and spaces, as printed."""
    recovered = read_store(folder)
    sizes = {name: os.stat(f"{folder}/{name}").st_size for name in sorted(os.listdir(folder))}
    kinds = {"segments": SEGMENT_PREFIX, "snapshots": SNAPSHOT_PREFIX, "marks": WATERMARK_PREFIX}
    files: dict[str, Any] = {
        kind: {
            "files": sum(n.startswith(p) for n in sizes),
            "bytes": sum(s for n, s in sizes.items() if n.startswith(p)),
        }
        for kind, p in kinds.items()
    }
    spaces = {
        space: {
            "entries": len(entries),
            "bytes": sum(len(entry.value) for entry in entries.values()),
            "oldest": min((entry.timestamp for entry in entries.values()), default=0),
            "newest": max((entry.timestamp for entry in entries.values()), default=0),
        }
        for space, entries in sorted(recovered.state.items())
    }
    return {
        "number": recovered.number,
        "epoch": recovered.epoch,
        "damage": len(recovered.report.corruptions),
        **files,
        "spaces": spaces,
    }


def dump(folder: str, space: str = "", key: str = "") -> Iterator[dict[str, Any]]:
    """Yields the entries in the order of their keys; a value that is not UTF-8 is in base64."""
    recovered = read_store(folder)
    for name, entries in sorted(recovered.state.items()):
        if space and name != space:
            continue
        for entry_key, entry in sorted(entries.items()):
            if key and entry_key != key:
                continue
            printed: dict[str, Any] = {
                "space": name,
                "key": entry_key,
                "number": entry.number,
                "at": entry.timestamp,
            }
            try:
                printed["value"] = entry.value.decode()
            except UnicodeDecodeError:
                printed["base64"] = base64.b64encode(entry.value).decode()
            yield printed


def repair(folder: str, seen: bool) -> list[str]:
    """Rewrites a store as snapshots without corruption, and returns the lines to print.

    Args:
        folder: the folder of the store's files.
        seen: whether the operator knows of the loss, so that it is no longer reported.

    Raises:
        StoreInUseError: another process is the writer.
        StoreError: there is no store.
        OSError: the folder cannot be used.
    """
    before = read_store(folder)
    corrupt_files = list(dict.fromkeys(corruption.file for corruption in before.report.corruptions))
    lines = [
        f"lost: {corruption.describe()}"
        for corruption in before.report.corruptions
        if corruption.last >= corruption.first
    ]
    store = Store(folder)
    try:
        for name in corrupt_files:  # copied unchanged, in case another tool can read more of it
            if os.path.exists(f"{folder}/{name}"):
                os.makedirs(f"{folder}/{COPIES_FOLDER}", exist_ok=True)
                shutil.copy2(f"{folder}/{name}", f"{folder}/{COPIES_FOLDER}/{name}")
                lines.append(f"{name}: a copy is saved in {COPIES_FOLDER}")
        if seen and store.has_lost_entries:
            store.write([Op(STORE_SPACE, LOST_KEY, 0, None)])
            store.flush()
        for _ in range(2):  # segments are deleted only when the older of two snapshots covers them
            store.write([Op(STORE_SPACE, "repaired", 0, str(store.number).encode())])
            store.flush()
            list(store.compact())
    finally:
        store.close()
    return lines or ["no corruption found"]
