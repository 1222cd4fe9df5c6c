"""Process of an agent: serves, follows the configuration of the entries, drains on SIGTERM."""

import logging
import random
import ssl
from typing import Any

import trio
import trio_asyncio
from prometheus_client import CollectorRegistry

from crocusvalve.agent._http_upstream import HttpUpstream, make_http_client
from crocusvalve.agent._metrics import make_metrics_app, sample_metrics
from crocusvalve.agent._numbers import choose_number_reader
from crocusvalve.agent._order_door import ReadNumber
from crocusvalve.agent._revisions import RevisionKeeper
from crocusvalve.agent._service import Agent
from crocusvalve.answers import AnswerStore
from crocusvalve.base import DomainId, NodeId, Revision, UpstreamId
from crocusvalve.exceptions import CrocusvalveError
from crocusvalve.metrics import AgentMetrics
from crocusvalve.rpc import ConfigAck, Empty, PeerClient, serve_rpc
from crocusvalve.security import RPC_ALPN, ProcessTls, watch_tls
from crocusvalve.settings import ListenSettings
from crocusvalve.utils import MonotonicClock
from crocusvalve.utils.serving import serve_app

__all__ = ["EntryFollower", "run_agent", "serve_agent"]

logger = logging.getLogger(__name__)

PULL_PERIOD_S = 2.0
PULL_RETRY_S = 0.2
MIN_BUFFER_BYTES = 64 * 1024
N_FULL_BUFFERS = 16


class EntryFollower:
    """Pulls revisions from the entries, as a safety net under their pushes.

    Parameters
    ----------
    keeper : RevisionKeeper
        Where revisions go.
    addresses : tuple of str
        Internal addresses of entries.
    token : str
        Internal key.
    tls : ssl.SSLContext or None
        Client context.
    random_state : int or None
        Seed of the order in which entries are asked.
    """

    def __init__(
        self,
        keeper: RevisionKeeper,
        addresses: tuple[str, ...],
        *,
        token: str = "",
        tls: ssl.SSLContext | None = None,
        random_state: int | None = None,
    ):
        self.keeper = keeper
        self.addresses = addresses
        self.token = token
        self.tls = tls
        self._rng = random.Random(random_state)
        self._clients: dict[str, PeerClient] = {}

    @property
    def revision(self) -> Revision:
        """Revision in force."""
        return self.keeper.view.revision if self.keeper.view else Revision(0)

    async def pull(self, revision: Revision) -> bool:
        """Ask entries in random order until one has a revision of at least a number."""
        for address in self._shuffle():
            try:
                await self._pull_from(address)
            except CrocusvalveError as exc:
                logger.info("no revision from entry %s: %s", address, exc)
                continue
            if self.keeper.view is not None and self.revision >= revision:
                return True
        return False

    async def follow(self, agent: Agent) -> None:
        """Pull for ever; often until the first revision is there."""
        while True:
            await self.pull(self.revision)
            agent.apply_view()
            await self.pull_notices(agent)
            has_view = self.keeper.view is not None
            await trio.sleep(PULL_PERIOD_S if has_view else PULL_RETRY_S)

    async def pull_notices(self, agent: Agent) -> bool:
        """Take the notices in force from the first entry that answers."""
        for address in self._shuffle():
            try:
                reply = await self._get_client(address).list_notices(Empty())
            except CrocusvalveError as exc:
                logger.info("no notices from entry %s: %s", address, exc)
                continue
            for notice in reply.notices:
                await agent.notify(notice)
            return True
        return False

    def close(self) -> None:
        """Close the connections."""
        for client in self._clients.values():
            client.close()

    def _shuffle(self) -> list[str]:
        addresses = list(self.addresses)
        self._rng.shuffle(addresses)
        return addresses

    def _get_client(self, address: str) -> PeerClient:
        client = self._clients.get(address)
        if client is None:
            client = PeerClient(address, token=self.token, tls=self.tls)
            self._clients[address] = client
        return client

    async def _pull_from(self, address: str) -> None:
        client = self._get_client(address)
        ack = ConfigAck(self.revision, need_full=self.revision == 0)
        push = await client.pull_config(ack)
        if push.revision > self.revision and self.keeper.apply_push(push).need_full:
            full = await client.pull_config(ConfigAck(Revision(0), need_full=True))
            self.keeper.apply_push(full)


