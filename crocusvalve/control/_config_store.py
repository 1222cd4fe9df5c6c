"""The configuration in the platform's service: one head row, a row a revision, snapshots."""

import msgspec

from crocusvalve.base import Revision, WriteId
from crocusvalve.config import (
    Document,
    apply_delta,
    decode_document,
    encode_document,
    make_delta,
)
from crocusvalve.control._records import HeadRecord, RevisionRecord
from crocusvalve.exceptions import (
    ConfigConflictError,
    ConfigError,
    InvariantError,
    PlatformError,
)
from crocusvalve.platform import ObjectStore, Row, TableService, Write, WriteIdMaker, WriteResult

__all__ = ["ConfigStore"]

HEAD_TABLE = "config_head"
HISTORY_TABLE = "config_history"
HEAD_KEY = "head"
SNAPSHOT_EVERY = 64
HISTORY_PAGE_ROWS = 200


class ConfigStore:
    """Reads and publishes revisions of one environment's document.

    Parameters
    ----------
    tables : TableService
        Holds the head row and a row a revision.
    objects : ObjectStore
        Holds whole documents.
    environment : str
        Name of the environment; prefix of every key.
    snapshot_every : int
        Revisions between two whole documents.
    write_ids : WriteIdMaker or None
        Makes the ids of writes.
    """

    def __init__(
        self,
        tables: TableService,
        objects: ObjectStore,
        *,
        environment: str = "",
        snapshot_every: int = SNAPSHOT_EVERY,
        write_ids: WriteIdMaker | None = None,
    ):
        self.tables = tables
        self.objects = objects
        self.environment = environment
        self.snapshot_every = snapshot_every
        self.write_ids = write_ids or WriteIdMaker()
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
            raise ConfigConflictError(
                f"revision {revision} is not in the store", revision=newest, step="load_config"
            )
        if revision is not None and revision != head.revision:
            return await self._load_from_snapshot(revision), revision
        return await self._load_head(head), head.revision

    async def publish(
        self, base: Revision, document: Document, author: str, now: float, *, note: str = ""
    ) -> Revision:
        """Accept a document as the revision after ``base``.

        Parameters
        ----------
        base : Revision
            Revision that the author changed; 0 for the first document.
        note : str
            Remark kept in the history.

        Raises
        ------
        ConfigConflictError
            Another revision was accepted since, or the store has lost revisions that this
            process has seen; the error carries the newest revision.
        PlatformError
            ``maybe_applied`` tells whether the revision may be or become accepted.
        """
        head, row = await self._read_head()
        newest = head.revision if head else Revision(0)
        if newest != base:
            raise _make_conflict(base, newest)
        if newest < self.newest_seen_:
            raise _make_conflict(base, self.newest_seen_)
        old = await self._load_head(head) if head else None
        record = RevisionRecord(
            revision=Revision(base + 1),
            author=author,
            at=now,
            delta=make_delta(old, document) if old else b"",
            note=note,
        )
        snapshot_revision = head.snapshot_revision if head else Revision(0)
        if old is None or record.revision - snapshot_revision >= self.snapshot_every:
            record = await self._add_snapshot(record, document)
            snapshot_revision = record.revision
        await self._swap_head(record, snapshot_revision, row)
        self._remember(document, record.revision)
        return record.revision

    async def repair(self, document: Document, revision: Revision, author: str, now: float) -> bool:
        """Write a known revision over a head that was restored from an older copy.

        Returns
        -------
        bool
            False where the head is already at the revision or past it.
        """
        head, row = await self._read_head()
        if head is not None and head.revision >= revision:
            return False
        record = RevisionRecord(revision=revision, author=author, at=now, note="repair")
        record = await self._add_snapshot(record, document)
        await self._swap_head(record, revision, row)
        self._remember(document, revision)
        return True

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

    async def _load_head(self, head: HeadRecord) -> Document:
        document, have = self.document_, self.revision_
        if document is None or not head.snapshot_revision <= have <= head.revision:
            document = await self._load_from_snapshot(head.revision)
        elif have < head.revision:
            document = await self._load_from_known(document, have, head.revision)
        self._remember(document, head.revision)
        return document

    async def _load_from_known(
        self, document: Document, have: Revision, revision: Revision
    ) -> Document:
        try:
            return await self._apply_records(document, have, revision)
        except ConfigError:
            # The document kept is of a history that a restored store no longer has.
            return await self._load_from_snapshot(revision)

    async def _load_from_snapshot(self, revision: Revision) -> Document:
        document, have = await self._load_snapshot(revision)
        return await self._apply_records(document, have, revision)

    async def _apply_records(
        self, document: Document, have: Revision, revision: Revision
    ) -> Document:
        for record in await self._read_records(have, revision):
            if record.delta:
                document = apply_delta(document, record.delta)
            else:
                document = await self._fetch_snapshot(record)
        return document

    async def _load_snapshot(self, revision: Revision) -> tuple[Document, Revision]:
        start = Revision(max(0, revision - self.snapshot_every))
        records = await self._read_records(start, revision)
        for record in reversed(records):
            if record.snapshot:
                return await self._fetch_snapshot(record), record.revision
        raise InvariantError(
            f"no snapshot within {self.snapshot_every} revisions before {revision}",
            step="load_config",
        )

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

    async def _add_snapshot(self, record: RevisionRecord, document: Document) -> RevisionRecord:
        name = f"config/{self.environment}/{record.revision:012d}-{self.write_ids.make()}"
        await self._put_snapshot(name, document)
        return msgspec.structs.replace(record, snapshot=name)

    async def _put_snapshot(self, name: str, document: Document) -> None:
        try:
            await self.objects.put_object(name, encode_document(document))
        except PlatformError as exc:
            # An object that no row names is no revision, so the publication certainly failed.
            raise PlatformError(exc.message, step="publish_config", peer=exc.peer) from exc

    async def _swap_head(
        self, record: RevisionRecord, snapshot_revision: Revision, row: Row | None
    ) -> None:
        head = HeadRecord(
            revision=record.revision,
            snapshot_revision=snapshot_revision,
            author=record.author,
            at=record.at,
        )
        write_id = self.write_ids.make()
        writes = [
            Write(
                table=HEAD_TABLE,
                key=f"{self.environment}/{HEAD_KEY}",
                value=msgspec.msgpack.encode(head),
                write_id=write_id,
                if_version=row.version if row else 0,
            ),
            Write(
                table=HISTORY_TABLE,
                key=self._make_key(record.revision),
                value=msgspec.msgpack.encode(record),
                write_id=write_id,
                if_version=0,
            ),
        ]
        try:
            results = await self.tables.transact(writes)
        except PlatformError as exc:
            if not exc.maybe_applied or not await self._is_accepted(record, write_id, exc):
                raise
            return
        await self._check_swapped(results, record, write_id)

    async def _check_swapped(
        self, results: list[WriteResult], record: RevisionRecord, write_id: WriteId
    ) -> None:
        if results[0].is_applied:
            return
        history = results[1].row
        if history is not None and history.write_id == write_id:
            return
        newest = await self.read_head()
        raise _make_conflict(Revision(record.revision - 1), newest)

    async def _is_accepted(
        self, record: RevisionRecord, write_id: WriteId, cause: PlatformError
    ) -> bool:
        """Read back a swap without an answer; the history row is never overwritten."""
        try:
            row = await self.tables.get(HISTORY_TABLE, self._make_key(record.revision))
        except PlatformError:
            raise cause from None
        if row is None:
            return False
        if row.write_id == write_id:
            return True
        raise _make_conflict(Revision(record.revision - 1), record.revision)

    def _remember(self, document: Document, revision: Revision) -> None:
        self.document_ = document
        self.revision_ = revision
        self.newest_seen_ = max(self.newest_seen_, revision)

    def _make_key(self, revision: Revision) -> str:
        return f"{self.environment}/{revision:012d}"


def _decode_revision(row: Row) -> RevisionRecord:
    return msgspec.msgpack.decode(row.value, type=RevisionRecord)


def _make_conflict(base: Revision, newest: Revision) -> ConfigConflictError:
    return ConfigConflictError(
        f"the change is based on revision {base}, the newest is {newest}",
        revision=newest,
        step="publish_config",
    )
