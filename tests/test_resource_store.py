"""The resource store: shared resources and sets, their versions, and deltas between them."""

from __future__ import annotations

import pytest

from willowhook.versions.resources import TABLES, ResourceStore, first_era, next_era, read_version


def test_sets_are_shared_and_content_that_comes_back_is_newer() -> None:
    store = ResourceStore(first_era(3, 7))
    one = store.make_set(TABLES, [("a", b"1"), ("b", b"2")])
    assert store.make_set(TABLES, [("a", b"1"), ("b", b"2")]) is one
    two = store.make_set(TABLES, [("a", b"1"), ("b", b"3")], one)
    assert two.resources["a"] is one.resources["a"] and two.order > one.order
    back = store.make_set(TABLES, [("a", b"1"), ("b", b"2")], two)
    assert (
        back.order > two.order
        and back.resources["b"].order > two.resources["b"].order
        and back.resources["a"] is one.resources["a"]
    )
    assert store.make_set(TABLES, [("a", b"1"), ("b", b"2")], two) is back  # the next that goes the same way
    delta = store.delta(one, two)
    assert [row.name for row in delta.changed] == ["b"] and store.delta(one, two) is delta
    assert store.delta({"a": one.resources["a"].version, "z": "1.1"}, one).removed == ("z",)
    version = one.version
    assert store.find(TABLES, version) is one
    assert next_era(first_era(9, 1), store.era) > first_era(9, 1 << 19)


@pytest.mark.parametrize("text", ["", "1", "1.", ".1", "a.b", "1.2.3", "-1.2", "1." + "9" * 60, "1.²"])
def test_malformed_version_is_not_read(text: str) -> None:
    assert read_version(text) is None