def make_answer_store(max_bytes: int) -> AnswerStore:
    """Make the buffers of an agent; one answer may take a share of the bytes."""
    buffer_max_bytes = max(MIN_BUFFER_BYTES, max_bytes // N_FULL_BUFFERS)
    return AnswerStore(max_bytes=max_bytes, buffer_max_bytes=buffer_max_bytes)


async def serve_agent(
    agent: Agent,
    host: str,
    port: int,
    *,
    token: str = "",
    tls: ssl.SSLContext | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an agent until cancelled; must run inside ``trio_asyncio.open_loop()``.

    Started with the port in use, after the first probe of the upstream.
    """
    async with trio.open_nursery() as nursery:
        await nursery.start(agent.run_tasks)
        served = await nursery.start(
            lambda task_status: serve_rpc(
                agent, host, port, token=token, tls=tls, task_status=task_status
            )
        )
        task_status.started(served)


async def run_agent(
    settings: Any,
    keeper: RevisionKeeper,
    *,
    server_tls: ssl.SSLContext | None = None,
    client_tls: ssl.SSLContext | None = None,
    stop: trio.Event | None = None,
    read_number: ReadNumber | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an agent until it is told to stop, then drain it.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the process.
    keeper : RevisionKeeper
        Holds the newest revision.
    server_tls, client_tls : ssl.SSLContext or None
        Contexts of the internal connections; None takes those of the settings.
    stop : trio.Event or None
        Set by whoever handles the signals.
    read_number : callable or None
        Reads the number of the controller's lease; None reads it from the platform's service.
    task_status : trio.TaskStatus
        Started with the agent and the port in use.
    """
    stop = stop if stop is not None else trio.Event()
    clock = MonotonicClock()
    tls = ProcessTls(settings.internal_tls, alpn=RPC_ALPN)
    server_tls = server_tls or tls.server
    client_tls = client_tls or tls.client
    follower = EntryFollower(keeper, settings.entries, token=settings.internal_key, tls=client_tls)
    async with (
        trio_asyncio.open_loop(),
        make_http_client() as http,
        make_http_client(keeps_connections=False) as order_http,
    ):
        agent = Agent(
            node_id=NodeId(settings.node_id),
            upstream_id=UpstreamId(settings.upstream_id),
            domain=DomainId(settings.domain),
            upstream=HttpUpstream(settings.upstream_url, http, order_http=order_http),
            keeper=keeper,
            clock=clock,
            learn_revision=follower.pull,
            read_number=read_number or choose_number_reader(settings.platform),
            answers=make_answer_store(settings.max_answer_bytes),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(follower.follow, agent)
            nursery.start_soon(watch_tls, (tls,), clock)
            if settings.metrics.port:
                await nursery.start(_serve_metrics, agent, settings.metrics)
            port = await nursery.start(
                lambda task_status: serve_agent(
                    agent,
                    settings.rpc.host,
                    settings.rpc.port,
                    token=settings.internal_key,
                    tls=server_tls,
                    task_status=task_status,
                )
            )
            task_status.started((agent, port))
            await stop.wait()
            await agent.drain(settings.drain_s)
            follower.close()
            nursery.cancel_scope.cancel()


async def _serve_metrics(
    agent: Agent,
    listen: ListenSettings,
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    registry = CollectorRegistry()
    metrics = AgentMetrics(registry)
    app = make_metrics_app(
        registry,
        lambda: sample_metrics(metrics, agent.tables),
        lambda: agent.tables.view is not None,
    )
    await serve_app(app, listen.host, listen.port, task_status=task_status)
