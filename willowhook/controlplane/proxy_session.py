"""The publisher's view of one joined proxy."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..versions.rollout import Content, Unit
from .proxy_resources import ProxyResources
from .proxy_state import UpdateMessage
from .update_sinks import UpdateSink


@dataclass(slots=True)
class ProxySession:
    """A joined proxy, as one to whom orders go out."""

    number: int
    name: str
    term: int
    held: ProxyResources  # when it joined
    sink: UpdateSink
    is_http: bool = False
    marks: list[tuple[int, int, int]] = field(default_factory=list)  # message, mark, when ordered
    lies: int = 0  # the message that it reads now
    applied: int = 0
    unsent: UpdateMessage | None = None  # whose swap failed: the newest, which holds all
    later: tuple[int, UpdateMessage] | None = None  # held by the guard until then
    resend: tuple[int, int] | None = None  # when to look for its answer, and the wait
    newest: UpdateMessage | None = None  # as it was ordered
    contents: dict[int, tuple[tuple[Unit, Content], ...]] = field(default_factory=dict)  # by message
    replaced: bool = False  # something went out in place of what was ordered
