"""Notices at an entry: issued for operators, distributed, and later written to the document.

A notice is an urgent change that takes effect before a configuration revision contains it.
"""

import logging
import random
from functools import partial

import trio
from msgspec import Struct

from crocusvalve.base import DomainState, NodeId, VersionState
from crocusvalve.config import Document, set_domain_state, set_version_state
from crocusvalve.entry._agents import AgentPool
from crocusvalve.entry._peers import PeerGroup
from crocusvalve.entry._publisher import DocumentPublisher
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.membership import NoticeTable
from crocusvalve.model import N_CRASHES_TO_BAN, QuarantineRow
from crocusvalve.rpc import Notice, NoticeKind, is_signed_notice, sign_notice
from crocusvalve.utils import Clock

__all__ = ["NoticeDistributor", "apply_notice"]

logger = logging.getLogger(__name__)

MS_PER_S = 1000
WRITE_INTERVAL_S = 1.0
FETCH_INTERVAL_S = 30.0
#: Delay after which a notice that could not be written is tried again.
RETRY_DELAY_S = 5.0
#: Quarantined request digests sent to a peer in one reply, at most: those that are refused, and
#: the most recent others.
MAX_QUARANTINE_NOTICES = 1000
#: Kinds of notices that must eventually be written to the document.
DOCUMENT_KINDS = frozenset({NoticeKind.DOMAIN_OUT, NoticeKind.DOMAIN_IN, NoticeKind.WITHDRAWN})


def apply_notice(document: Document, notice: Notice) -> Document:
    """Return the document changed by a notice on a failure domain or on a version."""
    member, _, name = notice.subject.partition("/")
    if notice.kind is NoticeKind.WITHDRAWN:
        model, _, version = name.partition("@")
        return set_version_state(document, member, model, version, VersionState.WITHDRAWN)
    is_out = notice.kind is NoticeKind.DOMAIN_OUT
    return set_domain_state(document, member, name, DomainState.OUT if is_out else DomainState.IN)


class _PendingNotice(Struct):
    """A notice not yet written to the document, and the Unix time in seconds to write it."""

    notice: Notice
    write_at: float


