"""The platform's endpoint list: malformed entries, and answers that are older or implausible."""

from __future__ import annotations

import pytest
from platform_fixtures import list_entry

from willowhook.decisions.events import EndpointEntry, EndpointListReceived, EndpointState
from willowhook.platform.endpoint_list import (
    EndpointListDecoder,
    change_request_target,
    list_request_target,
)
from willowhook.platform.fields import MalformedFieldError

IN_SERVICE = EndpointState.IN_SERVICE


def test_request_targets_name_the_version_and_the_wait() -> None:
    assert list_request_target() == "/v1/servers"
    assert change_request_target(7, 2000) == "/v1/servers?after=7&wait_ms=2000"


def test_malformed_entry_is_replaced_by_the_last_valid_entry_of_its_endpoint() -> None:
    decoder = EndpointListDecoder()
    listed = decoder.decode({"seq": 7, "whole": True, "hosts": [list_entry("a"), list_entry("b", born_ms=0)]})
    first = EndpointEntry("a", IN_SERVICE, 17_000_000_000_005, 1.0, "fast", "north")
    assert listed.is_complete and listed.entries[0] == first
    assert listed.entries[1].started_at == 0
    malformed = [
        list_entry("a", health="odd"),
        list_entry("b", born_ms="x"),
        5,
        list_entry("c", share=-1),
        list_entry("d", "leaving"),
    ]
    answer = {"seq": 8, "whole": True, "hosts": malformed}
    with pytest.raises(MalformedFieldError):  # the entry without a name may be that of a missing endpoint
        decoder.decode(answer)
    repeated = [(entry.name, entry.state) for entry in decoder.decode(answer).entries]
    assert repeated == [("a", IN_SERVICE), ("b", IN_SERVICE), ("d", EndpointState.DRAINING)]
    assert decoder.version == 8 and decoder.malformed_entries == 8
    with pytest.raises(MalformedFieldError):
        decoder.decode({"seq": 9, "whole": True})
    assert decoder.version == 8
    change = decoder.decode({"seq": 9, "whole": False, "hosts": [list_entry("a", "left")]})
    assert change.entries[0].state is EndpointState.REMOVED


def test_older_list_or_one_without_names_is_refused_at_first() -> None:
    decoder = EndpointListDecoder()
    decoder.decode({"seq": 7, "whole": True, "hosts": [list_entry("a"), list_entry("b")]})
    for _ in range(2):  # changes of an older version are always refused
        with pytest.raises(MalformedFieldError):
            decoder.decode({"seq": 5, "whole": False, "hosts": [list_entry("a", "leaving")]})
    unchanged = decoder.decode({"seq": 5, "whole": False, "hosts": []})
    assert unchanged == EndpointListReceived(False, ())
    assert decoder.version == 7
    for _ in range(3):  # must not be accepted as an empty list
        with pytest.raises(MalformedFieldError):
            decoder.decode({"seq": 8, "whole": True, "hosts": [{"host": 5}, None]})
    assert decoder.decode({"seq": 8, "whole": True, "hosts": []}) == EndpointListReceived(True, ())
    restarted = {
        "seq": 2,
        "whole": True,
        "hosts": [list_entry("a")],
    }  # the discovery server restarted without its versions
    with pytest.raises(MalformedFieldError):
        decoder.decode(restarted)
    accepted = decoder.decode(restarted)
    assert accepted.is_complete and len(accepted.entries) == 1 and decoder.version == 2
