"""Decoding of data that another process has written."""

from typing import Any, Protocol

import msgspec

__all__ = ["Decoder", "decode_json", "decode_untrusted"]


class Decoder(Protocol):
    """A decoder of msgspec."""

    def decode(self, data: bytes) -> Any:
        """Decode a value."""


def decode_untrusted(decoder: Decoder, data: bytes | bytearray) -> Any:
    """Decode a value that another process has written.

    The decoders of msgspec raise ``RecursionError``, which is none of their own errors, for values
    that are nested about 1,000 times, also in a field that the type doesn't have.

    Raises
    ------
    msgspec.DecodeError
        If the data is malformed, nested too deeply, or of another type.
    """
    try:
        return decoder.decode(data)
    except RecursionError as exc:
        raise msgspec.DecodeError("the value is nested too deeply") from exc


def decode_json(data: bytes | bytearray, kind: Any) -> Any:
    """Decode JSON of a type; raises ``msgspec.DecodeError`` for whatever can't be read."""
    return decode_untrusted(msgspec.json.Decoder(kind), data)
