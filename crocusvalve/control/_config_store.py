"""Stores the configuration in the platform's store: a head row, history rows and snapshots."""

import msgspec

from crocusvalve.base import Revision, WriteId
from crocusvalve.config import Document, encode_document, make_delta
from crocusvalve.control._config_reader import (
    HEAD_KEY,
    HEAD_TABLE,
    HISTORY_TABLE,
    ConfigReader,
)
from crocusvalve.control._records import HeadRecord, RevisionRecord
from crocusvalve.exceptions import ConfigConflictError, PlatformError
from crocusvalve.store import ObjectStore, Row, TableService, Write, WriteIdMaker, WriteResult

__all__ = ["ConfigStore"]

#: Number of revisions between two snapshots.
SNAPSHOT_EVERY = 64


class ConfigStore(ConfigReader):
    """Reads and publishes revisions of one environment's document.

    Parameters
    ----------
    tables : TableService
        Holds the head row and one history row per revision.
    objects : ObjectStore
        Holds snapshots, which are full documents.
    environment : str
        Name of the environment; prefix of every key.
    snapshot_every : int
        Number of revisions between two snapshots.
    write_ids : WriteIdMaker or None
        Generates ids of writes; a new generator by default.
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
        super().__init__(tables, objects, environment=environment)
        self.snapshot_every = snapshot_every
        self.write_ids = write_ids or WriteIdMaker()

    async def publish(
        self, base: Revision, document: Document, author: str, now: float, *, note: str = ""
    ) -> Revision:
        """Publish a document as the revision after ``base``, and return that revision.

        Parameters
        ----------
        base : Revision
            Revision that the change is based on; 0 for the first document.
        document : Document
            Full document of the new revision.
        author : str
            Operator who publishes.
        now : float
            Current Unix time in seconds.
        note : str
            Remark stored in the history.

        Raises
        ------
        ConfigConflictError
            Another revision was published since ``base``, or the store has lost revisions that
            this process has seen; the error contains the newest revision.
        PlatformError
            The store failed; ``maybe_applied`` is True if the revision may have been published or
            may still be published.
        """
        head, row = await self._read_head()
        newest = head.revision if head else Revision(0)
        if newest != base:
            raise _make_conflict_error(base, newest)
        if newest < self.newest_seen_revision_:
            raise _make_conflict_error(base, self.newest_seen_revision_)
        old = await self._load_head(head) if head else None
        record = RevisionRecord(
            revision=Revision(base + 1),
            author=author,
            at=now,
            delta=make_delta(old, document) if old else b"",
            snapshot_revision=head.snapshot_revision if head else Revision(0),
            note=note,
        )
        if old is None or record.revision - record.snapshot_revision >= self.snapshot_every:
            record = await self._add_snapshot(record, document)
        await self._swap_head(record, row)
        self._cache_document(document, record.revision)
        return record.revision

    async def repair(self, document: Document, revision: Revision, author: str, now: float) -> bool:
        """Write a known revision back to a store that was restored from an older copy.

        Returns
        -------
        bool
            False if the head is already at that revision or past it.
        """
        head, row = await self._read_head()
        if head is not None and head.revision >= revision:
            return False
        record = RevisionRecord(revision=revision, author=author, at=now, note="repair")
        record = await self._add_snapshot(record, document)
        await self._swap_head(record, row)
        self._cache_document(document, revision)
        return True

    async def _add_snapshot(self, record: RevisionRecord, document: Document) -> RevisionRecord:
        name = f"config/{self.environment}/{record.revision:012d}-{self.write_ids.make()}"
        await self._put_snapshot(name, document)
        return msgspec.structs.replace(record, snapshot=name, snapshot_revision=record.revision)

    async def _put_snapshot(self, name: str, document: Document) -> None:
        try:
            await self.objects.put_object(name, encode_document(document))
        except PlatformError as exc:
            # A snapshot that no row refers to is not a revision, so the publication certainly
            # failed and the error must not say ``maybe_applied``.
            raise PlatformError(exc.message, step="publish_config", peer=exc.peer) from exc

    async def _swap_head(self, record: RevisionRecord, row: Row | None) -> None:
        head = HeadRecord(
            revision=record.revision,
            snapshot_revision=record.snapshot_revision,
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
            if not exc.maybe_applied or not await self._is_swap_applied(record, write_id, exc):
                raise
            return
        await self._check_swap_results(results, record, write_id)

    async def _check_swap_results(
        self, results: list[WriteResult], record: RevisionRecord, write_id: WriteId
    ) -> None:
        if results[0].is_applied:
            return
        history = results[1].row
        if history is not None and history.write_id == write_id:
            return
        newest = await self.read_head()
        raise _make_conflict_error(Revision(record.revision - 1), newest)

    async def _is_swap_applied(
        self, record: RevisionRecord, write_id: WriteId, cause: PlatformError
    ) -> bool:
        """Return whether a swap whose answer was lost was applied.

        The history row is reliable evidence of this, as it is never overwritten. If it holds
        another writer's revision, ConfigConflictError is raised; if it can't be read, ``cause`` is.
        """
        try:
            row = await self.tables.get(HISTORY_TABLE, self._make_key(record.revision))
        except PlatformError:
            raise cause from None
        if row is None:
            return False
        if row.write_id == write_id:
            return True
        raise _make_conflict_error(Revision(record.revision - 1), record.revision)


def _make_conflict_error(base: Revision, newest: Revision) -> ConfigConflictError:
    return ConfigConflictError(
        f"the change is based on revision {base}, the newest is {newest}",
        revision=newest,
        step="publish_config",
    )
