"""Urgent facts that reach the agent beside the revisions."""

from crocusvalve.base import DomainId, NodeId, UpstreamId, VersionRef
from crocusvalve.rpc import Notice, NoticeKind

__all__ = ["NoticeBoard"]

DOMAIN_KINDS = (NoticeKind.DOMAIN_OUT, NoticeKind.DOMAIN_IN)
MAX_NOTICES = 10_000


class NoticeBoard:
    """The newest notice for each subject; the highest number wins, and a tie changes nothing."""

    def __init__(self):
        self._notices: dict[tuple[str, str], Notice] = {}

    def take(self, notice: Notice) -> bool:
        """Keep a notice and tell whether it was new."""
        key = self._key(notice)
        known = self._notices.get(key)
        if known is not None and known.number >= notice.number:
            return False
        if known is None and len(self._notices) >= MAX_NOTICES:
            self._drop_oldest_quarantine()
        self._notices[key] = notice
        return True

    def is_domain_out(self, domain: DomainId) -> bool:
        """Tell whether the newest notice on a failure domain takes it out."""
        notice = self._notices.get(("domain", domain))
        return notice is not None and notice.kind is NoticeKind.DOMAIN_OUT

    def is_withdrawn(self, version: VersionRef) -> bool:
        """Tell whether a version was withdrawn by notice."""
        return (NoticeKind.WITHDRAWN.value, version) in self._notices

    def is_quarantined(self, digest: str) -> bool:
        """Tell whether requests of a digest crash upstreams."""
        return (NoticeKind.QUARANTINE.value, digest) in self._notices

    def is_leaving(self, upstream_id: UpstreamId, node_id: NodeId) -> bool:
        """Tell whether the upstream or the agent is leaving."""
        kind = NoticeKind.LEAVING.value
        return (kind, upstream_id) in self._notices or (kind, node_id) in self._notices

    def _drop_oldest_quarantine(self) -> None:
        for key, notice in self._notices.items():
            if notice.kind is NoticeKind.QUARANTINE:
                del self._notices[key]
                return

    @staticmethod
    def _key(notice: Notice) -> tuple[str, str]:
        if notice.kind in DOMAIN_KINDS:
            return ("domain", notice.subject)
        return (notice.kind.value, notice.subject)
