"""Reads the files that a proxy writes: its status, its answers and its load reports.

The one module that knows the keys of `node.metadata`. All functions raise FormError on malformed input.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..files.layout import LOAD_FILE, PROXY_NAME, STATUS_FILE
from ..membership.version import Version, VersionError, parse_version
from ..xds import forms
from ..xds.codec import MessageFormatError, decode, read_response
from .proxy_resources import ProxyResources, read_proxy_resources

REQUEST_FILES = {f"{kind}.json": kind for kind in forms.TYPE_URLS}
PROXY_FILES = (STATUS_FILE, *REQUEST_FILES, LOAD_FILE)
MAX_USUAL_RATE_PER_SECOND = 1e7
MAX_TERM = 1e12
QUOTED_CHARACTERS = 80  # of a malformed value, in a message


@dataclass(frozen=True, slots=True)
class ProxyStatus:
    """A proxy's status file.

    Attributes:
        node: who the proxy is.
        term: the number of its session, counted over all controllers; 0: the proxy keeps no terms.
        held: the resources that it holds.
        usual_rate_per_second: the requests that usually reach it.
    """

    node: forms.Node
    term: int
    held: ProxyResources
    usual_rate_per_second: float


def check_proxy_name(name: str) -> None:
    """Raises FormError if a proxy's folder may not have this name."""
    if not PROXY_NAME.match(name):
        raise MessageFormatError("the folder's name is no name of a proxy")


def check_node(name: str, node: forms.Node) -> None:
    """Raises FormError if a file in the folder of `name` is of another node."""
    if node.id != name:
        raise MessageFormatError(f"node.id is {node.id[:QUOTED_CHARACTERS]!r}, in the folder of {name!r}")


def read_term(node: forms.Node) -> int:
    """The session's term as a node states it; 0 from a proxy that keeps none."""
    term = node.metadata.get("term", 0)
    if not isinstance(term, int | float) or not 0 <= term < MAX_TERM or term != int(term):
        raise MessageFormatError(f"node.metadata.term is {str(term)[:40]}, no whole number")
    return int(term)


def check_controller(controller: str, node: forms.Node) -> None:
    """Raises FormError if a joining proxy names another controller than this one."""
    named = node.metadata.get("director", controller)
    if named != controller:
        raise MessageFormatError(f"node.metadata.director is {named!r}, and this is {controller!r}")


def read_controller(node: forms.Node) -> str:
    """The name of the controller that the proxy follows; empty if it names none."""
    return str(node.metadata.get("director", ""))


def _read_usual_rate(node: forms.Node) -> float:
    try:
        rate = float(node.metadata.get("usual_calls_per_s", 0))
    except (TypeError, ValueError) as error:
        raise MessageFormatError("node.metadata.usual_calls_per_s is no number") from error
    if not 0 <= rate < MAX_USUAL_RATE_PER_SECOND:
        raise MessageFormatError(f"node.metadata.usual_calls_per_s is {rate:g}")
    return rate


def read_status(name: str, data: bytes, previous: Mapping[str, bytes] | None) -> ProxyStatus:
    """Reads the status file of the proxy `name`.

    Args:
        name: the name of the proxy.
        data: the file's bytes.
        previous: the files that a controller before this one left for the proxy, if any. If they are of this
            session, the proxy holds them, or will, rather than what its status said when it joined.
    """
    status = decode(data, forms.ClientConfig)
    check_node(name, status.node)
    held = read_proxy_resources([(row.type_url, bytes(row.xds_config)) for row in status.generic_xds_configs])
    term = read_term(status.node)
    if previous is not None:
        held_since = _read_previous(previous, term)
        held = held if held_since is None else held_since
    return ProxyStatus(status.node, term, held, _read_usual_rate(status.node))


def _read_previous(files: Mapping[str, bytes], term: int) -> ProxyResources | None:
    """The resources of a complete group of files; None if it is of another session or incomplete."""
    try:
        responses = [read_response(files[f"{kind}.json"], url) for kind, url in forms.TYPE_URLS.items()]
        if any(parse_version(response.version_info).term != term for response in responses):
            return None
        return read_proxy_resources(
            [(row.type_url, bytes(raw)) for row in responses for raw in row.resources]
        )
    except (KeyError, MessageFormatError, VersionError):
        return None


def read_requests(files: Mapping[str, bytes]) -> list[forms.DiscoveryRequest]:
    """The answers among a proxy's files."""
    return [decode(files[file], forms.DiscoveryRequest) for file in REQUEST_FILES if file in files]


def has_applied_any(requests: Iterable[forms.DiscoveryRequest]) -> bool:
    """Whether these answers name any version that the proxy has applied."""
    return any(request.version_info for request in requests)


def read_answered_version(kind: str, request: forms.DiscoveryRequest) -> Version | None:
    """The version that a request of this kind answers; None if it answers none."""
    expected = forms.TYPE_URLS[kind]
    if request.type_url != expected:
        raise MessageFormatError(f"type_url is {request.type_url[:QUOTED_CHARACTERS]!r}, not {expected!r}")
    if not request.response_nonce:
        return None
    try:
        return parse_version(request.response_nonce)
    except VersionError as error:
        raise MessageFormatError(f"response_nonce: {error}") from error
