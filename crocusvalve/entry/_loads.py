"""Controller task that orders engines to load and unload versions."""

import logging

import trio

from crocusvalve.base import ExecutionStatus, UpstreamId, UpstreamKind, UpstreamState, VersionRef
from crocusvalve.control import ControllerTask, LeaseManager
from crocusvalve.engines import EngineRow, LoaderTables, ModelLoader, OrderLoad, OrderUnload
from crocusvalve.entry._agents import AgentPool
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.model import EntryTables, UpstreamRow
from crocusvalve.rpc import UpstreamOrder, UpstreamOrderAction, UpstreamOrderReply
from crocusvalve.store import WeightStore
from crocusvalve.utils import Clock

__all__ = ["LoadTask"]

logger = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 3.0
RESERVE_TIMEOUT_S = 3.0
#: Delay before the next request to the weight store after it failed.
RESERVE_RETRY_S = 5.0
#: Bounds on planned loads; the weight store grants the actual rate.
MAX_LOADS_PER_S = 2.0
MAX_LOADS_AT_ONCE = 4
#: Time after which a load is ordered again if it was accepted but had no effect.
LOAD_TIMEOUT_S = 120.0
#: Delay before a load is ordered again after a missing reply, or after a refusal that did not come
#: from the engine; doubles with each such failure up to ``LOAD_TIMEOUT_S``.
LOAD_RETRY_S = 5.0
MAX_DOUBLINGS = 5
#: Delay before an unload that had no effect is ordered again.
UNLOAD_RETRY_S = 10.0
MAX_UNLOADS_PER_RUN = 32
N_PARALLEL_UNLOADS = 16
#: Engines don't report the size of their memory; they refuse a load that doesn't fit into it.
UNKNOWN_MEMORY_GB = float("inf")
OPEN_STATES = (UpstreamState.COLD, UpstreamState.WARM)