class NoticeDistributor:
    """Issues, verifies and distributes notices, and writes them to the document.

    Parameters
    ----------
    node_id : NodeId
        Node ID of this entry, the issuer of its notices.
    key : str
        Internal key, used to sign and verify notices.
    table : NoticeTable
        The newest notice on each subject.
    tables : CoreTables
        Tables that notices change.
    peers : PeerGroup
        RPC clients of the other entries.
    pool : AgentPool
        RPC clients of the agents.
    publisher : DocumentPublisher
        Publishes the document with the notices applied.
    clock : Clock
        Source of the current time.
    random_state : random.Random
        Source of the random delay before a notice issued by another entry is written.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        key: str,
        table: NoticeTable,
        tables: CoreTables,
        peers: PeerGroup,
        pool: AgentPool,
        publisher: DocumentPublisher,
        clock: Clock,
        random_state: random.Random,
    ):
        self.node_id = node_id
        self.key = key
        self.table = table
        self.tables = tables
        self.peers = peers
        self.pool = pool
        self.publisher = publisher
        self.clock = clock
        self.random_state = random_state
        self._pending: dict[tuple[str, str], _PendingNotice] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Distribute notices and write them to the document until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._fetch_periodically)
            task_status.started()
            while True:
                await trio.sleep(WRITE_INTERVAL_S)
                await self._write_pending()

    async def _fetch_periodically(self) -> None:
        """Fetch the peers' notices at the start and periodically, in case a notice was lost."""
        while True:
            for notice in await self.peers.fetch_notices():
                self.merge_notice(notice)
            await trio.sleep(FETCH_INTERVAL_S)

    def list_notices(self) -> tuple[Notice, ...]:
        """Return the notices in force and one per request digest that crashed an upstream."""
        rows = list(self.tables.quarantine.values())
        banned = [row for row in rows if row.is_banned]
        if len(banned) > MAX_QUARANTINE_NOTICES:
            banned = self.random_state.sample(banned, MAX_QUARANTINE_NOTICES)
        suspects = [row for row in reversed(rows) if not row.is_banned]
        reported = [*banned, *suspects[: MAX_QUARANTINE_NOTICES - len(banned)]]
        return (
            *self.table.list_notices(),
            *(self._make_quarantine_notice(row) for row in reported),
        )

    def _make_quarantine_notice(self, row: QuarantineRow) -> Notice:
        notice = Notice(
            kind=NoticeKind.QUARANTINE,
            subject=row.digest,
            number=row.n_crashes,
            issuer=self.node_id,
            incidents=tuple(sorted(row.upstreams)[:N_CRASHES_TO_BAN]),
        )
        return sign_notice(notice, self.key)

    def issue_quarantine(self, digest: str) -> None:
        """Report the crashes of a request that this entry knows to the others and the agents."""
        self._distribute(self._make_quarantine_notice(self.tables.quarantine[digest]))

    def issue(self, kind: NoticeKind, subject: str, *, number: int | None = None) -> Notice:
        """Sign a notice, apply it to the local tables and distribute it.

        ``number`` orders the notices on a subject; the default is the Unix time in milliseconds.
        """
        if number is None:
            number = int(self.clock.now() * MS_PER_S)
        notice = Notice(kind=kind, subject=subject, number=number, issuer=self.node_id)
        notice = sign_notice(notice, self.key)
        self._accept(notice, write_delay_s=0.0)
        return notice

    def merge_notice(self, notice: Notice) -> bool:
        """Merge a notice from a peer; return whether it was new.

        A notice with a wrong signature is dropped. A new one is written to the document after a
        random delay, so that usually its issuer has already written it.
        """
        if not is_signed_notice(notice, self.key):
            logger.warning("dropped a notice on %s with a wrong signature", notice.subject)
            return False
        delay_s = self.random_state.uniform(5.0, 15.0)
        return self._accept(notice, write_delay_s=delay_s)

    def _accept(self, notice: Notice, *, write_delay_s: float) -> bool:
        now = self.clock.now()
        if not self.table.merge_notice(notice, self.tables, now):
            return False
        if notice.kind in DOCUMENT_KINDS:
            self._pending[_make_key(notice)] = _PendingNotice(notice, now + write_delay_s)
        if notice.kind is NoticeKind.QUARANTINE:
            # Has the crashes that this entry knew before as well.
            notice = self._make_quarantine_notice(self.tables.quarantine[notice.subject])
        self._distribute(notice)
        return True

    def supersede_confirmed(self) -> None:
        """Supersede the notices that a new revision confirms; they need not be written any more."""
        self.table.supersede_confirmed(self.tables)
        in_force = self.table.list_notices()
        self._pending = {
            key: item for key, item in self._pending.items() if item.notice in in_force
        }

    def send_notices_to_agent(self, address: str) -> None:
        """Send all notices in force to an agent whose process has restarted."""
        if self._nursery is None:
            return
        for notice in self.list_notices():
            self._nursery.start_soon(self._notify_agent, address, notice)

    def _distribute(self, notice: Notice) -> None:
        if self._nursery is None:
            return
        is_local = notice.issuer == self.node_id
        self._nursery.start_soon(partial(self.peers.notify, notice, is_local=is_local))
        for row in self.tables.upstreams.values():
            if row.in_subset:
                self._nursery.start_soon(self._notify_agent, row.agent, notice)

    async def _notify_agent(self, address: str, notice: Notice) -> None:
        try:
            await self.pool.get(address).notify(notice)
        except CrocusvalveError as exc:
            logger.info("failed to notify agent %s: %s", address, exc)

    async def _write_pending(self) -> None:
        now = self.clock.now()
        for key, item in list(self._pending.items()):
            if now < item.write_at:
                continue
            try:
                await self._write(item.notice)
            except CrocusvalveError as exc:
                logger.info(
                    "failed to write the notice on %s to the document, will retry: %s", key[1], exc
                )
                item.write_at = self.clock.now() + RETRY_DELAY_S
                continue
            self._pending.pop(key, None)

    async def _write(self, notice: Notice) -> None:
        revision = await self.publisher.edit(
            lambda document: apply_notice(document, notice), f"notice by {notice.issuer}"
        )
        logger.info("notice on %s was written in revision %d", notice.subject, revision)


def _make_key(notice: Notice) -> tuple[str, str]:
    """Return the key under which a newer notice replaces an older one."""
    is_domain = notice.kind is not NoticeKind.WITHDRAWN
    return ("domain" if is_domain else "version", notice.subject)
