"""Backend of the operators' API at an entry: configuration, roll-outs, usage and status."""

from datetime import UTC, datetime, timedelta

from crocusvalve.admin import (
    Accepted,
    AdminBackend,
    HistoryEntry,
    StatusReport,
    UpstreamStatus,
    UsageEntry,
)
from crocusvalve.base import (
    DomainId,
    DomainState,
    MemberId,
    NodeId,
    Revision,
    VersionRef,
    VersionState,
)
from crocusvalve.billing import BillOutbox, UsageReport, UsageTotals, sum_bills
from crocusvalve.config import Document, set_domain_state, set_version_state
from crocusvalve.control import ConfigCache, ConfigStore
from crocusvalve.entry._notice_distributor import NoticeDistributor
from crocusvalve.entry._publisher import DocumentPublisher, Edit
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import ConfigConflictError, CrocusvalveError, ErrorCode, PlatformError
from crocusvalve.model import RolloutRow, UpstreamRow
from crocusvalve.rpc import NoticeKind
from crocusvalve.store import CircuitState, HttpPlatform

__all__ = ["EntryAdmin"]

DAY = timedelta(days=1)
DAY_FORMAT = "%Y%m%d"
#: Ledger prefix of the bills of requests whose ID contains no date, such as a durable request's
#: ID that is derived from an idempotency key.
UNDATED_BILLS_PREFIX = "other/"
#: Days covered by one usage query, at most; earlier days are omitted.
MAX_USAGE_DAYS = 400


