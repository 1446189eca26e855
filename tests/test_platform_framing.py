"""Frames of the platform protocol: encoding, and decoding of bytes that are split anywhere."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from platform_fixtures import DONE

from willowhook.platform.fields import Fields
from willowhook.platform.framing import MAX_MESSAGE_BYTES, FrameDecoder, FramingError, encode_frame

# Keeps the examples of 06ecd3e: a derandomized test would otherwise derive its seed from its source.
FRAMES_SEED = int(
    "1035353274498939959984552972292467765230976678748866926952"
    "0902704655941131432925682292450944292664453877800212089889"
)

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.text(max_size=3), inner, max_size=2),
    max_leaves=4,
)


@seed(FRAMES_SEED)
@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.dictionaries(st.text(max_size=5), json_values, max_size=4), max_size=6), st.data())
def test_frames_split_anywhere_decode_to_the_messages_encoded(messages: list[Fields], data: Any) -> None:
    encoded = b"".join(map(encode_frame, messages))
    cuts = sorted(data.draw(st.lists(st.integers(0, len(encoded)), max_size=8)))
    decoder = FrameDecoder()
    decoded: list[Fields] = []
    for start, end in zip([0, *cuts], [*cuts, len(encoded)], strict=True):
        decoded += list(decoder.feed(encoded[start:end]))
    assert len(decoded) == len(messages)
    for found, sent in zip(decoded, messages, strict=True):
        assert encode_frame(found) == encode_frame(sent)


@pytest.mark.parametrize(
    "malformed",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        (MAX_MESSAGE_BYTES + 1).to_bytes(4, "little"),
        b"\2\0\0\0[]",
        b"\3\0\0\0\xff\xff\xff",
        b"\0\0\0\0",
        b"\1\0\0\0{",
    ],
)
def test_malformed_frame_raises_framing_error_after_the_valid_ones(malformed: bytes) -> None:
    decoded = []
    with pytest.raises(FramingError):
        for message in FrameDecoder().feed(encode_frame(DONE) + malformed):
            decoded.append(message)
    assert decoded == [DONE]


def test_message_size_limit_can_be_raised_between_two_messages_of_one_read() -> None:
    first = encode_frame({"t": "a"})
    second = encode_frame({"t": "b" * 100})
    decoder = FrameDecoder(max_message_bytes=20)
    decoded = []
    for message in decoder.feed(first + second):
        decoded.append(message["t"])
        decoder.max_message_bytes = MAX_MESSAGE_BYTES
    assert decoded == ["a", "b" * 100]
