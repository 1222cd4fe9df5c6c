"""Reads an environment's configuration from the platform's store."""

import msgspec

from crocusvalve.base import Revision
from crocusvalve.config import Document, apply_delta, decode_document
from crocusvalve.control._records import HeadRecord, RevisionRecord
from crocusvalve.exceptions import ConfigConflictError, ConfigError, InvariantError
from crocusvalve.store import ObjectStore, Row, TableService

__all__ = ["HEAD_KEY", "HEAD_TABLE", "HISTORY_TABLE", "ConfigReader"]

HEAD_TABLE = "config_head"
HISTORY_TABLE = "config_history"
HEAD_KEY = "head"
#: Number of history rows read in one scan.
HISTORY_PAGE_ROWS = 200


class ConfigReader:
    """Reads revisions of one environment's document.

    Parameters
    ----------
    tables : TableService
        Holds the head row and one history row per revision.
    objects : ObjectStore
        Holds snapshots, which are full documents.
    environment : str
        Name of the environment; prefix of every key.

    Attributes
    ----------
    document_, revision_ : Document or None, Revision
        Document and revision loaded last.
    newest_seen_revision_ : Revision
        Newest revision that this process has seen in the store.
    """

    def __init__(self, tables: TableService, objects: ObjectStore, *, environment: str = ""):
        self.tables = tables
        self.objects = objects
        self.environment = environment
        self.document_: Document | None = None
        self.revision_ = Revision(0)
        self.newest_seen_revision_ = Revision(0)

    async def read_head(self) -> Revision:
        """Return the newest revision, or 0 if there is none; costs one read."""
        head, _ = await self._read_head()
        return head.revision if head else Revision(0)

    async def load(self, revision: Revision | None = None) -> tuple[Document, Revision]:
        """Return a document and its revision, the newest by default.

        The last document loaded is cached, so loading a newer one reads only the head row and the
        history rows of the revisions in between.

        Raises
        ------
        ConfigConflictError
            The store has no such revision.
        """
        head, _ = await self._read_head()
        if head is None or (revision is not None and not 0 < revision <= head.revision):
            newest = head.revision if head else 0
            raise _make_missing_revision_error(revision, newest)
        if revision is not None and revision != head.revision:
            return await self._load_old(revision), revision
        return await self._load_head(head), head.revision

    async def history(self, n: int = 20) -> list[RevisionRecord]:
        """Return the records of the last ``n`` revisions, newest first; costs two reads."""
        newest = await self.read_head()
        after = self._make_key(Revision(max(0, newest - n)))
        rows = await self.tables.scan(
            HISTORY_TABLE, prefix=f"{self.environment}/", after=after, limit=n
        )
        return [_decode_revision(row) for row in reversed(rows)]

    async def _read_head(self) -> tuple[HeadRecord | None, Row | None]:
        row = await self.tables.get(HEAD_TABLE, f"{self.environment}/{HEAD_KEY}")
        if row is None:
            return None, None
        return msgspec.msgpack.decode(row.value, type=HeadRecord), row

    async def _load_old(self, revision: Revision) -> Document:
        row = await self.tables.get(HISTORY_TABLE, self._make_key(revision))
        if row is None:
            raise _make_missing_revision_error(revision, revision)
        return await self._load_snapshot(revision, _decode_revision(row).snapshot_revision)

    async def _load_head(self, head: HeadRecord) -> Document:
        document, loaded = self.document_, self.revision_
        if document is None or not head.snapshot_revision <= loaded <= head.revision:
            document = await self._load_snapshot(head.revision, head.snapshot_revision)
        elif loaded < head.revision:
            document = await self._load_from_known(document, loaded, head)
        self._cache_document(document, head.revision)
        return document

    async def _load_from_known(
        self, document: Document, known_revision: Revision, head: HeadRecord
    ) -> Document:
        records = await self._read_records(known_revision, head.revision)
        try:
            return await self._apply_records(document, records)
        except ConfigError:
            # The cached document belongs to a history that the store lost in a restore.
            return await self._load_snapshot(head.revision, head.snapshot_revision)

    async def _load_snapshot(self, revision: Revision, snapshot_revision: Revision) -> Document:
        """Build a revision's document from the last snapshot at or past ``snapshot_revision``."""
        start = Revision(max(0, snapshot_revision - 1))
        records = await self._read_records(start, revision)
        for i in reversed(range(len(records))):
            if records[i].snapshot:
                document = await self._fetch_snapshot(records[i])
                return await self._apply_records(document, records[i + 1 :])
        raise InvariantError(
            f"no snapshot exists from revision {snapshot_revision} to {revision}",
            step="load_config",
        )

    async def _apply_records(self, document: Document, records: list[RevisionRecord]) -> Document:
        for record in records:
            if record.delta:
                document = apply_delta(document, record.delta)
            else:
                document = await self._fetch_snapshot(record)
        return document

    async def _read_records(self, base: Revision, revision: Revision) -> list[RevisionRecord]:
        """Return the records after ``base``, up to and including ``revision``."""
        records: list[RevisionRecord] = []
        last = base
        while last < revision:
            limit = min(HISTORY_PAGE_ROWS, revision - last)
            rows = await self.tables.scan(
                HISTORY_TABLE,
                prefix=f"{self.environment}/",
                after=self._make_key(last),
                limit=limit,
            )
            page = [_decode_revision(row) for row in rows]
            page = [record for record in page if record.revision <= revision]
            if not page:
                break
            records.extend(page)
            last = page[-1].revision
        return records

    async def _fetch_snapshot(self, record: RevisionRecord) -> Document:
        data = await self.objects.get_object(record.snapshot)
        if data is None:
            raise InvariantError(
                f"snapshot {record.snapshot} is missing from the object store", step="load_config"
            )
        return decode_document(data)

    def _cache_document(self, document: Document, revision: Revision) -> None:
        self.document_ = document
        self.revision_ = revision
        self.newest_seen_revision_ = max(self.newest_seen_revision_, revision)

    def _make_key(self, revision: Revision) -> str:
        return f"{self.environment}/{revision:012d}"


def _make_missing_revision_error(
    revision: Revision | None, newest: Revision
) -> ConfigConflictError:
    message = f"revision {revision} is not in the store"
    return ConfigConflictError(message, revision=newest, step="load_config")


def _decode_revision(row: Row) -> RevisionRecord:
    return msgspec.msgpack.decode(row.value, type=RevisionRecord)
