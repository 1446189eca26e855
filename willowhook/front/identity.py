"""Who calls: a proxy is who its credential says, whatever its node says."""

from __future__ import annotations

import hashlib
from typing import Protocol

import msgspec

from ..files.layout import PROXY_NAME

SCHEME = b"bearer "


class CredentialError(Exception):
    """A file of credentials that is none."""


class Identity(Protocol):
    """The seam for other credentials, such as a client's certificate, which the transport has verified."""

    def authenticate(self, headers: dict[bytes, bytes], peer: object) -> str | None:
        """The proxy's name; None if it cannot be told."""


class Listed(msgspec.Struct, forbid_unknown_fields=True):
    proxies: dict[str, str]


class BearerIdentity:
    """Tokens, of which only SHA-256 sums are known here; a sum names one proxy."""

    def __init__(self, data: bytes) -> None:
        """Raises CredentialError naming the place."""
        try:
            listed = msgspec.json.decode(data, type=Listed)
        except (msgspec.DecodeError, UnicodeDecodeError) as fault:
            raise CredentialError(f"no list of credentials: {fault}") from fault
        self._names: dict[bytes, str] = {}
        for name, told in listed.proxies.items():
            if not PROXY_NAME.match(name):
                raise CredentialError(f"$.proxies: {name[:80]!r} is no name of a proxy")
            try:
                sum_ = bytes.fromhex(told)
            except ValueError:
                sum_ = b""
            if len(sum_) != 32:
                raise CredentialError(f"$.proxies.{name}: not a SHA-256 sum in hex")
            if sum_ in self._names:
                raise CredentialError(f"$.proxies.{name}: the same as that of {self._names[sum_]}")
            self._names[sum_] = name

    def authenticate(self, headers: dict[bytes, bytes], peer: object) -> str | None:
        told = headers.get(b"authorization", b"")
        if told[: len(SCHEME)].lower() != SCHEME:
            return None
        # looked up by its sum: how long that takes tells nothing of the tokens
        return self._names.get(hashlib.sha256(told[len(SCHEME) :].strip()).digest())


class UnverifiedIdentity:
    """Whoever calls is taken for whom its node names: on loopback, for trials."""

    def authenticate(self, headers: dict[bytes, bytes], peer: object) -> str | None:
        return ""
