"""Urgent notices that reach the agent independently of configuration revisions."""

from crocusvalve.base import DomainId, NodeId, UpstreamId, VersionRef
from crocusvalve.config import DocumentView
from crocusvalve.model import N_CRASHES_TO_BAN
from crocusvalve.rpc import Notice, NoticeKind

__all__ = ["NoticeRegistry"]

#: Notices about the state of a failure domain; the newest of both kinds is in force.
DOMAIN_KINDS = (NoticeKind.DOMAIN_OUT, NoticeKind.DOMAIN_IN)
MAX_NOTICES = 10_000


class NoticeRegistry:
    """The newest notice for each subject; the highest number wins, and a tie changes nothing.

    A notice about a failure domain or a version is in force until a revision confirms it; after
    that the configuration decides, and only the notice's number is still used, to reject old ones.
    """

    def __init__(self):
        self._notices: dict[tuple[str, str], Notice] = {}
        self._superseded: set[tuple[str, str]] = set()

    def merge_notice(self, notice: Notice) -> bool:
        """Store a notice and return whether it was new."""
        key = self._key(notice)
        known = self._notices.get(key)
        if known is not None and known.number >= notice.number:
            return False
        if known is None and len(self._notices) >= MAX_NOTICES:
            self._drop_oldest_quarantine()
        self._notices[key] = notice
        self._superseded.discard(key)
        return True

    def supersede_confirmed(self, view: DocumentView) -> None:
        """Supersede the notices that a revision confirms; call after each revision and notice."""
        for key, notice in self._notices.items():
            if key not in self._superseded and _is_confirmed(notice, view):
                self._superseded.add(key)

    def _find_in_force(self, key: tuple[str, str]) -> Notice | None:
        return None if key in self._superseded else self._notices.get(key)

    def is_domain_out(self, domain: DomainId) -> bool:
        """Return whether the newest notice about a failure domain takes it out of service."""
        notice = self._find_in_force(("domain", domain))
        return notice is not None and notice.kind is NoticeKind.DOMAIN_OUT

    def is_withdrawn(self, version: VersionRef) -> bool:
        """Return whether a version was withdrawn by a notice."""
        return self._find_in_force((NoticeKind.WITHDRAWN.value, version)) is not None

    def is_quarantined(self, digest: str) -> bool:
        """Return whether requests with a digest are refused permanently after two crashes."""
        # The number of a quarantine notice is the number of crashes.
        notice = self._find_in_force((NoticeKind.QUARANTINE.value, digest))
        return notice is not None and notice.number >= N_CRASHES_TO_BAN

    def is_leaving(self, upstream_id: UpstreamId, node_id: NodeId) -> bool:
        """Return whether a notice says that the upstream or the agent is leaving."""
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


def _is_confirmed(notice: Notice, view: DocumentView) -> bool:
    if notice.kind is NoticeKind.WITHDRAWN:
        version = VersionRef(notice.subject)
        return version in view.versions and view.is_withdrawn(version)
    if notice.kind not in DOMAIN_KINDS or notice.subject not in view.domains:
        return False
    is_out = view.is_domain_out(DomainId(notice.subject))
    return is_out == (notice.kind is NoticeKind.DOMAIN_OUT)
