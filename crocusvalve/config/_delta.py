"""Binary encoding of documents, and deltas between two revisions.

A delta lists, for each member, the added, changed and removed entries of each table of its section,
such as ``upstreams`` or ``customers``. The other fields of a section are replaced as a whole.
"""

from typing import Any, get_args, get_type_hints

import msgspec
from msgspec import Struct, field

from crocusvalve.base import MemberId
from crocusvalve.config._document import Document, MemberConfig
from crocusvalve.exceptions import ConfigError
from crocusvalve.utils import compute_digest

__all__ = [
    "apply_delta",
    "compute_document_digest",
    "decode_document",
    "encode_document",
    "make_delta",
]

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def _list_entry_types() -> dict[str, type]:
    hints = get_type_hints(MemberConfig)
    tables = {name: get_args(hint) for name, hint in hints.items() if get_args(hint)}
    return {name: args[1] for name, args in tables.items()}


#: Entry type of each table (a dict of named entries) in a member's section.
_ENTRY_TYPES = _list_entry_types()
#: Types of the other fields of a section, which a delta replaces as a whole.
_WHOLE_FIELD_TYPES = {
    name: hint for name, hint in get_type_hints(MemberConfig).items() if name not in _ENTRY_TYPES
}
_DECODERS = {
    name: msgspec.msgpack.Decoder(kind)
    for name, kind in (_ENTRY_TYPES | _WHOLE_FIELD_TYPES).items()
}


class _TableDelta(Struct, omit_defaults=True):
    """Changed entries of one table, encoded, and names of removed ones."""

    changed: dict[str, bytes] = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)


class _MemberDelta(Struct, omit_defaults=True):
    """Changes of a member's section.

    ``sections`` maps the name of each changed table to its changes, and ``whole`` the name of each
    other changed field to its new value, encoded.
    """

    sections: dict[str, _TableDelta] = field(default_factory=dict)
    whole: dict[str, bytes] = field(default_factory=dict)


class _DocumentDelta(Struct, omit_defaults=True):
    """Changes of a document; ``digest`` is that of the resulting document."""

    environment: str
    digest: str
    members: dict[str, _MemberDelta] = field(default_factory=dict)
    removed_members: list[str] = field(default_factory=list)


def encode_document(document: Document) -> bytes:
    """Encode a document as MessagePack; equal documents have equal encodings."""
    return _ENCODER.encode(document)


def decode_document(data: bytes) -> Document:
    """Decode a document.

    Raises
    ------
    ConfigError
        The data cannot be decoded.
    """
    try:
        return msgspec.msgpack.decode(data, type=Document)
    except msgspec.DecodeError as exc:
        raise ConfigError([f"encoded document is corrupt: {exc}"], step="decode_document") from exc


def compute_document_digest(document: Document) -> str:
    """Return the digest of a document's encoding."""
    return compute_digest(encode_document(document))


def make_delta(old: Document, new: Document) -> bytes:
    """Encode the difference between two documents, entry by entry of each member's tables."""
    delta = _DocumentDelta(new.environment, compute_document_digest(new))
    delta.removed_members = sorted(set(old.members) - set(new.members))
    for name, member in new.members.items():
        old_member = old.members.get(name)
        if old_member is None:
            delta.members[name] = _make_member_delta(MemberConfig(), member)
        elif old_member is not member and old_member != member:
            delta.members[name] = _make_member_delta(old_member, member)
    return _ENCODER.encode(delta)


def apply_delta(old: Document, delta: bytes) -> Document:
    """Apply a delta to the document that it was made from and return the new document.

    Raises
    ------
    ConfigError
        The delta is corrupt or was made for another document.
    """
    try:
        decoded = msgspec.msgpack.decode(delta, type=_DocumentDelta)
        members = _apply_members(old, decoded)
    except (msgspec.DecodeError, KeyError) as exc:
        raise ConfigError([f"delta is corrupt: {exc!r}"], step="apply_delta") from exc
    document = Document(decoded.environment, members)
    if compute_document_digest(document) != decoded.digest:
        raise ConfigError(["delta was made for another document"], step="apply_delta")
    return document


def _make_member_delta(old: MemberConfig, new: MemberConfig) -> _MemberDelta:
    delta = _MemberDelta()
    for table in _ENTRY_TYPES:
        change = _make_table_delta(getattr(old, table), getattr(new, table))
        if change.changed or change.removed:
            delta.sections[table] = change
    for name in _WHOLE_FIELD_TYPES:
        if getattr(old, name) != getattr(new, name):
            delta.whole[name] = _ENCODER.encode(getattr(new, name))
    return delta


def _make_table_delta(old: dict[str, Any], new: dict[str, Any]) -> _TableDelta:
    changed = {}
    for name, entry in new.items():
        old_entry = old.get(name)
        if old_entry is not entry and old_entry != entry:
            changed[name] = _ENCODER.encode(entry)
    return _TableDelta(changed, sorted(set(old) - set(new)))


def _apply_members(old: Document, delta: _DocumentDelta) -> dict[MemberId, MemberConfig]:
    members = dict(old.members)
    for name in delta.removed_members:
        members.pop(MemberId(name), None)
    for name, change in delta.members.items():
        member = members.get(MemberId(name), MemberConfig())
        members[MemberId(name)] = _apply_member(member, change)
    return members


def _apply_member(old: MemberConfig, delta: _MemberDelta) -> MemberConfig:
    fields: dict[str, Any] = {}
    for table, change in delta.sections.items():
        fields[table] = _apply_table(table, getattr(old, table), change)
    for name, data in delta.whole.items():
        fields[name] = _DECODERS[name].decode(data)
    return msgspec.structs.replace(old, **fields)


def _apply_table(table: str, old: dict[str, Any], delta: _TableDelta) -> dict[str, Any]:
    decoder = _DECODERS[table]
    entries = dict(old)
    for name in delta.removed:
        entries.pop(name, None)
    for name, data in delta.changed.items():
        entries[name] = decoder.decode(data)
    return entries
