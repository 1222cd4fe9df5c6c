"""Notices: urgent changes sent between processes, in force until a revision confirms them."""

from msgspec import Struct

from crocusvalve.base import DomainId, UpstreamId, VersionRef
from crocusvalve.membership._reports import mark_leaving
from crocusvalve.model import EntryTables, QuarantineRow
from crocusvalve.retry import Quarantine
from crocusvalve.rpc import Notice, NoticeKind

__all__ = ["NoticeTable"]

DOMAIN_KINDS = frozenset({NoticeKind.DOMAIN_OUT, NoticeKind.DOMAIN_IN})
#: Above this number of notices the oldest LEAVING notice is dropped; notices on domains and
#: versions are few and all stored.
MAX_LEAVING_NOTICES = 10_000


class StoredNotice(Struct):
    """A notice and whether a revision has superseded it; its number is still needed then."""

    notice: Notice
    is_superseded: bool = False


class NoticeTable:
    """The newest notice on each subject; only a higher number replaces a stored notice.

    A notice is in force until a revision of the document states the same; from then on the document
    decides. The caller must verify the signatures of notices. The subject of a LEAVING notice is
    ``upstream`` or ``upstream#boot_id``; the subject of a QUARANTINE notice is a request digest and
    its number is the number of crashes.

    Parameters
    ----------
    quarantine : Quarantine or None
        Receives QUARANTINE notices; None ignores them.
    """

    def __init__(self, *, quarantine: Quarantine | None = None):
        self.quarantine = quarantine
        self._stored: dict[tuple[str, str], StoredNotice] = {}

    def merge_notice(self, notice: Notice, tables: EntryTables, now: float) -> bool:
        """Store a notice, put it in force and return whether it was new."""
        if notice.kind is NoticeKind.QUARANTINE:
            return self._merge_quarantine(notice, now)
        key = _make_key(notice)
        stored = self._stored.pop(key, None)
        if stored is not None and stored.notice.number >= notice.number:
            self._stored[key] = stored
            return False
        self._stored[key] = StoredNotice(notice)
        self._drop_oldest_leaving()
        self._apply(notice, tables)
        self.supersede_confirmed(tables)
        return True

    def supersede_confirmed(self, tables: EntryTables) -> None:
        """Supersede the notices that the document confirms; run after each new revision."""
        for stored in self._stored.values():
            if not stored.is_superseded and _is_confirmed(stored.notice, tables):
                stored.is_superseded = True
                tables.domains_out.discard(stored.notice.subject)
                tables.withdrawn_versions.discard(VersionRef(stored.notice.subject))

    def list_notices(self) -> list[Notice]:
        """Return the notices in force, to be sent to a process that has just started."""
        return [stored.notice for stored in self._stored.values() if not stored.is_superseded]

    def _merge_quarantine(self, notice: Notice, now: float) -> bool:
        if self.quarantine is None:
            return False
        row = QuarantineRow(
            digest=notice.subject,
            n_crashes=notice.number,
            crashed_at=now,
            upstreams={UpstreamId(incident) for incident in notice.incidents},
        )
        return self.quarantine.merge(row, now)

    @staticmethod
    def _apply(notice: Notice, tables: EntryTables) -> None:
        if notice.kind is NoticeKind.DOMAIN_OUT:
            tables.domains_out.add(DomainId(notice.subject))
        elif notice.kind is NoticeKind.DOMAIN_IN:
            tables.domains_out.discard(notice.subject)
        elif notice.kind is NoticeKind.WITHDRAWN:
            tables.withdrawn_versions.add(VersionRef(notice.subject))
        elif notice.kind is NoticeKind.LEAVING:
            upstream_id, _, boot_id = notice.subject.partition("#")
            row = tables.upstreams.get(UpstreamId(upstream_id))
            if row is not None:
                mark_leaving(row, boot_id)

    def _drop_oldest_leaving(self) -> None:
        if len(self._stored) <= MAX_LEAVING_NOTICES:
            return
        for key, stored in self._stored.items():
            if stored.notice.kind is NoticeKind.LEAVING:
                del self._stored[key]
                return


def _make_key(notice: Notice) -> tuple[str, str]:
    kind = "domain" if notice.kind in DOMAIN_KINDS else notice.kind.value
    return kind, notice.subject


def _is_confirmed(notice: Notice, tables: EntryTables) -> bool:
    view, domain, version = tables.view, DomainId(notice.subject), VersionRef(notice.subject)
    if notice.kind is NoticeKind.WITHDRAWN:
        return version in view.versions and view.is_withdrawn(version)
    if notice.kind not in DOMAIN_KINDS or domain not in view.domains:
        return False
    return view.is_domain_out(domain) == (notice.kind is NoticeKind.DOMAIN_OUT)
