"""Roll-outs at an entry: reading the rows, reporting counts, and the task of the controller.

Every entry reads the rows of the roll-outs and writes its own outcome counts to the store; the
controller aggregates the counts and advances the roll-outs.
"""

import logging

import msgspec
import trio

from crocusvalve.base import Command, NodeId, VersionState
from crocusvalve.config import Document, set_current_version, set_version_state
from crocusvalve.config._view import get_model_ref
from crocusvalve.control import ControllerTask, LeaseManager
from crocusvalve.entry._intervals import compute_rollout_counts_interval_s
from crocusvalve.entry._notice_distributor import NoticeDistributor
from crocusvalve.entry._publisher import DocumentPublisher
from crocusvalve.entry._tables import CoreTables
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.model import RolloutRow
from crocusvalve.rollout import (
    CompleteRollout,
    RolloutCounts,
    RolloutLedger,
    RolloutSystem,
    SaveRollout,
    WithdrawVersion,
    aggregate,
    apply_rollout_row,
)
from crocusvalve.rpc import NoticeKind
from crocusvalve.store import TableService, Write, WriteIdMaker
from crocusvalve.utils import Clock

__all__ = ["ROLLOUT_TABLE", "RolloutFollower", "RolloutTask"]

logger = logging.getLogger(__name__)

ROLLOUT_TABLE = "rollouts"
COUNTS_TABLE = "rollout_counts"


class RolloutFollower:
    """Reads the roll-out rows from the store periodically and writes this entry's counts.

    Parameters
    ----------
    store : TableService
        Store of roll-out rows and counts.
    tables : CoreTables
        Tables that are updated with the rows.
    ledger : RolloutLedger
        Outcome counts of this entry.
    n_entries : int
        Number of entries that write counts, which determines the interval.
    """

    def __init__(
        self, store: TableService, tables: CoreTables, ledger: RolloutLedger, *, n_entries: int = 1
    ):
        self.store = store
        self.tables = tables
        self.ledger = ledger
        self.write_ids = WriteIdMaker()
        self.interval_s = compute_rollout_counts_interval_s(n_entries)
        self._written: dict[str, RolloutCounts] = {}

    async def run(self) -> None:
        """Read and write periodically until cancelled; an error of the store is logged."""
        while True:
            try:
                await self.follow_once()
            except CrocusvalveError as exc:
                logger.info("failed to read roll-outs or to write their counts: %s", exc)
            await trio.sleep(self.interval_s)

    async def follow_once(self) -> None:
        """Read the rows and write the changed counts, if the document declares any roll-out."""
        if not any(member.rollouts for member in self.tables.view.document.members.values()):
            return
        for row in await self.store.scan(ROLLOUT_TABLE):
            apply_rollout_row(self.tables, msgspec.msgpack.decode(row.value, type=RolloutRow))
        for counts in self.ledger.list_reports():
            if self._written.get(counts.rollout_id) != counts:
                await self._write_counts(counts)

    async def _write_counts(self, counts: RolloutCounts) -> None:
        key = f"{counts.rollout_id}/{counts.node_id}/{counts.boot_id}"
        value = msgspec.msgpack.encode(counts)
        write = Write(table=COUNTS_TABLE, key=key, value=value, write_id=self.write_ids.make())
        await self.store.transact([write])
        self._written[counts.rollout_id] = counts


class RolloutTask(ControllerTask):
    """Advances the roll-outs while this entry holds the controller's lease.

    Parameters
    ----------
    store : TableService
        Store of roll-out rows and counts.
    tables : CoreTables
        Tables of the entry, with the roll-out rows.
    publisher : DocumentPublisher
        Publishes withdrawals and completed roll-outs in the document.
    notices : NoticeDistributor
        Distributes a withdrawal to all processes immediately.
    node_id : NodeId
        Node ID of this entry.
    clock : Clock
        Source of the current time.
    """

    name = "rollouts"

    def __init__(
        self,
        *,
        store: TableService,
        tables: CoreTables,
        publisher: DocumentPublisher,
        notices: NoticeDistributor,
        node_id: NodeId,
        clock: Clock,
    ):
        self.store = store
        self.tables = tables
        self.publisher = publisher
        self.notices = notices
        self.node_id = node_id
        self.clock = clock
        self.write_ids = WriteIdMaker()
        self._row_versions: dict[str, int] = {}

    async def run_once(self, lease: LeaseManager, now: float) -> None:
        """Read the rows, aggregate the counts, decide, and execute the resulting commands."""
        await self._read_rows()
        await self._aggregate()
        system = RolloutSystem(node_id=self.node_id, lease_number=lease.number)
        for command in system.run(self.tables, now):
            if not lease.is_held(self.clock.now()):
                return
            await self._execute(command)

    async def _read_rows(self) -> None:
        self._row_versions.clear()
        for row in await self.store.scan(ROLLOUT_TABLE):
            self._row_versions[row.key] = row.version
            apply_rollout_row(self.tables, msgspec.msgpack.decode(row.value, type=RolloutRow))

    async def _aggregate(self) -> None:
        for model, row in list(self.tables.rollouts.items()):
            found = await self.store.scan(COUNTS_TABLE, prefix=f"{row.rollout_id}/")
            reports = [msgspec.msgpack.decode(item.value, type=RolloutCounts) for item in found]
            self.tables.rollouts[model] = aggregate(row, reports)

    async def _execute(self, command: Command) -> None:
        if isinstance(command, SaveRollout):
            await self._save(command.row)
        elif isinstance(command, WithdrawVersion):
            await self._withdraw(command)
        elif isinstance(command, CompleteRollout):
            await self._complete(command)

    async def _save(self, row: RolloutRow) -> None:
        write = Write(
            table=ROLLOUT_TABLE,
            key=row.model,
            value=msgspec.msgpack.encode(row),
            write_id=self.write_ids.make(),
            if_version=self._row_versions.get(row.model, 0),
        )
        (result,) = await self.store.transact([write])
        if result.is_applied:
            logger.info(
                "roll-out %s: stage %d, %s %s",
                row.rollout_id,
                row.stage,
                row.state.value,
                row.reason,
            )
            apply_rollout_row(self.tables, row)

    async def _withdraw(self, command: WithdrawVersion) -> None:
        logger.error("withdrawing version %s: %s", command.version, command.reason)
        self.notices.issue(NoticeKind.WITHDRAWN, command.version)
        member, _, model = get_model_ref(command.version).partition("/")
        version = command.version.partition("@")[2]

        def edit(document: Document) -> Document:
            return set_version_state(document, member, model, version, VersionState.WITHDRAWN)

        await self.publisher.edit(edit, f"roll-out {command.rollout_id}")

    async def _complete(self, command: CompleteRollout) -> None:
        member, _, model = command.model.partition("/")
        version = command.version.partition("@")[2]
        await self.publisher.edit(
            lambda document: set_current_version(document, member, model, version),
            f"roll-out {command.rollout_id}",
        )