class EntryAdmin(AdminBackend):
    """Implements the operators' API on the store, the tables and the notices of an entry.

    Parameters
    ----------
    node_id : NodeId
        Node ID of this entry.
    platform : HttpPlatform
        Client of the platform's store; its usage totals and bills are read for reports.
    store : ConfigStore
        Store of the environment's configuration revisions.
    config_cache : ConfigCache
        Cache of the newest configuration revision.
    publisher : DocumentPublisher
        Publishes whole documents and edits of the newest one.
    notices : NoticeDistributor
        Issues a notice of each change, so that it takes effect while the store is unavailable.
    tables : CoreTables
        Upstreams, roll-outs and the queue of the entry.
    outbox : BillOutbox
        Bills not yet written to the ledger.
    """

    def __init__(
        self,
        *,
        node_id: NodeId,
        platform: HttpPlatform,
        store: ConfigStore,
        config_cache: ConfigCache,
        publisher: DocumentPublisher,
        notices: NoticeDistributor,
        tables: CoreTables,
        outbox: BillOutbox,
    ):
        self.node_id = node_id
        self.platform = platform
        self.store = store
        self.config_cache = config_cache
        self.publisher = publisher
        self.notices = notices
        self.tables = tables
        self.outbox = outbox
        self.report = UsageReport(platform)

    async def get_current_document(self) -> tuple[Document, Revision]:
        """Return the newest cached document and its revision; raises ``NOT_READY`` without one."""
        if self.config_cache.document is None:
            message = "this entry has no configuration yet"
            raise CrocusvalveError(ErrorCode.NOT_READY, message, step="admin")
        return self.config_cache.document, self.config_cache.revision

    async def publish(
        self, base: Revision, document: Document, author: str, now: float
    ) -> Revision:
        """Publish a document as the successor of a base revision and return its revision.

        Raises
        ------
        ConfigConflictError
            If another change was published first; the newest document is cached before this
            is raised.
        PlatformError
            If the store failed.
        """
        try:
            return await self.publisher.publish(base, document, author)
        except ConfigConflictError:
            newest, revision = await self.store.load()
            self.config_cache.apply_document(newest, revision)
            raise

    async def history(self, n: int) -> list[HistoryEntry]:
        """Return the history entries of the last ``n`` revisions, newest first."""
        records = await self.store.history(n)
        entries = [
            HistoryEntry(record.revision, record.author, record.at, record.note)
            for record in records
        ]
        return sorted(entries, key=lambda entry: entry.revision, reverse=True)

    async def set_domain(
        self, member: MemberId, domain: str, state: DomainState, author: str, now: float
    ) -> Accepted:
        """Set a failure domain's state; by notice alone while the store is unavailable."""
        name = domain.partition("/")[2] or domain
        document, _ = await self.get_current_document()
        # Raises if there is no such failure domain, before any notice is issued.
        set_domain_state(document, member, name, state)
        is_out = state is DomainState.OUT
        kind = NoticeKind.DOMAIN_OUT if is_out else NoticeKind.DOMAIN_IN
        return await self._change(
            lambda current: set_domain_state(current, member, name, state),
            author,
            kind,
            DomainId(f"{member}/{name}"),
        )

    async def withdraw(self, member: MemberId, version: str, author: str, now: float) -> Accepted:
        """Withdraw a version; by notice alone while the store is unavailable."""
        model, _, name = version.rpartition("/")[2].partition("@")
        withdrawn = VersionState.WITHDRAWN
        document, _ = await self.get_current_document()
        set_version_state(document, member, model, name, withdrawn)
        return await self._change(
            lambda current: set_version_state(current, member, model, name, withdrawn),
            author,
            NoticeKind.WITHDRAWN,
            VersionRef(f"{member}/{model}@{name}"),
        )

    async def _change(self, edit: Edit, author: str, kind: NoticeKind, subject: str) -> Accepted:
        try:
            accepted = Accepted(await self.publisher.edit(edit, author))
        except PlatformError:
            accepted = Accepted(self.config_cache.revision, by_notice=True)
        # Replaces an earlier notice on the same subject if that is not yet written to the store.
        self.notices.issue(kind, subject)
        return accepted

    async def rollouts(self) -> list[RolloutRow]:
        """Return the rows of all roll-outs in the tables."""
        return list(self.tables.rollouts.values())

    async def usage(self, member: MemberId, since: float, until: float) -> list[UsageEntry]:
        """Return the usage of a member's customers between two Unix times in seconds.

        Days that the span covers completely are read from the daily totals, the others from
        their bills.
        """
        totals = UsageTotals()
        partial_days: list[datetime] = []
        for day in _list_days(since, until):
            if since <= day.timestamp() and (day + DAY).timestamp() <= until:
                name = day.strftime(DAY_FORMAT)
                totals.add_lines(await self.report.read_totals(name, member=member))
            else:
                partial_days.append(day)
        await self._add_partial(totals, member, partial_days, since, until)
        return [
            UsageEntry(
                customer_id=line.customer_id,
                class_name=line.class_name,
                version=line.version,
                n_requests=line.n_requests,
                prompt_tokens=line.prompt_tokens,
                completion_tokens=line.completion_tokens,
                cost=line.cost,
            )
            for line in sorted(totals.lines, key=lambda line: line.key)
        ]

    async def _add_partial(
        self,
        totals: UsageTotals,
        member: MemberId,
        days: list[datetime],
        since: float,
        until: float,
    ) -> None:
        """Add the bills of days that the span covers only in part."""
        prefixes = [f"{day.strftime(DAY_FORMAT)}/" for day in days]
        spans = [(day.timestamp(), (day + DAY).timestamp()) for day in days]
        for prefix in [*prefixes, UNDATED_BILLS_PREFIX] if days else ():
            async for bill in self.report.list_bills(prefix, member=member):
                is_within = any(start <= bill.at < end for start, end in spans)
                if is_within and since <= bill.at < until:
                    totals.add_lines(sum_bills([bill]).lines)

    async def status(self, member: MemberId) -> StatusReport:
        """Return the status of this entry and of a member's upstreams and failure domains."""
        prefix = f"{member}/"
        tables = self.tables
        domains = {
            ref: DomainState.OUT if ref in tables.domains_out else state
            for ref, state in tables.view.domains.items()
            if ref.startswith(prefix)
        }
        rows = [row for ref, row in sorted(tables.upstreams.items()) if ref.startswith(prefix)]
        return StatusReport(
            node_id=self.node_id,
            revision=tables.view.revision,
            is_store_up=self.platform.guard.state is not CircuitState.OPEN,
            outbox=len(self.outbox),
            queued=len(tables.queue),
            domains=domains,
            upstreams=[_make_status(row) for row in rows],
        )


def _make_status(row: UpstreamRow) -> UpstreamStatus:
    return UpstreamStatus(
        upstream_id=row.upstream_id,
        domain=row.domain,
        state=row.state,
        in_flight=row.reported_in_flight,
        limit=row.reported_limit,
        queued=row.reported_queued,
        revision=row.revision,
        reported_at=row.reported_at,
    )


def _list_days(since: float, until: float) -> list[datetime]:
    """Return the UTC days that overlap a span, only the last ``MAX_USAGE_DAYS`` of them."""
    first = datetime.fromtimestamp(since, UTC).replace(hour=0, minute=0, second=0, microsecond=0)
    days = []
    day = datetime.fromtimestamp(until, UTC).replace(hour=0, minute=0, second=0, microsecond=0)
    while day >= first and len(days) < MAX_USAGE_DAYS:
        if day.timestamp() < until:
            days.append(day)
        day -= DAY
    return days[::-1]
