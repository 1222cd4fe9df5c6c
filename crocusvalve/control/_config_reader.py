"""Reads the configuration of an environment from the platform's service."""

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
HISTORY_PAGE_ROWS = 200


class ConfigReader:
    """Reads revisions of one environment's document.

    Parameters
    ----------
    tables : TableService
        Holds the head row and a row a revision.
    objects : ObjectStore
        Holds whole documents.
    environment : str
        Name of the environment; prefix of every key.

    Attributes
    ----------
    document_, revision_ : Document or None, Revision
        The document loaded last.
    newest_seen_ : Revision
        Newest revision that this process has seen in the store.
    """

    def __init__(self, tables: TableService, objects: ObjectStore, *, environment: str = ""):
        self.tables = tables
        self.objects = objects
        self.environment = environment
        self.document_: Document | None = None
        self.revision_ = Revision(0)
        self.newest_seen_ = Revision(0)

    async def read_head(self) -> Revision:
        """Return the newest revision, 0 where there is none; costs one read."""
        head, _ = await self._read_head()
        return head.revision if head else Revision(0)

    async def load(self, revision: Revision | None = None) -> tuple[Document, Revision]:
        """Return a document and its revision, the newest by default.

        The last document loaded is kept, so that a newer one costs the head row and the rows of
        the revisions between.

        Raises
        ------
        ConfigConflictError
            There is no such revision.
        """
        head, _ = await self._read_head()
        if head is None or (revision is not None and not 0 < revision <= head.revision):
            newest = head.revision if head else 0
            raise _make_absent_error(revision, newest)
        if revision is not None and revision != head.revision:
            return await self._load_old(revision), revision
        return await self._load_head(head), head.revision

    async def history(self, n: int = 20) -> list[RevisionRecord]:
        """Return the last revisions, newest first; costs two reads."""
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
            raise _make_absent_error(revision, revision)
        return await self._load_snapshot(revision, _decode_revision(row).snapshot_revision)

    async def _load_head(self, head: HeadRecord) -> Document:
        document, have = self.document_, self.revision_
        if document is None or not head.snapshot_revision <= have <= head.revision:
            document = await self._load_snapshot(head.revision, head.snapshot_revision)
        elif have < head.revision:
            document = await self._load_from_known(document, have, head)
        self._remember(document, head.revision)
        return document

    async def _load_from_known(
        self, document: Document, have: Revision, head: HeadRecord
    ) -> Document:
        records = await self._read_records(have, head.revision)
        try:
            return await self._apply_records(document, records)
        except ConfigError:
            # The document kept is of a history that a restored store no longer has.
            return await self._load_snapshot(head.revision, head.snapshot_revision)

    async def _load_snapshot(self, revision: Revision, snapshot_revision: Revision) -> Document:
        """Build a document from the last snapshot at or past a revision."""
        start = Revision(max(0, snapshot_revision - 1))
        records = await self._read_records(start, revision)
        for i in reversed(range(len(records))):
            if records[i].snapshot:
                document = await self._fetch_snapshot(records[i])
                return await self._apply_records(document, records[i + 1 :])
        raise InvariantError(
            f"no snapshot from revision {snapshot_revision} to {revision}", step="load_config"
        )

    async def _apply_records(self, document: Document, records: list[RevisionRecord]) -> Document:
        for record in records:
            if record.delta:
                document = apply_delta(document, record.delta)
            else:
                document = await self._fetch_snapshot(record)
        return document

    async def _read_records(self, have: Revision, revision: Revision) -> list[RevisionRecord]:
        records: list[RevisionRecord] = []
        last = have
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
            raise InvariantError(f"snapshot {record.snapshot} is missing", step="load_config")
        return decode_document(data)

    def _remember(self, document: Document, revision: Revision) -> None:
        self.document_ = document
        self.revision_ = revision
        self.newest_seen_ = max(self.newest_seen_, revision)

    def _make_key(self, revision: Revision) -> str:
        return f"{self.environment}/{revision:012d}"


def _make_absent_error(revision: Revision | None, newest: Revision) -> ConfigConflictError:
    message = f"revision {revision} is not in the store"
    return ConfigConflictError(message, revision=newest, step="load_config")


def _decode_revision(row: Row) -> RevisionRecord:
    return msgspec.msgpack.decode(row.value, type=RevisionRecord)
