"""The gateway's process: starts its parts, stops gracefully."""

import logging
import os
import random
import uuid
from collections.abc import Callable

import trio
from prometheus_client import CollectorRegistry

from crocusvalve.exceptions import PlatformError
from crocusvalve.gateway._attempts import AttemptDesk
from crocusvalve.gateway._crashes import CrashBook
from crocusvalve.gateway._followers import (
    OperatorTableHandler,
    StatusTableHandler,
    StoreState,
    TableFollower,
    UpstreamTableHandler,
)
from crocusvalve.gateway._listener import CallerConnection
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway._peer_link import PeerLink
from crocusvalve.gateway._peers import PeerNews, PeerTable
from crocusvalve.gateway._prompts import note_parts
from crocusvalve.gateway._ready import ReadyListener
from crocusvalve.gateway._relay import Relay
from crocusvalve.gateway._sockets import open_listeners
from crocusvalve.gateway._stopping import StopPlan
from crocusvalve.gateway._table_copies import TableCopies
from crocusvalve.gateway._tables import GatewayTables
from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import GatewaySettings, HeaderCodec, RecordCodec
from crocusvalve.store import Backoff
from crocusvalve.store.base import ChangeFeed
from crocusvalve.utils import Clock

__all__ = ["Gateway"]

logger = logging.getLogger(__name__)

#: Calls that wait for changes end this much before the time after which bounds hold again, so that
#: a connection to the store that has fallen silent is replaced by then; and the shortest wait.
WAIT_MARGIN_S = 0.5
MIN_WAIT_S = 1.0
#: Upstreams refresh their entries all the time; changes are fetched each of these parts of the time
#: within which a leaving one must get no more work.
UPSTREAM_PAUSE_PART = 0.3
BACKOFF_BASE_S = 0.1
BACKOFF_MAX_S = 1.0
#: Table in which gateways find each other, and the pause between two looks.
MEMBER_TABLE = "gateways"
MEMBER_PAUSE_S = 15.0
MEMBER_RETRY_S = 1.0
#: How often a gateway that stops looks whether requests are open.
LOOK_S = 0.05
#: The others' loads are summed at most this often, since the work grows with their number.
SUM_INTERVAL_S = 0.1
#: Prompts sent within this time are told, so that each is told about twice.
TELL_PARTS_S = 1.0
#: Most digests of crashes told in one message.
MAX_TOLD_DIGESTS = 16


