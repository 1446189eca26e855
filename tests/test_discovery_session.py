"""Discovery sessions: against a reference model of the proxy, in any order of events."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from willowhook.versions.discovery_session import DiscoverySession
from willowhook.versions.exchange import ResourceRequest, ResourceResponse
from willowhook.versions.resources import (
    CLUSTERS,
    KINDS,
    ROUTES,
    TABLES,
    Resource,
    ResourceSet,
    ResourceStore,
    first_era,
    read_version,
)


def references(resource: Resource) -> tuple[str, ...]:
    """Returns the names that a body of these tests refers to: those after its colon."""
    names = resource.body.decode().partition(":")[2]
    return tuple(names.split(",")) if names else ()


def exclude_from(table: Resource, excluded: frozenset[str]) -> bytes:
    return table.body


class RecordingListener:
    def __init__(self) -> None:
        self.applied: list[int] = []
        self.rejected: list[tuple[str, str]] = []
        self.versions: dict[str, tuple[str, str]] = {}

    def handle_applied(self, proxy: int, number: int) -> None:
        self.applied.append(number)

    def handle_rejected(self, proxy: int, resource: Resource, error: str) -> None:
        self.rejected.append((resource.name, resource.version))

    def handle_acknowledged(self, proxy: int, resources: ResourceSet) -> None:
        """Not needed by these tests."""

    def record_known_version(self, proxy: int, kind: str, version: str, state: str) -> None:
        self.versions[kind] = (version, state)


class Proxy:
    """A reference model of a proxy: it holds what it was sent last, and fails on versions that go back."""

    def __init__(self) -> None:
        self.rows: dict[str, dict[str, tuple[str, bytes]]] = {kind: {} for kind in KINDS}
        self.version = dict.fromkeys(KINDS, "")

    def holds(self, kind: str) -> dict[str, str]:
        return {name: version for name, (version, _) in self.rows[kind].items()}

    def apply(self, kind: str, response: ResourceResponse) -> None:
        new = read_version(response.resource_set.version)
        old = read_version(self.version[kind])
        if response.delta is None:
            assert new is not None and (old is None or new >= old), f"{old} goes back to {new}"
            self.rows[kind] = {
                name: (resource.version, resource.body)
                for name, resource in response.resource_set.resources.items()
            }
        else:
            for resource in response.delta.changed:
                held = self.rows[kind].get(resource.name)
                old_version = read_version(held[0]) if held else None
                new_version = read_version(resource.version)
                assert new_version is not None and (
                    old_version is None or new_version > old_version
                ), f"{resource.name} goes back"
                self.rows[kind][resource.name] = (resource.version, resource.body)
            for name in response.delta.removed:
                self.rows[kind].pop(name, None)
        self.version[kind] = response.resource_set.version
        self.check_references()

    def check_references(self) -> None:
        """All clusters and tables that its routes refer to are held: make before break."""
        for _, routes in self.rows[ROUTES].values():
            for cluster in routes.decode().partition(":")[2].split(","):
                assert cluster in self.rows[CLUSTERS], f"no cluster {cluster}"
                table = self.rows[CLUSTERS][cluster][1].decode().partition(":")[2]
                assert table in self.rows[TABLES], f"no table {table}"


def content(
    store: ResourceStore, session: DiscoverySession, tables: list[int], weight: int
) -> dict[str, ResourceSet]:
    bodies = {
        TABLES: [(f"t{n}", b"w%d" % weight) for n in tables],
        CLUSTERS: [(f"c{n}", b"x:t%d" % n) for n in tables],
        ROUTES: [("calls", b"r%d:" % (weight // 3) + ",".join(f"c{n}" for n in tables).encode())],
    }
    return {kind: store.make_set(kind, named, session.newest(kind)) for kind, named in bodies.items()}


class SessionMachine(RuleBasedStateMachine):
    """One proxy and one session: responses arrive, get lost, are rejected; both sides restart."""

    def __init__(self) -> None:
        super().__init__()
        self.store = ResourceStore(first_era(1, 5))
        self.listener = RecordingListener()
        self.proxy = Proxy()
        self.weight = 0
        self.salt = 5
        self.runs = 1
        self.open_session()

    def open_session(self) -> None:
        """A new session: the proxy says what it holds with the first request of each type."""
        held = {kind: [(n, body) for n, (_, body) in rows.items()] for kind, rows in self.proxy.rows.items()}
        self.session = DiscoverySession(1, self.store, self.listener, references, exclude_from, held)
        self.first = dict.fromkeys(KINDS, True)
        self.in_flight: dict[str, list[ResourceResponse]] = {kind: [] for kind in KINDS}
        self.nonce = dict.fromkeys(KINDS, "")
        self.number = 0

    @rule(tables=st.lists(st.integers(0, 3), min_size=1, max_size=3, unique=True), step=st.integers(0, 2))
    def update_is_wanted(self, tables: list[int], step: int) -> None:
        self.weight += step
        self.number += 1
        self.session.want(self.number, content(self.store, self.session, tables, self.weight), frozenset())

    def call(self, kind: str, whole: bool, error: str = "") -> None:
        first, self.first[kind] = self.first[kind], False
        request = ResourceRequest(
            kind,
            whole,
            first,
            version=self.proxy.version[kind] if whole else "",
            held_versions=self.proxy.holds(kind) if first and not whole else None,
            nonce=self.nonce[kind],
            error=error,
        )
        answer = self.session.handle_request(request)
        self.nonce[kind] = ""
        if answer is not None:
            self.session.record_sent(kind, answer)
            self.in_flight[kind] = [answer]  # it listens to the answer of its newest call alone

    @rule(kind=st.sampled_from(KINDS), whole=st.booleans())
    def ask(self, kind: str, whole: bool) -> None:
        self.call(kind, whole)

    @rule(kind=st.sampled_from(KINDS), whole=st.booleans())
    def response_arrives(self, kind: str, whole: bool) -> None:
        """An answer arrives, is applied, and its acknowledgement is the next call."""
        if self.in_flight[kind]:
            answer = self.in_flight[kind].pop()
            self.proxy.apply(kind, answer)
            self.nonce[kind] = answer.nonce
            self.call(kind, whole)

    @rule(kind=st.sampled_from(KINDS))
    def response_is_rejected(self, kind: str) -> None:
        if self.in_flight[kind]:
            answer = self.in_flight[kind].pop()
            assert kind != ROUTES or answer.resource_set.resources, "an empty set of routes"
            if kind == CLUSTERS:  # whatever is tried one by one, what its routes lead to stays
                for _, routes in self.proxy.rows[ROUTES].values():
                    assert set(routes.decode().partition(":")[2].split(",")) <= set(
                        answer.resource_set.resources
                    )
            self.nonce[kind] = answer.nonce
            self.call(kind, answer.delta is None, "no")

    @rule(kind=st.sampled_from(KINDS), arrived=st.booleans())
    def connection_lost(self, kind: str, arrived: bool) -> None:
        if self.in_flight[kind]:
            answer = self.in_flight[kind].pop()
            if arrived:
                self.proxy.apply(kind, answer)
        self.nonce[kind] = ""
        self.session.handle_connection_lost(kind)
        self.first[kind] = True

    @rule(kind=st.sampled_from(KINDS))
    def an_old_acknowledgement_comes_twice(self, kind: str) -> None:
        before = self.session.trackers[kind].known
        for nonce in ("7.7", "0-7.7", before.version if before is not None else "x"):
            self.session.trackers[kind].record_acknowledged(nonce)
        assert self.session.trackers[kind].known is before

    @rule()
    def proxy_restarts(self) -> None:
        """It comes back with what it acknowledged last, in a new session."""
        self.open_session()

    @rule(wiped=st.booleans())
    def controller_restarts(self, wiped: bool) -> None:
        """With nothing in memory; with its count of runs, or without."""
        self.runs = 1 if wiped else self.runs + 1
        self.salt = (self.salt * 7919 + 17) % (1 << 20)
        self.store = ResourceStore(first_era(self.runs, self.salt))
        self.open_session()

    @invariant()
    def known_version_is_true_or_uncertain(self) -> None:
        for kind in KINDS:
            tracker = self.session.trackers[kind]
            if tracker.certain_version and not self.in_flight[kind] and not self.first[kind]:
                told = tracker.known
                assert told is not None
                held = {name: body for name, (_, body) in self.proxy.rows[kind].items()}
                assert {n: row.body for n, row in told.resources.items()} == held

    @precondition(lambda self: self.number > 0)
    @rule(whole=st.booleans())
    def all_settles(self, whole: bool) -> None:
        """Left alone, a proxy that refuses nothing ends with just what is wanted of it."""
        bad = {kind: dict(self.session.trackers[kind].rejected) for kind in KINDS}
        for _ in range(30):
            quiet = not any(self.in_flight.values())
            for kind in KINDS:
                self.response_arrives(kind, whole)
                if not self.in_flight[kind]:
                    self.call(kind, whole)
                quiet = quiet and not self.in_flight[kind]
            if quiet:
                break
        else:
            raise AssertionError("answers without end")
        if any(bad.values()) or any(self.session._rejections.suspects.values()):
            return
        for kind in KINDS:
            wanted = self.session._offers.wanted[kind]
            held = {name: body for name, (_, body) in self.proxy.rows[kind].items()}
            assert held == {name: row.body for name, row in wanted.resources.items()}
        assert not self.session._pending  # the newest message is known to be applied


TestSessionMachine = SessionMachine.TestCase
TestSessionMachine.settings = settings(
    derandomize=True, max_examples=150, stateful_step_count=40, deadline=None
)


def joined(tables: list[int]) -> tuple[ResourceStore, RecordingListener, DiscoverySession, Proxy]:
    store, listener = ResourceStore(first_era(1, 1)), RecordingListener()
    session = DiscoverySession(1, store, listener, references, exclude_from, {})
    session.want(1, content(store, session, tables, 0), frozenset())
    return store, listener, session, Proxy()


def settle(session: DiscoverySession, proxy: Proxy, bad: str = "") -> int:
    """Requests until nothing is new, rejecting responses with body `bad`. Returns how many it rejected."""
    rejections = 0
    for _ in range(40):
        is_settled = True
        for kind in KINDS:
            response = session.handle_request(ResourceRequest(kind, False))
            while response is not None:
                is_settled = False
                session.record_sent(kind, response)
                if any(each.body.decode() == bad for each in response.delta.changed if response.delta):  # type: ignore[union-attr]
                    rejections += 1
                    response = session.handle_request(
                        ResourceRequest(kind, False, nonce=response.nonce, error="bad weights")
                    )
                else:
                    proxy.apply(kind, response)
                    response = session.handle_request(ResourceRequest(kind, False, nonce=response.nonce))
        if is_settled:
            return rejections
    raise AssertionError("responses without end")


def test_of_several_rejected_together_the_bad_one_is_found_and_never_sent_again() -> None:
    store, listener, session, proxy = joined([1, 2, 3])
    settle(session, proxy)
    assert listener.applied == [1] and listener.versions[TABLES][1] == "acknowledged"
    bodies = [("t1", b"w5"), ("t2", b"bad"), ("t3", b"w5")]
    session.want(2, {TABLES: store.make_set(TABLES, bodies, session.newest(TABLES))}, frozenset())
    assert settle(session, proxy, "bad") == 2  # once with the others, once alone
    assert [name for name, _ in listener.rejected] == ["t2"] and listener.versions[TABLES][1] == "refused"
    assert {name: body for name, (_, body) in proxy.rows[TABLES].items()} == {
        "t1": b"w5",
        "t2": b"w0",
        "t3": b"w5",
    }
    assert settle(session, proxy, "bad") == 0 and listener.applied == [1]
    assert session.states()[TABLES][2] == {"t1": "bad weights", "t2": "bad weights", "t3": "bad weights"}
    bodies[1] = ("t2", b"good")
    session.want(3, {TABLES: store.make_set(TABLES, bodies, session.newest(TABLES))}, frozenset())
    assert (
        settle(session, proxy, "bad") == 0
        and listener.applied == [1, 3]
        and not session.trackers[TABLES].rejected
    )
    assert session.trackers[TABLES].state == "acknowledged"


@pytest.mark.parametrize("whole", [False, True])
def test_a_proxy_that_rejects_everything_gets_a_bounded_number_of_responses(whole: bool) -> None:
    """Guards against a loop of rejections, also where a response only removes resources.

    In one run such a response was sent 478 times in 8 s.
    """
    store, listener = ResourceStore(first_era(1, 1)), RecordingListener()
    bodies = {TABLES: [("old", b"w")], CLUSTERS: [("c", b"x:old")], ROUTES: [("calls", b"r:c")]}
    session, proxy = DiscoverySession(1, store, listener, references, exclude_from, bodies), Proxy()
    response_count = 0
    for number, tables in ((2, [1]), (3, [3]), (4, [1, 2, 4])):
        session.want(number, content(store, session, tables, number), frozenset())
        for _ in range(20):
            for kind in KINDS:
                response = session.handle_request(ResourceRequest(kind, whole))
                while response is not None:
                    response_count += 1
                    assert response_count < 60, (
                        kind,
                        response.resource_set.versions(),
                        session._rejections.suspects,
                        session._rejections.retained,
                    )
                    session.record_sent(kind, response)
                    response = session.handle_request(
                        ResourceRequest(kind, whole, nonce=response.nonce, error="no")
                    )
    assert 3 <= response_count <= 30, response_count
    proxy.rows = {kind: {name: ("", body) for name, body in named} for kind, named in bodies.items()}
    session.want(5, content(store, session, [5], 99), frozenset())
    settle(session, proxy)
    assert listener.applied[-1] == 5


def test_a_rejected_resource_that_is_removed_is_forgotten() -> None:
    store, listener, session, proxy = joined([1, 2])
    settle(session, proxy)
    bodies = [("t1", b"w0"), ("t2", b"w0"), ("t9", b"bad")]
    session.want(2, {TABLES: store.make_set(TABLES, bodies, session.newest(TABLES))}, frozenset())
    assert settle(session, proxy, "bad") == 1 and "t9" not in proxy.rows[TABLES]
    session.want(3, {TABLES: store.make_set(TABLES, bodies[:2], session.newest(TABLES))}, frozenset())
    assert settle(session, proxy) == 0 and listener.applied[-1] == 3 and not session.trackers[TABLES].rejected


def test_halted_routes_go_back_to_those_before() -> None:
    store, listener, session, proxy = joined([1])
    settle(session, proxy)
    good = proxy.rows[ROUTES]["calls"][1]
    bad = store.make_set(ROUTES, [("calls", b"odd:c1")], session.newest(ROUTES))
    session.want(2, {ROUTES: bad}, frozenset())
    settle(session, proxy)
    assert proxy.rows[ROUTES]["calls"][1] == b"odd:c1"
    assert session.halt(bad.resources["calls"])
    settle(session, proxy)
    assert proxy.rows[ROUTES]["calls"][1] == good  # under a newer version, as the proxy model verifies
    session.want(
        3, {ROUTES: store.make_set(ROUTES, [("calls", b"new:c1")], session.newest(ROUTES))}, frozenset()
    )
    settle(session, proxy)
    assert proxy.rows[ROUTES]["calls"][1] == b"new:c1" and listener.applied[-1] == 3


def test_a_subscription_limits_the_resources_and_may_change_while_a_request_waits() -> None:
    store, _, session, proxy = joined([1, 2, 3])
    response = session.handle_request(
        ResourceRequest(TABLES, False, is_first=True, held_versions={}, subscribe=("t1",))
    )
    assert response is not None and list(response.resource_set.resources) == ["t1"]
    session.record_sent(TABLES, response)
    proxy.apply(TABLES, response)
    assert session.handle_request(ResourceRequest(TABLES, False, nonce=response.nonce)) is None  # it waits
    more = session.handle_request(ResourceRequest(TABLES, False, subscribe=("t3",)))
    assert (
        more is not None
        and more.delta is not None
        and [resource.name for resource in more.delta.changed] == ["t3"]
    )
    session.record_sent(TABLES, more)
    less = session.handle_request(ResourceRequest(TABLES, False, nonce=more.nonce, unsubscribe=("t1",)))
    assert less is not None and less.delta is not None and less.delta.removed == ("t1",)
    session.record_sent(TABLES, less)
    again = session.handle_request(
        ResourceRequest(TABLES, False, nonce=less.nonce, subscribe=("t3",))
    )  # a resource that is subscribed to again is sent again
    assert (
        again is not None
        and again.delta is not None
        and [resource.name for resource in again.delta.changed] == ["t3"]
    )
    everything = session.handle_request(ResourceRequest(TABLES, True))
    assert everything is not None and len(everything.resource_set.resources) == 3


def test_a_controller_that_lost_its_count_goes_on_above_what_the_proxy_has() -> None:
    store = ResourceStore(first_era(1, 3))
    session = DiscoverySession(1, store, RecordingListener(), references, exclude_from, {})
    session.want(1, content(store, session, [1], 0), frozenset())
    ahead = f"{first_era(40, 9)}.17"
    response = session.handle_request(ResourceRequest(TABLES, True, is_first=True, version=ahead))
    assert response is not None
    version, reported = read_version(response.resource_set.version), read_version(ahead)
    assert version is not None and reported is not None and version > reported
    era = store.era
    for invalid in (f"{1 << 62}.1", "x.y", "9" * 50):
        session.handle_request(ResourceRequest(TABLES, True, is_first=True, version=invalid))
    assert store.era == era
