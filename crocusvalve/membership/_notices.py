"""Notices: urgent facts passed between processes, in force until a revision confirms them."""

from msgspec import Struct

from crocusvalve.base import DomainId, UpstreamId, VersionRef
from crocusvalve.membership._reports import mark_leaving
from crocusvalve.model import EntryTables, QuarantineRow
from crocusvalve.retry import Quarantine
from crocusvalve.rpc import Notice, NoticeKind

__all__ = ["NoticeTable"]

DOMAIN_KINDS = frozenset({NoticeKind.DOMAIN_OUT, NoticeKind.DOMAIN_IN})
#: Notices on upstreams that are kept; those on domains and versions are few and all kept.
MAX_LEAVING = 10_000


class StoredNotice(Struct):
    """A notice; its number is remembered after a revision has superseded it."""

    notice: Notice
    is_superseded: bool = False


class NoticeTable:
    """The newest notice on each subject; the highest number wins, and a tie changes nothing.

    A notice is in force until a revision says the same; from then on the document decides. The
    caller has verified the notices' signatures. The subject of a LEAVING notice is ``upstream`` or
    ``upstream#boot_id``; that of a QUARANTINE notice is a digest, and its number the crashes.

    Parameters
    ----------
    quarantine : Quarantine or None
        Takes QUARANTINE notices; None ignores them.
    """

    def __init__(self, *, quarantine: Quarantine | None = None):
        self.quarantine = quarantine
        self._kept: dict[tuple[str, str], StoredNotice] = {}

    def merge_notice(self, notice: Notice, tables: EntryTables, now: float) -> bool:
        """Take a notice and put it in force; tell whether it was new."""
        if notice.kind is NoticeKind.QUARANTINE:
            return self._take_quarantine(notice, now)
        key = _make_key(notice)
        kept = self._kept.pop(key, None)
        if kept is not None and kept.notice.number >= notice.number:
            self._kept[key] = kept
            return False
        self._kept[key] = StoredNotice(notice)
        self._drop_oldest_leaving()
        self._put_in_force(notice, tables)
        self.supersede_confirmed(tables)
        return True

    def supersede_confirmed(self, tables: EntryTables) -> None:
        """Hand over to the document what it confirms; run after each new revision."""
        for kept in self._kept.values():
            if not kept.is_superseded and _is_confirmed(kept.notice, tables):
                kept.is_superseded = True
                tables.domains_out.discard(kept.notice.subject)
                tables.withdrawn_versions.discard(VersionRef(kept.notice.subject))

    def list_notices(self) -> list[Notice]:
        """Return the notices in force, for a process that has just started."""
        return [kept.notice for kept in self._kept.values() if not kept.is_superseded]

    def _take_quarantine(self, notice: Notice, now: float) -> bool:
        if self.quarantine is None:
            return False
        row = QuarantineRow(digest=notice.subject, n_crashes=notice.number, crashed_at=now)
        return self.quarantine.merge(row, now)

    @staticmethod
    def _put_in_force(notice: Notice, tables: EntryTables) -> None:
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
        if len(self._kept) <= MAX_LEAVING:
            return
        for key, kept in self._kept.items():
            if kept.notice.kind is NoticeKind.LEAVING:
                del self._kept[key]
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
