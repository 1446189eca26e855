"""A bounded cache of response bodies: each is encoded and compressed once for all proxies that receive it."""

from __future__ import annotations

import gzip
from collections import OrderedDict
from collections.abc import Callable, Hashable

import zstandard

ENCODINGS = (b"zstd", b"gzip")  # in order of preference
GZIP_LEVEL, ZSTD_LEVEL = 6, 3


def choose_encoding(accepts: bytes) -> bytes:
    """Returns the content encoding for a client with this Accept-Encoding header; empty for none."""
    qualities: dict[bytes, float] = {}
    for part in accepts.lower().split(b",")[:20]:
        name, _, quality = part.strip().partition(b";")
        try:
            qualities[name.strip()] = float(quality.partition(b"=")[2] or 1) if quality else 1.0
        except ValueError:
            qualities[name.strip()] = 0.0
    default_quality = qualities.get(b"*", 0.0)
    ranked = [(qualities.get(name, default_quality), -rank, name) for rank, name in enumerate(ENCODINGS)]
    quality_of_best, _, best = max(ranked)
    return best if quality_of_best > 0 else b""


def compress(body: bytes, encoding: bytes) -> bytes:
    """Compresses a body with zstd or gzip."""
    if encoding == b"zstd":
        return zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(body)
    return gzip.compress(body, GZIP_LEVEL, mtime=0)


class ResponseCache:
    """Evicts the least recently used bodies when the cache is over its capacity.

    Attributes:
        size: the bytes in the cache.
        encoded: how many bodies were encoded.
        compressed: how many bodies were compressed.
        hits: how many bodies were found in the cache, before compression.
    """

    def __init__(self, capacity_bytes: int, min_compressed_bytes: int) -> None:
        """Creates an empty cache.

        Args:
            capacity_bytes: the limit of all cached bodies.
            min_compressed_bytes: the size from which a body is compressed.
        """
        self._capacity_bytes, self._min_compressed_bytes = capacity_bytes, min_compressed_bytes
        self._cache: OrderedDict[tuple[Hashable, bytes], bytes] = OrderedDict()
        self.size = self.encoded = self.compressed = self.hits = 0

    def get(self, key: Hashable, make: Callable[[], bytes], encoding: bytes) -> tuple[bytes, bytes]:
        """Returns a body and its content encoding.

        Args:
            key: identifies the content; None for content that only one proxy receives, which is not cached.
            make: encodes the content.
            encoding: the content encoding that the proxy accepts; empty for none.
        """
        plain = self._encoded_body(key, make)
        if not encoding or len(plain) < self._min_compressed_bytes:
            return plain, b""
        if key is None:
            self.compressed += 1
            return compress(plain, encoding), encoding
        body = self._cache.get((key, encoding))
        if body is None:
            body = compress(plain, encoding)
            self.compressed += 1
            self._insert((key, encoding), body)
        else:
            self._cache.move_to_end((key, encoding))
        return body, encoding

    def _encoded_body(self, key: Hashable, make: Callable[[], bytes]) -> bytes:
        if key is None:
            self.encoded += 1
            return make()
        cached = self._cache.get((key, b""))
        if cached is not None:
            self.hits += 1
            self._cache.move_to_end((key, b""))
            return cached
        self.encoded += 1
        body = make()
        self._insert((key, b""), body)
        return body

    def _insert(self, key: tuple[Hashable, bytes], body: bytes) -> None:
        """Caches a body, unless it alone would take over a quarter of the capacity."""
        if len(body) > self._capacity_bytes // 4:
            return
        self._cache[key] = body
        self.size += len(body)
        while self.size > self._capacity_bytes:
            self.size -= len(self._cache.popitem(last=False)[1])
