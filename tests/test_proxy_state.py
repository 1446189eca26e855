"""Tests the desired state of proxies and the update messages built from it."""

from __future__ import annotations

from typing import Any

from controlplane_fixtures import ALL_ROUTES, MESSAGE_OVERHEAD, SETTINGS
from hypothesis import given, settings
from hypothesis import strategies as st

from willowhook.controlplane.proxy_state import ProxyStateBook, UpdateMessage
from willowhook.decisions.runtime import AdmissionLimit

HeldState = dict[int, dict[str, tuple[float, bool]]]  # by route and endpoint: weight, whether excluded


class ReferenceModel:
    """A reference model that derives the state of each proxy from all commands so far."""

    def __init__(self) -> None:
        self.weights: dict[int, dict[str, float]] = {}
        self.bound: dict[int, dict[int, int]] = {}
        self.excluded: set[str] = set()

    def state_of(self, proxy: int) -> HeldState:
        return {
            route: {
                endpoint: (weight, endpoint in self.excluded)
                for endpoint, weight in self.weights.get(table, {}).items()
            }
            for route, table in self.bound[proxy].items()
        }


def state_in(message: UpdateMessage) -> HeldState:
    view = message.view
    return {
        route: {endpoint: (weight, endpoint in view.excluded) for endpoint, weight in table.weights.items()}
        for route, table in view.bound.items()
    }


step = st.one_of(
    st.tuples(
        st.just("weight"), st.integers(0, 2), st.sampled_from("abcd"), st.sampled_from([0.0, 0.5, 1.0])
    ),
    st.tuples(st.just("exclude"), st.sampled_from("abcd"), st.booleans()),
    st.tuples(st.just("bind"), st.integers(0, 2), st.integers(0, 2), st.integers(0, 7)),
    st.tuples(st.just("join"), st.integers(0, 2)),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("flush")),
)


def play(book: ProxyStateBook, model: ReferenceModel, what: str, rest: list[Any]) -> None:
    """Applies one step to the `ProxyStateBook` and to the model."""
    if what == "weight":
        table, endpoint, weight = rest
        book.set_weight(table, endpoint, weight)
        weights = model.weights.setdefault(table, {})
        weights.pop(endpoint, None)
        if weight:
            weights[endpoint] = weight
    elif what == "exclude":
        (book.exclude_endpoint if rest[1] else book.readmit_endpoint)(rest[0])
        (model.excluded.add if rest[1] else model.excluded.discard)(rest[0])
    elif what == "bind" and rest[0] in book.proxies:
        routes = [route for route in range(3) if rest[2] == 0 or rest[2] >> route & 1]
        book.bind(rest[0], rest[1], routes)
        model.bound[rest[0]].update(dict.fromkeys(routes, rest[1]))
    elif what == "join":
        book.add_proxy(rest[0], "north", {})
        model.bound[rest[0]] = {}
    elif what == "leave":
        book.remove_proxy(rest[0])
    elif what == "flush":
        book.flush(0)


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.lists(step, max_size=60))
def test_every_message_holds_the_complete_state_as_of_its_own_flush(steps: list[Any]) -> None:
    sent: list[tuple[UpdateMessage, HeldState]] = []
    model = ReferenceModel()
    book = ProxyStateBook(SETTINGS, lambda message: sent.append((message, model.state_of(message.proxy))))
    for what, *rest in steps:
        play(book, model, what, rest)
    numbers = [message.number for message, _ in sent]
    assert numbers == sorted(set(numbers))
    for message, expected in sent:  # compared after all that came later: what was sent did not change
        assert state_in(message) == expected


def test_flush_sends_one_message_a_proxy_at_the_stated_cost() -> None:
    sent: list[UpdateMessage] = []
    book = ProxyStateBook(SETTINGS, sent.append)
    for proxy in (0, 1, 2):
        book.add_proxy(proxy, "north", {0: frozenset({"a"} if proxy == 2 else ())})
    book.set_weight(0, "a", 1.0)
    book.set_weight(0, "b", 1.0)
    book.set_admission(0, 0, AdmissionLimit(1, 5.0))
    book.exclude_endpoint("a")  # only proxy 2 has an entry for it, in its initial table
    book.bind(0, 0, ALL_ROUTES)
    book.send_sync_marker(7)
    book.flush(5)
    # one bind, two entries, one limit and one exclusion; the overhead and the marker
    assert [(m.proxy, m.cost_entries, m.marker) for m in sent] == [
        (2, 1 + MESSAGE_OVERHEAD + 1, 7),
        (0, 5 + MESSAGE_OVERHEAD + 1, 7),
    ]
    sent.clear()
    book.set_weight(0, "b", 0.5)
    book.flush(6)
    assert [(m.proxy, m.cost_entries, m.marker) for m in sent] == [(0, 1 + MESSAGE_OVERHEAD, None)]
