"""An entry: connects the core with the services for callers, operators, peers and agents."""

import logging
import random
import ssl
from collections.abc import Sequence

import trio

from crocusvalve.base import (
    AttemptId,
    BootId,
    CustomerId,
    NodeId,
    RequestId,
    Revision,
    UpstreamId,
    VersionRef,
)
from crocusvalve.billing import BillFlusher, BillOutbox, RequestIdMaker
from crocusvalve.config import CustomerView, Document, DocumentView
from crocusvalve.control import ConfigCache, ConfigFollower, ConfigStore, Controller, LeaseManager
from crocusvalve.durable import DurableStore
from crocusvalve.entry._admin import EntryAdmin
from crocusvalve.entry._agents import AgentPool
from crocusvalve.entry._attempts import AttemptRunner
from crocusvalve.entry._commands import ShareQuarantine
from crocusvalve.entry._core import CoreLimits, EntryCore
from crocusvalve.entry._durable_manager import DurableRequestManager
from crocusvalve.entry._guarded import run_guarded
from crocusvalve.entry._handle import RequestHandle
from crocusvalve.entry._loads import LoadTask
from crocusvalve.entry._notice_distributor import NoticeDistributor
from crocusvalve.entry._observe import MetricsObserver
from crocusvalve.entry._peers import PeerGroup
from crocusvalve.entry._policies import Policies
from crocusvalve.entry._publisher import DocumentPublisher
from crocusvalve.entry._raters import Rater
from crocusvalve.entry._rollouts import RolloutFollower, RolloutTask
from crocusvalve.entry._runtime import EntryRuntime
from crocusvalve.entry._tables import CoreTables
from crocusvalve.entry._upstreams import UpstreamWatcher
from crocusvalve.entry._vm_list import VmListFollower
from crocusvalve.entry.base import DurableStatus, EntryService
from crocusvalve.exceptions import ErrorCode, InvariantError, RefusedError
from crocusvalve.limits import compute_quota_share
from crocusvalve.membership import MembershipSystem, NoticeTable
from crocusvalve.metrics import EntryMetrics
from crocusvalve.model import RequestRow
from crocusvalve.orders import ClaimSettler, OrderRunner
from crocusvalve.orders._table_store import TableClaimStore
from crocusvalve.rpc import BillRecord, CrashRecord, RunEvent
from crocusvalve.sessions import SessionAction, SessionClaim, SessionSigner, resolve_session
from crocusvalve.settings import EntrySettings
from crocusvalve.store import HttpPlatform, WriteIdMaker
from crocusvalve.utils import Clock, hash_key

__all__ = ["Entry"]

logger = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL_S = 0.5
CONTROLLER_KEY = "controller"
EMPTY_VIEW = DocumentView(Document("", {}), Revision(0))


