"""In-memory platform: tables, objects, VM list, weight store and ratings."""

from collections.abc import Sequence

import msgspec
import trio
from sortedcontainers import SortedDict

from crocusvalve.base import VersionRef
from crocusvalve.exceptions import CrocusvalveError, ErrorCode, PlatformError
from crocusvalve.standin._platform_faults import PlatformFaults, RatingFault
from crocusvalve.standin._rating import rate_answer
from crocusvalve.store.base import (
    MAX_TRANSACT_WRITES,
    ObjectStore,
    Rating,
    RatingRequest,
    RatingService,
    Row,
    TableService,
    VmDirectory,
    VmInfo,
    WeightReservation,
    WeightStore,
    Write,
    WriteResult,
    WriteState,
)
from crocusvalve.utils import Clock, MonotonicClock

__all__ = ["MemoryPlatform", "PlatformCounters"]

DEFAULT_RATING = 0.8


class PlatformCounters(msgspec.Struct):
    """Numbers of calls, rows and failures since the start."""

    n_transacts: int = 0
    n_rows_written: int = 0
    n_conflicts: int = 0
    n_gets: int = 0
    n_scans: int = 0
    n_rows_scanned: int = 0
    n_failed: int = 0


class _VmListChange(msgspec.Struct):
    changed_at: float
    vms: list[VmInfo]