class Gateway:
    """All parts of a gateway.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    feed : ChangeFeed
        The store.
    headers : HeaderCodec
        Words of callers' and upstreams' headers.
    records : RecordCodec
        Words of the store's records.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        feed: ChangeFeed,
        headers: HeaderCodec,
        records: RecordCodec,
        clock: Clock,
        random_state: random.Random,
        count_dropped_lines: Callable[[], int] = lambda: 0,
    ):
        self.settings = settings
        self.feed = feed
        self.headers = headers
        self.clock = clock
        self.random_state = random_state
        self.boot = uuid.UUID(int=random_state.getrandbits(128)).hex[:12]
        self.registry = CollectorRegistry()
        self.observer = GatewayObserver(self.registry)
        self.observer.track_dropped_lines(count_dropped_lines)
        self.tables = GatewayTables()
        self.store = StoreState()
        self.observer.track_store_age(lambda: clock.now() - self.store.answered_at)
        self.outcome_counts = OutcomeCountsTable()
        self.crashes = CrashBook()
        self.peers = PeerTable(settings.node_id, settings.peer.host)
        self.peers.add_hosts((seed.host for seed in settings.seeds), clock.now())
        parts = (self.tables, records, self.observer, self.store)
        self.operator_handler = OperatorTableHandler(*parts)
        self.upstream_handler = UpstreamTableHandler(*parts, drain_s=settings.bounds.drain_s)
        self.status_handler = StatusTableHandler(*parts)
        self.copies = TableCopies(
            address=settings.peer,
            handlers=(self.operator_handler, self.upstream_handler, self.status_handler),
            peers=self.peers,
            observer=self.observer,
            clock=clock,
            random_state=random_state,
        )
        self.upgrades = UpgradeController(
            settings=settings,
            tables=self.tables,
            peers=self.peers,
            outcome_counts=self.outcome_counts,
            feed=feed,
            status_handler=self.status_handler,
            store=self.store,
            observer=self.observer,
            clock=clock,
        )
        self.desk = AttemptDesk(
            settings=settings,
            tables=self.tables,
            peers=self.peers,
            crashes=self.crashes,
            outcome_counts=self.outcome_counts,
            codec=headers,
            observer=self.observer,
            clock=clock,
        )
        self.relay = Relay(
            tables=self.tables,
            desk=self.desk,
            upgrades=self.upgrades,
            observer=self.observer,
            clock=clock,
        )
        self._nursery: trio.Nursery | None = None
        self._summed_at = float("-inf")

    def is_ready(self) -> bool:
        """Tell whether this gateway takes new connections."""
        is_informed = self.tables.directory is not None and self.tables.has_upstreams
        return is_informed and not self.relay.is_closing()

    async def run(
        self, stop: trio.Event, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until told to stop, then drain."""
        settings = self.settings
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.desk.spawn = self._spawn
            ready = ReadyListener(self.is_ready, self.registry)
            for listeners, serve in (
                (open_listeners(settings.ready), ready.serve),
                (open_listeners(settings.front), self._serve_caller),
                (open_listeners(settings.peer), self.copies.serve),
            ):
                nursery.start_soon(trio.serve_listeners, serve, listeners)
            for task in self._list_tasks():
                self._spawn(task)
            self.observer.record_process_event(
                "gateway started", node=settings.node_id, boot=self.boot, pid=os.getpid()
            )
            task_status.started()
            await stop.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        self.observer.record_process_event("gateway stopped", open=self.relay.n_open)

    def record_reload(self) -> None:
        """Tell of changed settings; addresses and bounds in force stay until the next start."""
        self.observer.record_process_event("settings changed; those in force stay")

    def _list_tasks(self) -> list[Callable]:
        link = PeerLink(
            address=self.settings.peer,
            table=self.peers,
            make_news=self._make_news,
            take_news=self._take_news,
            observer=self.observer,
            clock=self.clock,
            random_state=self.random_state,
        )
        return [
            self._make_follower(self.operator_handler).run,
            self._make_follower(
                self.upstream_handler,
                pause_s=UPSTREAM_PAUSE_PART * self.settings.bounds.drain_s,
            ).run,
            self._make_follower(self.status_handler, is_enabled=self.upgrades.is_active).run,
            self.upgrades.run,
            link.run,
            self.copies.run,
            self._find_members,
        ]

    def _make_follower(self, handler, **kwargs) -> TableFollower:
        return TableFollower(
            feed=self.feed,
            handler=handler,
            store=self.store,
            backoff=Backoff(
                base_s=BACKOFF_BASE_S, max_s=BACKOFF_MAX_S, random_state=self.random_state
            ),
            clock=self.clock,
            wait_s=max(MIN_WAIT_S, self.settings.bounds.contact_s - WAIT_MARGIN_S),
            **kwargs,
        )

    def _spawn(self, task: Callable, *args) -> None:
        """Start a task whose fault is logged and ends it alone."""
        self._nursery.start_soon(self._run_guarded, task, *args)

    async def _run_guarded(self, task: Callable, *args) -> None:
        try:
            await task(*args)
        except Exception as exc:
            self.observer.record_task_failure(task.__qualname__, exc)

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self.headers,
            self.relay,
            lambda exc: self.observer.record_task_failure("connection", exc),
        )
        await connection.run()

    async def _drain(self) -> None:
        """Serve callers that the balancer still sends, then end what is open."""
        plan = StopPlan.make(self.clock.now(), self.settings.bounds.grace_s)
        self.relay.stop_plan = plan
        self.observer.record_process_event("gateway drains", open=self.relay.n_open)
        while self._is_needed(plan, self.clock.now()):
            await trio.sleep(LOOK_S)

    def _is_needed(self, plan: StopPlan, now: float) -> bool:
        """Tell whether a gateway that stops has requests open, or may still get some."""
        if now >= plan.ends_at:
            return False
        return now < plan.refuses_at or self.relay.n_open > 0

    def _make_news(self, now: float) -> PeerNews:
        loads = self.tables.loads.items()
        return PeerNews(
            node_id=self.settings.node_id,
            boot=self.boot,
            host=self.settings.peer.host,
            inflight={key: load.n_inflight for key, load in loads if load.n_inflight},
            pending_work={key: int(load.pending_work) for key, load in loads if load.n_inflight},
            parts=tuple(told for told in self.desk.told_parts if now - told.at < TELL_PARTS_S),
            outcome_counts=self.outcome_counts.list_local() if self.upgrades.is_active() else (),
            crashes=self.crashes.list_newest(MAX_TOLD_DIGESTS),
            hosts=self.peers.list_alive_hosts(now),
            is_leaving=self.relay.is_closing(),
            has_store=self.store.is_up,
        )

    def _take_news(self, news: PeerNews) -> None:
        self.outcome_counts.merge_remote(f"{news.node_id}#{news.boot}", news.outcome_counts)
        for digest, incidents in news.crashes.items():
            self.crashes.merge(digest, incidents)
        self._take_parts(news)
        now = self.clock.now()
        if now - self._summed_at < SUM_INTERVAL_S:
            return
        self._summed_at = now
        inflight, work = self.peers.sum_loads(now)
        for upstream_id, load in self.tables.loads.items():
            load.n_peer_inflight = inflight.get(upstream_id, 0)
            load.peer_pending_work = work.get(upstream_id, 0)

    def _take_parts(self, news: PeerNews) -> None:
        """Remember the prompts that another gateway sent to upstreams."""
        config = self.tables.config
        for told in news.parts:
            row = self.tables.upstreams.get(told.upstream_id)
            service = config and row and config.services.get(row.service)
            if service:
                load = self.tables.get_load(told.upstream_id)
                note_parts(load, told.model, told.parts, service.memory_tokens)

    async def _find_members(self) -> None:
        """Register in the store and find the other gateways there."""
        host = self.settings.peer.host.encode()
        while True:
            try:
                page = await self.feed.read_table(MEMBER_TABLE)
                known = {row.key: row for row in page.rows}
                own = known.get(self.settings.node_id)
                if own is None or own.value != host:
                    version = own.version if own else 0
                    await self.feed.put_row(MEMBER_TABLE, self.settings.node_id, host, version)
                hosts = [row.value.decode("latin-1") for row in page.rows if row.value]
                self.peers.add_hosts(hosts, self.clock.now())
                await trio.sleep(MEMBER_PAUSE_S)
            except PlatformError:
                self.observer.count_store_fault()
                await trio.sleep(MEMBER_RETRY_S)
