"""What is sent, encoded once and compressed once for all who get the same, within bounds."""

from __future__ import annotations

import gzip
from collections import OrderedDict
from collections.abc import Callable, Hashable

import zstandard

ENCODINGS = (b"zstd", b"gzip")  # the best first
GZIP_LEVEL, ZSTD_LEVEL = 6, 3


def chosen(accepts: bytes) -> bytes:
    """The encoding for a caller with this `accept-encoding`; b'' for none."""
    fit: dict[bytes, float] = {}
    for part in accepts.lower().split(b",")[:20]:
        name, _, quality = part.strip().partition(b";")
        try:
            fit[name.strip()] = float(quality.partition(b"=")[2] or 1) if quality else 1.0
        except ValueError:
            fit[name.strip()] = 0.0
    usual = fit.get(b"*", 0.0)
    ranked = [(fit.get(name, usual), -k, name) for k, name in enumerate(ENCODINGS)]
    quality_of_best, _, best = max(ranked)
    return best if quality_of_best > 0 else b""


def pack(body: bytes, encoding: bytes) -> bytes:
    if encoding == b"zstd":
        return zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(body)
    return gzip.compress(body, GZIP_LEVEL, mtime=0)


class ResponseCache:
    """The least used goes first when there are more bytes than may be."""

    def __init__(self, most_bytes: int, compress_from: int) -> None:
        self._most, self._from = most_bytes, compress_from
        self._cache: OrderedDict[tuple[Hashable, bytes], bytes] = OrderedDict()
        self.size = self.encoded = self.compressed = self.hits = 0

    def get(self, key: Hashable, make: Callable[[], bytes], encoding: bytes) -> tuple[bytes, bytes]:
        """The bytes and their encoding.  `key` None: nobody else gets the same."""
        plain = self._plain(key, make)
        if not encoding or len(plain) < self._from:
            return plain, b""
        if key is None:
            self.compressed += 1
            return pack(plain, encoding), encoding
        found = self._cache.get((key, encoding))
        if found is None:
            found = pack(plain, encoding)
            self.compressed += 1
            self._keep((key, encoding), found)
        else:
            self._cache.move_to_end((key, encoding))
        return found, encoding

    def _plain(self, key: Hashable, make: Callable[[], bytes]) -> bytes:
        if key is None:
            self.encoded += 1
            return make()
        found = self._cache.get((key, b""))
        if found is not None:
            self.hits += 1
            self._cache.move_to_end((key, b""))
            return found
        self.encoded += 1
        body = make()
        self._keep((key, b""), body)
        return body

    def _keep(self, key: tuple[Hashable, bytes], body: bytes) -> None:
        if len(body) > self._most // 4:
            return
        self._cache[key] = body
        self.size += len(body)
        while self.size > self._most:
            self.size -= len(self._cache.popitem(last=False)[1])
