"""Authentication of proxies: a proxy is the one that its credential names, whatever its node says."""

from __future__ import annotations

import hashlib
from typing import Protocol

import msgspec

from ..files.layout import PROXY_NAME

SCHEME = b"bearer "


class CredentialError(Exception):
    """A credentials file is malformed."""


class Identity(Protocol):
    """How callers authenticate.

    Other kinds of credentials can implement it, such as a client certificate that the transport has verified.
    """

    def authenticate(self, headers: dict[bytes, bytes], peer: object) -> str | None:
        """Returns the name of the proxy, or None if the request has no known credential."""


class CredentialFile(msgspec.Struct, forbid_unknown_fields=True):
    """The credentials file: the SHA-256 of each proxy's token in hex, by the name of the proxy."""

    proxies: dict[str, str]


class BearerIdentity:
    """Authenticates proxies by bearer tokens, of which it holds only the SHA-256 hashes.

    Each hash names one proxy.
    """

    def __init__(self, data: bytes) -> None:
        """Reads a credentials file. Raises CredentialError, which names the place in the file."""
        try:
            credentials = msgspec.json.decode(data, type=CredentialFile)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CredentialError(f"malformed credentials file: {error}") from error
        self._names: dict[bytes, str] = {}
        for name, hex_hash in credentials.proxies.items():
            if not PROXY_NAME.match(name):
                raise CredentialError(f"$.proxies: {name[:80]!r} is not a proxy name")
            try:
                token_hash = bytes.fromhex(hex_hash)
            except ValueError:
                token_hash = b""
            if len(token_hash) != 32:
                raise CredentialError(f"$.proxies.{name}: not a SHA-256 hash in hex")
            if token_hash in self._names:
                raise CredentialError(f"$.proxies.{name}: same token hash as {self._names[token_hash]}")
            self._names[token_hash] = name

    def authenticate(self, headers: dict[bytes, bytes], peer: object) -> str | None:
        """Returns the proxy whose token the Authorization header has, or None."""
        authorization = headers.get(b"authorization", b"")
        if authorization[: len(SCHEME)].lower() != SCHEME:
            return None
        # looked up by the hash, so that the time of the lookup reveals nothing about the tokens
        return self._names.get(hashlib.sha256(authorization[len(SCHEME) :].strip()).digest())


class UnverifiedIdentity:
    """Trusts the node that a request names; for tests on loopback only."""

    def authenticate(self, headers: dict[bytes, bytes], peer: object) -> str | None:
        """Returns an empty name: the node of the request names the proxy."""
        return ""
