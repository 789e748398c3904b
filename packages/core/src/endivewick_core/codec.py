"""The encoding of messages between endivewick processes.

A message is encoded as msgpack ``[version, type name, fields]``. Decoding a frame with an unknown
type, a newer version or fields of the wrong type returns a ``CodecFault``; the receiver drops the
frame and counts it.
"""

from typing import Any, NamedTuple

import msgspec

PROTOCOL_VERSION = 1


class CodecFault(NamedTuple):
    """The reason why a frame couldn't be decoded."""

    reason: str
    type_name: str = ""


class _Envelope(NamedTuple):
    version: int
    type_name: str
    fields: msgspec.Raw


class Codec(NamedTuple):
    """The message types of one protocol, with a decoder for each."""

    decoders: dict[str, msgspec.msgpack.Decoder[Any]]


_envelope_decoder = msgspec.msgpack.Decoder(_Envelope)
_encoder = msgspec.msgpack.Encoder()


def build_codec(types: tuple[type, ...]) -> Codec:
    """Return a codec for these NamedTuple types."""
    return Codec({item.__name__: msgspec.msgpack.Decoder(item) for item in types})


def encode(message: object) -> bytes:
    """Encode ``message`` as a frame."""
    return _encoder.encode((PROTOCOL_VERSION, type(message).__name__, message))


def decode(codec: Codec, frame: bytes) -> Any:
    """Decode the message in ``frame``; return a ``CodecFault`` if it can't be decoded."""
    try:
        envelope = _envelope_decoder.decode(frame)
    except msgspec.MsgspecError as error:
        return CodecFault(f"malformed frame: {error}")
    if envelope.version > PROTOCOL_VERSION:
        return CodecFault(
            f"protocol version {envelope.version} is newer than {PROTOCOL_VERSION}",
            envelope.type_name,
        )
    decoder = codec.decoders.get(envelope.type_name)
    if decoder is None:
        return CodecFault("unknown message type", envelope.type_name)
    try:
        return decoder.decode(envelope.fields)
    except msgspec.MsgspecError as error:
        return CodecFault(f"malformed fields: {error}", envelope.type_name)
