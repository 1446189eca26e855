"""The resource store: shared resources and sets, their versions, and deltas between them."""

from __future__ import annotations

import pytest

from willowhook.versions.resources import TABLES, ResourceStore, first_era, next_era, read_version


def test_sets_are_shared_and_content_that_comes_back_is_newer() -> None:
    store = ResourceStore(first_era(3, 7))
    first = store.make_set(TABLES, [("a", b"1"), ("b", b"2")])
    assert store.make_set(TABLES, [("a", b"1"), ("b", b"2")]) is first
    second = store.make_set(TABLES, [("a", b"1"), ("b", b"3")], first)
    assert second.resources["a"] is first.resources["a"] and second.resource_version > first.resource_version
    returned = store.make_set(TABLES, [("a", b"1"), ("b", b"2")], second)
    assert (
        returned.resource_version > second.resource_version
        and returned.resources["b"].resource_version > second.resources["b"].resource_version
        and returned.resources["a"] is first.resources["a"]
    )
    assert (
        store.make_set(TABLES, [("a", b"1"), ("b", b"2")], second) is returned
    )  # a later proxy with the same history
    delta = store.delta(first, second)
    assert [resource.name for resource in delta.changed] == ["b"] and store.delta(first, second) is delta
    assert store.delta({"a": first.resources["a"].version, "z": "1.1"}, first).removed == ("z",)
    version = first.version
    assert store.find(TABLES, version) is first
    assert next_era(first_era(9, 1), store.era) > first_era(9, 1 << 19)


@pytest.mark.parametrize("text", ["", "1", "1.", ".1", "a.b", "1.2.3", "-1.2", "1." + "9" * 60, "1.²"])
def test_malformed_version_is_not_read(text: str) -> None:
    assert read_version(text) is None
