"""The gateway: creates and starts its components, and drains requests on shutdown."""

import logging
import os
import random
import uuid
from collections.abc import Callable

import trio
from prometheus_client import CollectorRegistry

from crocusvalve.gateway._loop_monitor import LoopMonitor
from crocusvalve.gateway._observer import GatewayObserver
from crocusvalve.gateway._sockets import open_listeners
from crocusvalve.gateway._table_followers import make_followers
from crocusvalve.gateway._upgrade_controller import UpgradeController
from crocusvalve.gateway.base import GatewaySettings, HeaderCodec, RecordCodec
from crocusvalve.gateway.callers._caller_connection import CallerConnection
from crocusvalve.gateway.callers._ready import ReadyListener
from crocusvalve.gateway.decisions._crashes import CrashRegistry
from crocusvalve.gateway.decisions._outcome_counts import OutcomeCountsTable
from crocusvalve.gateway.flows._request_handler import RequestHandler
from crocusvalve.gateway.flows._stopping import StopPlan
from crocusvalve.gateway.shared._gossip import GossipState
from crocusvalve.gateway.shared._lag import LagTracker
from crocusvalve.gateway.shared._members import MemberRegistry
from crocusvalve.gateway.shared._peer_link import PeerLink
from crocusvalve.gateway.shared._peers import PeerTable
from crocusvalve.gateway.shared._table_copies import TableCopyExchange
from crocusvalve.gateway.shared._table_reading import TableReading
from crocusvalve.gateway.tables._followers import TableFollower
from crocusvalve.gateway.tables._operator_table import OperatorTableHandler
from crocusvalve.gateway.tables._status_table import StatusTableHandler
from crocusvalve.gateway.tables._store_state import StoreState
from crocusvalve.gateway.tables._tables import GatewayTables
from crocusvalve.gateway.tables._upstream_table import UpstreamTableHandler
from crocusvalve.gateway.upstreams._attempts import AttemptManager
from crocusvalve.store.base import ChangeFeed
from crocusvalve.utils import Clock

__all__ = ["Gateway"]

logger = logging.getLogger(__name__)

#: Interval at which a stopping gateway checks whether requests are open, and which can't end
#: in time; those are ended in turn within 0.2 s.
DRAIN_POLL_INTERVAL_S = 0.02
#: Time without open requests, after the listener was closed, after which the process ends: requests
#: on connections that were accepted just before must be answered.
QUIET_S = 0.05
#: A gateway that has lacked a change of the operators' table for longer, which a peer has, isn't
#: ready; otherwise its connections would get answers of an old configuration.
MAX_READY_LAG_S = 3.0
#: Pause before a task that has failed is started again; a follower then reads its whole table.
TASK_RESTART_S = 1.0