class Entry(EntryService):
    """Implements an entry: creates its components and runs their tasks; ``run`` must be running.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.
    platform : HttpPlatform
        Client of the platform: its store, object storage, VM list, weight store and ratings.
    clock : Clock
        Source of the current time.
    boot_id : BootId
        Boot ID of this process.
    metrics : EntryMetrics
        Metrics of this process.
    random_state : random.Random
        Source of randomness.
    client_tls : ssl.SSLContext or None
        Client TLS context of internal connections; None for plain TCP.
    """

    def __init__(
        self,
        *,
        settings: EntrySettings,
        platform: HttpPlatform,
        clock: Clock,
        boot_id: BootId,
        metrics: EntryMetrics,
        random_state: random.Random,
        client_tls: ssl.SSLContext | None = None,
    ):
        self.settings = settings
        self.platform = platform
        self.clock = clock
        self.boot_id = boot_id
        self.metrics = metrics
        self.observer = MetricsObserver(metrics)
        node_id = NodeId(settings.node_id)
        self.request_id_maker = RequestIdMaker(boot_id)
        self.signer = SessionSigner(settings.session_key.encode())
        self.tables = CoreTables(EMPTY_VIEW)
        self.config_cache = ConfigCache()
        self.store = ConfigStore(platform, platform)
        self.outbox = BillOutbox()
        self.flusher = BillFlusher(
            platform, self.outbox, node_id=node_id, boot_id=boot_id, clock=clock
        )
        self.pool = AgentPool(token=settings.internal_key, tls=client_tls)
        self.peers = PeerGroup(
            settings.peers,
            random_state=random_state,
            token=settings.internal_key,
            tls=client_tls,
        )
        self.follower = ConfigFollower(
            self.store,
            self.config_cache,
            clock=clock,
            list_peers=self.peers.list_clients,
            poll_interval_s=settings.config_poll_s,
        )
        policies = Policies(
            random_state=random_state,
            domain=settings.domain,
            region=settings.region,
            node_id=settings.node_id,
            boot_id=boot_id,
        )
        self.core = EntryCore(tables=self.tables, policies=policies, node_id=node_id)
        self.core.limits = CoreLimits(quota_share=compute_quota_share(1 + len(settings.peers)))
        self.runner = AttemptRunner(pool=self.pool, feed=self._feed, clock=clock)
        self.runtime = EntryRuntime(
            core=self.core,
            clock=clock,
            runner=self.runner,
            outbox=self.outbox,
            orders=self._make_order_runner(),
            rater=Rater(platform),
            observer=self.observer,
            share_quarantine=self._share_quarantine,
        )
        self.durable = DurableRequestManager(
            store=DurableStore(platform, platform),
            runtime=self.runtime,
            node_id=node_id,
            boot_id=boot_id,
            clock=clock,
            random_state=random_state,
            on_alarm=lambda record: metrics.count_alarm(record.customer_id, record.class_name),
        )
        self.watcher = UpstreamWatcher(
            tables=self.tables,
            pool=self.pool,
            config_cache=self.config_cache,
            membership=MembershipSystem(node_id, region=settings.region),
            outbox=self.outbox,
            clock=clock,
            on_crashes=self._merge_crashes,
            on_new_agent_boot=lambda address: self.notices.send_notices_to_agent(address),
        )
        self.publisher = DocumentPublisher(self.store, self.config_cache, clock=clock)
        self.notices = NoticeDistributor(
            node_id=node_id,
            key=settings.internal_key,
            table=NoticeTable(quarantine=policies.get_quarantine(self.tables)),
            tables=self.tables,
            peers=self.peers,
            pool=self.pool,
            publisher=self.publisher,
            clock=clock,
            random_state=random_state,
        )
        self.rollouts = RolloutFollower(
            platform, self.tables, policies.ledger, n_entries=1 + len(settings.peers)
        )
        self.vm_list = VmListFollower(platform, self.tables, clock=clock)
        self.controller = self._make_controller(node_id)
        self.admin = EntryAdmin(
            node_id=node_id,
            platform=platform,
            store=self.store,
            config_cache=self.config_cache,
            publisher=self.publisher,
            notices=self.notices,
            tables=self.tables,
            outbox=self.outbox,
        )
        self.n_open_acknowledgements = 0
        self._nursery: trio.Nursery | None = None
        self.config_cache.add_listener(self._apply_view)
        self.flusher.add_listener(self._acknowledge_bills)

    async def run(self, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED) -> None:
        """Run all tasks until cancelled; reports that it has started once all of them run."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await nursery.start(self.runtime.run)
            await nursery.start(self.durable.run)
            nursery.start_soon(
                run_guarded, "run_housekeeping", self._record_failure, self._run_housekeeping
            )
            nursery.start_soon(run_guarded, "follower", self._record_failure, self.follower.run)
            nursery.start_soon(run_guarded, "flusher", self._record_failure, self.flusher.run)
            nursery.start_soon(run_guarded, "watcher", self._record_failure, self.watcher.run)
            await nursery.start(self.notices.run)
            nursery.start_soon(run_guarded, "rollouts", self._record_failure, self.rollouts.run)
            nursery.start_soon(run_guarded, "vm_list", self._record_failure, self.vm_list.run)
            nursery.start_soon(run_guarded, "controller", self._record_failure, self.controller.run)
            if self.config_cache.view is not None:
                self._apply_view(self.config_cache.view)
            task_status.started()

    def _make_order_runner(self) -> OrderRunner:
        claims = TableClaimStore(self.platform, make_write_id=WriteIdMaker().make)
        self.settler = ClaimSettler(claims)
        return OrderRunner(
            store=claims,
            settler=self.settler,
            get_agent=lambda attempt: self.pool.get(attempt.agent),
            clock=self.clock,
        )

    def _make_controller(self, node_id: NodeId) -> Controller:
        lease = LeaseManager(self.platform, CONTROLLER_KEY, node_id, boot_id=self.boot_id)
        rollouts = RolloutTask(
            store=self.platform,
            tables=self.tables,
            publisher=self.publisher,
            notices=self.notices,
            node_id=node_id,
            clock=self.clock,
        )
        loads = LoadTask(
            tables=self.tables, pool=self.pool, weights=self.platform, clock=self.clock
        )
        return Controller(lease, [rollouts, loads], clock=self.clock)

    def _record_failure(self, name: str) -> None:
        self.observer.record_invariant_violation(InvariantError(f"task {name} failed", step=name))

    async def _run_housekeeping(self) -> None:
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            self.observer.sample(self.tables, len(self.outbox))
            if len(self.settler):
                await self.settler.settle()

    def _apply_view(self, view: DocumentView) -> None:
        self.tables.apply_view(view)
        self.metrics.apply_view(view)
        self.notices.supersede_confirmed()
        if self._nursery is not None:
            self._nursery.start_soon(self.watcher.push_to_all)
            self._nursery.start_soon(self.peers.push_to_random_peers, self.config_cache)

    def _acknowledge_bills(self, bills: list[BillRecord]) -> None:
        if self._nursery is not None:
            self.n_open_acknowledgements += 1
            self._nursery.start_soon(self._acknowledge, bills)

    async def _acknowledge(self, bills: list[BillRecord]) -> None:
        try:
            await self.watcher.acknowledge_bills(bills)
        finally:
            self.n_open_acknowledgements -= 1

    def _feed(self, attempt_id: AttemptId, event: RunEvent) -> None:
        self.runtime.feed(attempt_id, event)

    def _share_quarantine(self, cmd: ShareQuarantine) -> None:
        logger.warning("request digest %s crashed an upstream (%d)", cmd.digest, cmd.n_crashes)
        self.notices.issue_quarantine(cmd.digest)

    def _merge_crashes(self, upstream_id: UpstreamId, crashes: Sequence[CrashRecord]) -> None:
        quarantine = self.core.policies.get_quarantine(self.tables)
        for row in quarantine.merge_crash_report(upstream_id, crashes, self.clock.now()):
            self._share_quarantine(ShareQuarantine(row.digest, row.n_crashes))

    def now(self) -> float:
        """Return the current Unix time in seconds."""
        return self.clock.now()

    def view(self) -> DocumentView:
        """Return a view of the configuration revision in force."""
        return self.tables.view

    def make_request_id(self) -> RequestId:
        """Generate a new request ID."""
        return self.request_id_maker.make(self.clock.now())

    def is_ready(self) -> bool:
        """Return whether a configuration revision is in force and the entry is not draining."""
        return self.tables.view.revision > 0 and not self.core.limits.is_draining

    def find_customer(self, key: str) -> CustomerView:
        """Return the customer that owns a bearer key.

        Raises
        ------
        RefusedError
            ``NOT_READY`` without a configuration, ``BAD_KEY`` for an unknown key.
        """
        if self.tables.view.revision == 0:
            message = "this entry has no configuration yet"
            raise RefusedError(ErrorCode.NOT_READY, message, step="authenticate", retry_after_s=1)
        customer = self.tables.view.customer_by_key.get(hash_key(key))
        if customer is None:
            raise RefusedError(ErrorCode.BAD_KEY, "the bearer key is unknown", step="authenticate")
        return customer

    def submit(self, req: RequestRow) -> RequestHandle:
        """Submit a request and return its handle.

        Raises
        ------
        RefusedError
            If the request is refused immediately.
        """
        return self.runtime.submit(req)

    def abandon(self, request_id: RequestId) -> None:
        """Drop a request whose caller has disconnected and cancel its attempts."""
        self.runtime.abandon(request_id)

    def open_session(self, token: str, customer_id: CustomerId) -> SessionClaim | None:
        """Verify a session token and return its claim; raises a coded error if it is forged."""
        return self.signer.verify(token, customer_id)

    def pin_session(self, req: RequestRow, claim: SessionClaim) -> None:
        """Pin a request to its session's version if it may use the session's model.

        Raises
        ------
        RefusedError
            If the session's version is withdrawn or no longer allowed.
        """
        if claim.model not in req.steps:
            return
        decision = resolve_session(claim, self.tables, self.clock.now())
        if decision.action is SessionAction.REFUSE:
            raise decision.error
        if not req.pinned_version:
            req.pinned_version = VersionRef(decision.version)
        req.preferred_upstream = decision.preferred_upstream

    def sign_session(self, claim: SessionClaim) -> str:
        """Return the signed token of a session claim."""
        return self.signer.sign(claim)

    async def accept_durable(self, req: RequestRow) -> DurableStatus:
        """Check a durable request and store it; raises ``RefusedError`` if it is refused."""
        self.core.check_durable(req, self.clock.now())
        return await self.durable.accept(req)

    async def find_durable(self, customer_id: CustomerId, request_id: RequestId) -> DurableStatus:
        """Return the status of a customer's durable request; raises ``UNKNOWN_REQUEST``."""
        return await self.durable.find(customer_id, request_id)
