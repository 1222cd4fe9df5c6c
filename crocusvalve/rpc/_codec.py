"""MessagePack codec for grpclib; needs no code generator and no schema files."""

from typing import Any

import msgspec
from grpclib.encoding.base import CodecBase

from crocusvalve.utils import decode_untrusted

__all__ = ["MessagePackCodec", "decode", "encode"]

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[Any, msgspec.msgpack.Decoder] = {}


def encode(message: Any) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(data: bytes, message_type: Any) -> Any:
    """Decode a message of a type; raises ``msgspec.DecodeError`` if the data is malformed."""
    decoder = _DECODERS.get(message_type)
    if decoder is None:
        decoder = _DECODERS[message_type] = msgspec.msgpack.Decoder(message_type)
    return decode_untrusted(decoder, data)


class MessagePackCodec(CodecBase):
    """Codec between msgspec structs and MessagePack."""

    __content_subtype__ = "msgpack"

    def encode(self, message: Any, message_type: Any) -> bytes:
        """Encode a message."""
        return encode(message)

    def decode(self, data: bytes, message_type: Any) -> Any:
        """Decode a message of a type."""
        return decode(data, message_type)