class Gateway:
    """A gateway with all its components and background tasks.

    Parameters
    ----------
    settings : GatewaySettings
        Settings of the process.
    feed : ChangeFeed
        Client of the store.
    header_codec : HeaderCodec
        Codec of callers' and upstreams' header fields.
    record_codec : RecordCodec
        Codec of the store's records.
    clock : Clock
        Clock of this gateway.
    random_state : random.Random
        Source of all randomness.
    count_dropped_lines : callable
        Returns the number of log lines that the log writer has dropped.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        *,
        feed: ChangeFeed,
        header_codec: HeaderCodec,
        record_codec: RecordCodec,
        clock: Clock,
        random_state: random.Random,
        count_dropped_lines: Callable[[], int] = lambda: 0,
    ):
        self.settings = settings
        self.feed = feed
        self.header_codec = header_codec
        self.clock = clock
        self.random_state = random_state
        self.boot_id = uuid.UUID(int=random_state.getrandbits(128)).hex[:12]
        self.registry = CollectorRegistry()
        self.observer = GatewayObserver(self.registry)
        self.observer.track_dropped_lines(count_dropped_lines)
        self.tables = GatewayTables(settings.node_id)
        self.store = StoreState()
        self.observer.track_store_age(lambda: clock.now() - self.reading.answered_at)
        self.outcome_counts = OutcomeCountsTable()
        self.crashes = CrashRegistry()
        self.peers = PeerTable(settings.node_id, settings.peer.host, settings.domain)
        self.peers.add_hosts((seed.host for seed in settings.seeds), clock.now())
        shared = (self.tables, record_codec, self.observer, self.store)
        self.operator_handler = OperatorTableHandler(*shared)
        self.upstream_handler = UpstreamTableHandler(*shared, bounds=settings.bounds)
        self.status_handler = StatusTableHandler(*shared)
        handlers = (self.operator_handler, self.upstream_handler, self.status_handler)
        self.lags = LagTracker(handlers, self.peers)
        common = {"peers": self.peers, "lags": self.lags, "observer": self.observer, "clock": clock}
        self.reading = TableReading(
            settings=settings,
            handlers=(self.operator_handler, self.upstream_handler),
            store=self.store,
            is_leaving=lambda: self.request_handler.is_closing(),
            **common,
        )
        self.lags.is_copied = self.reading.is_copied
        self.copy_exchange = TableCopyExchange(
            address=settings.peer,
            handlers=handlers,
            reading=self.reading,
            random_state=random_state,
            **common,
        )
        self.upgrades = UpgradeController(
            settings=settings,
            tables=self.tables,
            peers=self.peers,
            outcome_counts=self.outcome_counts,
            feed=feed,
            operator_handler=self.operator_handler,
            status_handler=self.status_handler,
            store=self.store,
            observer=self.observer,
            clock=clock,
        )
        self.attempt_manager = AttemptManager(
            settings=settings,
            tables=self.tables,
            peers=self.peers,
            crashes=self.crashes,
            outcome_counts=self.outcome_counts,
            codec=header_codec,
            observer=self.observer,
            clock=clock,
        )
        self.request_handler = RequestHandler(
            tables=self.tables,
            attempt_manager=self.attempt_manager,
            upgrades=self.upgrades,
            observer=self.observer,
            clock=clock,
            may_lack_configuration=self.may_lack_configuration,
        )
        self.members = MemberRegistry(
            node_id=settings.node_id,
            host=settings.peer.host,
            feed=feed,
            peers=self.peers,
            store=self.store,
            observer=self.observer,
            clock=clock,
            random_state=random_state,
        )
        self.gossip = GossipState(
            settings=settings,
            boot_id=self.boot_id,
            tables=self.tables,
            store=self.store,
            peers=self.peers,
            attempt_manager=self.attempt_manager,
            outcome_counts=self.outcome_counts,
            upgrades=self.upgrades,
            handlers=(self.operator_handler, self.upstream_handler),
            reading=self.reading,
            observer=self.observer,
            is_leaving=self.request_handler.is_closing,
            random_state=random_state,
            list_speeds=self.tables.report_speeds,
            merge_speeds=self.tables.capacities.merge,
        )
        self.loop_monitor = LoopMonitor(clock.now())
        self._front_scope = trio.CancelScope()
        self._nursery: trio.Nursery | None = None

    def is_ready(self) -> bool:
        """Return whether this gateway accepts new connections."""
        has_tables = self.tables.directory is not None and self.tables.has_upstreams
        lag_s = self.lags.compute_lag_s(self.operator_handler.table, self.clock.now())
        is_behind = lag_s > MAX_READY_LAG_S
        return has_tables and not is_behind and not self.request_handler.is_closing()

    def may_lack_configuration(self, now: float) -> bool:
        """Return whether there may be a later configuration than the one in force.

        That is so while the store fails for any table, since a call for the operators' table may
        not have failed yet, while a peer reports a later change of that table, and from the loss of
        the readers that this gateway relied on until the store answers it.
        """
        table = self.operator_handler.table
        is_behind = self.lags.compute_lag_s(table, now) > 0.0
        return not self.store.is_up or is_behind or self.reading.is_unsure(table)

    async def run(
        self, stop: trio.Event, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until ``stop`` is set, then drain."""
        settings = self.settings
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            self.attempt_manager.spawn = self._spawn
            ready = ReadyListener(self.is_ready, self.registry)
            for listeners, serve in (
                (open_listeners(settings.ready), ready.serve),
                (open_listeners(settings.peer), self.copy_exchange.serve),
            ):
                nursery.start_soon(trio.serve_listeners, serve, listeners)
            nursery.start_soon(self._listen_to_callers, open_listeners(settings.front))
            for task in self._list_tasks():
                nursery.start_soon(self._keep_running, task)
            self.observer.record_process_event(
                "gateway started", node=settings.node_id, boot=self.boot_id, pid=os.getpid()
            )
            task_status.started()
            await stop.wait()
            await self._drain()
            nursery.cancel_scope.cancel()
        self.observer.record_process_event(
            "gateway stopped", open=self.request_handler.n_open_requests
        )

    def record_reload(self) -> None:
        """Record a reload signal; addresses and bounds in force stay until the next start."""
        self.observer.record_process_event(
            "settings changed; the process keeps its current settings until the next start"
        )

    def _list_tasks(self) -> list[Callable]:
        link = PeerLink(
            address=self.settings.peer,
            domain=self.settings.domain,
            table=self.peers,
            make_gossip=self.gossip.make_message,
            make_outside_gossip=self.gossip.make_outside_message,
            merge_gossip=lambda message: self.gossip.merge(message, self.clock.now()),
            list_required_hosts=self.reading.list_domain_hosts,
            observer=self.observer,
            clock=self.clock,
            random_state=self.random_state,
        )
        return [
            *(follower.run for follower in self._make_followers()),
            self.upgrades.run,
            link.run,
            self.reading.run,
            self.copy_exchange.run,
            self.members.run,
            lambda: self.loop_monitor.run(self.clock),
        ]

    def _make_followers(self) -> list[TableFollower]:
        return make_followers(
            feed=self.feed,
            store=self.store,
            bounds=self.settings.bounds,
            reading=self.reading,
            upgrades=self.upgrades,
            handlers=(self.operator_handler, self.upstream_handler, self.status_handler),
            clock=self.clock,
            random_state=self.random_state,
        )

    def _spawn(self, task: Callable, *args) -> None:
        """Start a task; an exception in it is logged and ends only this task."""
        self._nursery.start_soon(self._run_guarded, task, *args)

    async def _run_guarded(self, task: Callable, *args) -> None:
        try:
            await task(*args)
        except Exception as exc:
            self.observer.record_task_failure(task.__qualname__, exc)

    async def _keep_running(self, task: Callable) -> None:
        """Run a task without which the gateway can't serve; it is started again if it fails."""
        while True:
            await self._run_guarded(task)
            await trio.sleep(TASK_RESTART_S)

    async def _listen_to_callers(self, listeners: list[trio.SocketListener]) -> None:
        """Accept callers' connections; those that are open outlive the listener."""
        with self._front_scope:
            await trio.serve_listeners(self._serve_caller, listeners, handler_nursery=self._nursery)

    async def _serve_caller(self, stream: trio.SocketStream) -> None:
        connection = CallerConnection(
            stream,
            self.header_codec,
            self.request_handler,
            lambda end: self.observer.record_connection_end(end, self.clock.now()),
        )
        await connection.run()

    async def _drain(self) -> None:
        """Serve requests that the balancer still sends, then wait for open ones to end."""
        now = self.clock.now()
        signalled_at = self.loop_monitor.estimate_signal_time(now)
        plan = StopPlan.make(now, self.settings.bounds.grace_s, signalled_at)
        self.request_handler.begin_stop(plan, now)
        self.observer.record_process_event(
            "gateway drains", open=self.request_handler.n_open_requests
        )
        busy_at = now
        answered_at = None
        while not plan.is_over(answered_at, now):
            is_busy = now < plan.refuses_at or self.request_handler.n_open_requests > 0
            if is_busy:
                busy_at = now
            if not is_busy or now >= plan.answers_until:
                self._front_scope.cancel()
            if self._front_scope.cancel_called and now - busy_at >= QUIET_S:
                return
            self.request_handler.end_late_requests(now)
            if now >= plan.answers_until:
                answered_at = answered_at or now
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
            now = self.clock.now()