class LoadTask(ControllerTask):
    """Makes engines load the versions that the document assigns to them, and unload all others.

    Runs while this entry holds the controller's lease. Sends orders only to engines that are in
    this entry's subset of upstreams and report which versions they have loaded.

    Parameters
    ----------
    tables : EntryTables
        Upstream rows with their load reports.
    pool : AgentPool
        RPC clients of the agents.
    weights : WeightStore
        Must grant each load before it is ordered.
    clock : Clock
        Source of the current time.
    """

    name = "loads"

    def __init__(self, *, tables: EntryTables, pool: AgentPool, weights: WeightStore, clock: Clock):
        self.tables = tables
        self.pool = pool
        self.weights = weights
        self.clock = clock
        self.loader_tables = LoaderTables(tables.view)
        self._unload_retry_at: dict[tuple[UpstreamId, VersionRef], float] = {}
        self._n_failures: dict[tuple[UpstreamId, VersionRef], int] = {}

    async def run_once(self, lease: LeaseManager, now: float) -> None:
        """Plan loads and unloads from the upstream rows, then send the orders that are due."""
        fill_loader_tables(self.loader_tables, self.tables)
        engines = self.loader_tables.engines
        self._n_failures = {key: n for key, n in self._n_failures.items() if key[0] in engines}
        loader = ModelLoader(
            number=lease.number,
            loads_per_s=MAX_LOADS_PER_S,
            burst=MAX_LOADS_AT_ONCE,
            timeout_s=LOAD_TIMEOUT_S,
        )
        commands = loader.run(self.loader_tables, now)
        loads = [command for command in commands if isinstance(command, OrderLoad)]
        unloads = [command for command in commands if isinstance(command, OrderUnload)]
        for load in loads:
            # A load counts as in progress only after its order has been sent to the engine.
            del self.loader_tables.engines[load.upstream_id].loading[load.version]
        await self._order_unloads(lease, unloads, now)
        for load in loads:
            if not await self._order_load(lease, load):
                return

    async def _order_load(self, lease: LeaseManager, load: OrderLoad) -> bool:
        """Reserve and order a load; return whether further loads may be ordered in this run."""
        if not lease.is_held(self.clock.now()) or not await self._reserve(load.version):
            return False
        if not lease.is_held(self.clock.now()):
            return False
        reply = await self._send_order(load, UpstreamOrderAction.LOAD)
        wait_s = self._record_reply(load, reply)
        row = self.loader_tables.engines[load.upstream_id]
        row.loading[load.version] = self.clock.now() + wait_s
        return True

    def _record_reply(self, load: OrderLoad, reply: UpstreamOrderReply | None) -> float:
        """Count a load's failures; return the delay in seconds after which it is ordered again.

        ``reply`` is None if no reply was received. The load is ordered again only if it has had no
        effect by then.
        """
        key = (load.upstream_id, load.version)
        if reply is not None and (reply.accepted or is_refused_by_engine(reply)):
            self._n_failures.pop(key, None)
            return LOAD_TIMEOUT_S
        n_failed = self._n_failures.get(key, 0)
        self._n_failures[key] = n_failed + 1
        return min(LOAD_TIMEOUT_S, LOAD_RETRY_S * 2.0 ** min(n_failed, MAX_DOUBLINGS))

    async def _reserve(self, version: VersionRef) -> bool:
        try:
            with trio.fail_after(RESERVE_TIMEOUT_S):
                reservation = await self.weights.reserve(version)
        except (CrocusvalveError, trio.TooSlowError) as exc:
            logger.info("weight store failed to reserve a load of %s: %r", version, exc)
            self.loader_tables.defer_loads(self.clock.now() + RESERVE_RETRY_S)
            return False
        if not reservation.is_granted:
            self.loader_tables.defer_loads(self.clock.now() + reservation.retry_after_s)
        return reservation.is_granted

    async def _order_unloads(
        self, lease: LeaseManager, unloads: list[OrderUnload], now: float
    ) -> None:
        self._unload_retry_at = {
            key: retry_at for key, retry_at in self._unload_retry_at.items() if now < retry_at
        }
        due = [
            unload
            for unload in unloads
            if (unload.upstream_id, unload.version) not in self._unload_retry_at
        ]
        limiter = trio.CapacityLimiter(N_PARALLEL_UNLOADS)
        async with trio.open_nursery() as nursery:
            for unload in due[:MAX_UNLOADS_PER_RUN]:
                nursery.start_soon(self._order_unload, lease, unload, limiter)

    async def _order_unload(
        self, lease: LeaseManager, unload: OrderUnload, limiter: trio.CapacityLimiter
    ) -> None:
        async with limiter:
            now = self.clock.now()
            if not lease.is_held(now):
                return
            self._unload_retry_at[unload.upstream_id, unload.version] = now + UNLOAD_RETRY_S
            await self._send_order(unload, UpstreamOrderAction.UNLOAD)

    async def _send_order(
        self, command: OrderLoad | OrderUnload, action: UpstreamOrderAction
    ) -> UpstreamOrderReply | None:
        """Send an order and return the reply; None if there is none and the effect is unknown."""
        row = self.tables.upstreams.get(command.upstream_id)
        if row is None:
            return None
        order = UpstreamOrder(action=action, number=command.number, version=command.version)
        try:
            with trio.fail_after(ORDER_TIMEOUT_S):
                reply = await self.pool.get(row.agent).order_upstream(order)
        except (CrocusvalveError, trio.TooSlowError) as exc:
            logger.info("%s did not reply to an order: %r", command.upstream_id, exc)
            return None
        log = logger.info if reply.accepted else logger.warning
        log(
            "order %d to %s: %s %s, %s",
            command.number,
            command.upstream_id,
            action.value,
            command.version,
            (
                "accepted"
                if reply.accepted
                else f"refused with {reply.code} at number {reply.number}"
            ),
        )
        return reply


def is_refused_by_engine(reply: UpstreamOrderReply) -> bool:
    """Return whether the engine itself refused an order, such as for lack of memory."""
    return reply.code == ErrorCode.UPSTREAM_FAILED.name and reply.ran is ExecutionStatus.NOT_RUN


def fill_loader_tables(loader_tables: LoaderTables, tables: EntryTables) -> None:
    """Update the loader's engine rows from an entry's upstream rows."""
    loader_tables.view = tables.view
    wanted = {row.upstream_id: row for row in tables.upstreams.values() if is_orderable(row)}
    for upstream_id in list(loader_tables.engines):
        if upstream_id not in wanted:
            del loader_tables.engines[upstream_id]
    for upstream_id, row in wanted.items():
        engine = loader_tables.engines.get(upstream_id)
        if engine is None:
            engine = EngineRow(
                upstream_id=upstream_id, domain=row.domain, memory_gb=UNKNOWN_MEMORY_GB
            )
            loader_tables.engines[upstream_id] = engine
        engine.domain = row.domain
        engine.accepts_loads = tables.is_upstream_open(row)
        loader_tables.update_loaded(upstream_id, set(row.loaded or ()))


def is_orderable(row: UpstreamRow) -> bool:
    """Return whether an upstream is a reachable engine of the subset that reports its versions."""
    is_known = row.kind is UpstreamKind.ENGINE and row.loaded is not None
    return is_known and row.in_subset and row.state in OPEN_STATES