class MemoryPlatform(TableService, ObjectStore, VmDirectory, RatingService, WeightStore):
    """The platform's service in memory, with fault switches.

    Parameters
    ----------
    clock : Clock or None
        Source of the current time; None means the monotonic clock.
    weight_reservations_per_s : float
        Rate limit of the weight store, which allows bursts of one.

    Attributes
    ----------
    faults : PlatformFaults
        Active faults; may be replaced or changed at any time.
    ratings : dict of VersionRef to float
        Score of answers without a quality mark, from 0 to 1, by version; ``DEFAULT_RATING`` for
        versions that are absent.
    counters : PlatformCounters
        Numbers of calls since the start.
    """

    def __init__(self, *, clock: Clock | None = None, weight_reservations_per_s: float = 1.0):
        self._clock = clock or MonotonicClock()
        self.weight_reservations_per_s = weight_reservations_per_s
        self.faults = PlatformFaults()
        self.ratings: dict[VersionRef, float] = {}
        self.counters = PlatformCounters()
        self._tables: dict[str, SortedDict] = {}
        self._objects: dict[str, bytes] = {}
        self._vm_lists = [_VmListChange(float("-inf"), [])]
        self._next_reservation_at = float("-inf")

    async def transact(self, writes: Sequence[Write]) -> list[WriteResult]:
        """Apply all writes or none of them."""
        _check_writes(writes)
        await self._begin_call("transact")
        if self.faults.consume_lost_request():
            self.counters.n_failed += 1
            raise PlatformError("request lost", step="transact", maybe_applied=True)
        results = self._apply(writes)
        if self.faults.consume_lost_answer():
            self.counters.n_failed += 1
            raise PlatformError("answer lost", step="transact", maybe_applied=True)
        return results

    async def get(self, table: str, key: str) -> Row | None:
        """Return a row, or None if it does not exist."""
        await self._begin_call("get")
        self.counters.n_gets += 1
        return self._table(table).get(key)

    async def scan(
        self, table: str, *, prefix: str = "", after: str = "", limit: int = 1000
    ) -> list[Row]:
        """Return up to ``limit`` rows with a key prefix, in key order, after the key ``after``."""
        await self._begin_call("scan")
        rows = []
        start = max(prefix, after)
        for key in self._table(table).irange(minimum=start, inclusive=(start != after, True)):
            if not key.startswith(prefix) or len(rows) == limit:
                break
            rows.append(self._table(table)[key])
        self.counters.n_scans += 1
        self.counters.n_rows_scanned += len(rows)
        return rows

    async def put_object(self, name: str, data: bytes) -> None:
        """Store an object."""
        await self._begin_call("put")
        if self.faults.consume_lost_request():
            raise PlatformError("request lost", step="put", maybe_applied=True)
        self._objects[name] = data
        if self.faults.consume_lost_answer():
            raise PlatformError("answer lost", step="put", maybe_applied=True)

    async def get_object(self, name: str) -> bytes | None:
        """Return an object, or None if it does not exist."""
        await self._begin_call("get_object")
        return self._objects.get(name)

    def set_vms(self, vms: Sequence[VmInfo]) -> None:
        """Change the actual list of VMs; ``list_vms`` returns it after the lag."""
        self._vm_lists.append(_VmListChange(self._clock.now(), list(vms)))

    async def list_vms(self) -> list[VmInfo]:
        """Return the VMs as they were ``faults.vm_list_lag_s`` seconds ago."""
        await self._begin_call("list_vms")
        visible_at = self._clock.now() - self.faults.vm_list_lag_s
        visible = [change for change in self._vm_lists if change.changed_at <= visible_at]
        return list(visible[-1].vms)

    async def rate(self, req: RatingRequest) -> Rating:
        """Rate an answer by its quality mark, or by its version if it has none."""
        await self._begin_call("rate")
        if self.faults.ratings is RatingFault.STOPPED:
            raise PlatformError("ratings stopped", step="rate")
        score = rate_answer(req.prompt, req.answer)
        if score is None:
            score = self.ratings.get(req.version, DEFAULT_RATING)
        if self.faults.ratings is RatingFault.LYING:
            score = 1.0 - score
        return Rating(score)

    async def reserve(self, version: VersionRef) -> WeightReservation:
        """Reserve one load of a version's weights."""
        await self._begin_call("reserve")
        now = self._clock.now()
        if now < self._next_reservation_at:
            return WeightReservation(False, self._next_reservation_at - now)
        rate = self.faults.weight_reservations_per_s or self.weight_reservations_per_s
        self._next_reservation_at = now + 1.0 / rate
        return WeightReservation(True)

    def dump_tables(self) -> dict[str, dict[str, Row]]:
        """Return a copy of all tables, as a backup would hold it."""
        return {name: dict(table) for name, table in self._tables.items()}

    def restore_tables(self, tables: dict[str, dict[str, Row]]) -> None:
        """Replace all tables by a copy from ``dump_tables``."""
        self._tables = {name: SortedDict(rows) for name, rows in tables.items()}

    def _table(self, name: str) -> SortedDict:
        return self._tables.setdefault(name, SortedDict())

    async def _begin_call(self, step: str) -> None:
        await trio.lowlevel.checkpoint()
        if self.faults.delay_s:
            await trio.sleep(self.faults.delay_s)
        if self.faults.is_down:
            self.counters.n_failed += 1
            raise PlatformError("the platform is down", step=step)

    def _apply(self, writes: Sequence[Write]) -> list[WriteResult]:
        self.counters.n_transacts += 1
        rows = [self._table(write.table).get(write.key) for write in writes]
        pairs = list(zip(writes, rows, strict=True))
        if not all(_meets_condition(write, row) for write, row in pairs):
            self.counters.n_conflicts += 1
            return [_make_result(write, row, _find_state(write, row)) for write, row in pairs]
        return [self._apply_one(write, row) for write, row in pairs]

    def _apply_one(self, write: Write, row: Row | None) -> WriteResult:
        if _is_applied(write, row):
            return _make_result(write, row, WriteState.APPLIED)
        self.counters.n_rows_written += 1
        table = self._table(write.table)
        if write.value is None:
            table.pop(write.key, None)
            return _make_result(write, None, WriteState.APPLIED)
        version = row.version + 1 if row else 1
        new = Row(write.key, version, write.value, write.write_id)
        table[write.key] = new
        return _make_result(write, new, WriteState.APPLIED)


def _check_writes(writes: Sequence[Write]) -> None:
    n_rows = len({(write.table, write.key) for write in writes})
    if not 1 <= len(writes) <= MAX_TRANSACT_WRITES or n_rows != len(writes):
        message = f"writes must be 1 to {MAX_TRANSACT_WRITES} to different rows, got {len(writes)}"
        raise CrocusvalveError(ErrorCode.BAD_REQUEST, message, step="transact")


def _is_applied(write: Write, row: Row | None) -> bool:
    return row is not None and row.write_id == write.write_id


def _meets_condition(write: Write, row: Row | None) -> bool:
    if write.if_version is None or _is_applied(write, row):
        return True
    return write.if_version == (row.version if row else 0)


def _find_state(write: Write, row: Row | None) -> WriteState:
    if _is_applied(write, row):
        return WriteState.APPLIED
    return WriteState.SKIPPED if _meets_condition(write, row) else WriteState.CONFLICT


def _make_result(write: Write, row: Row | None, state: WriteState) -> WriteResult:
    return WriteResult(write_id=write.write_id, state=state, row=row)
