"""Process of an agent: serves, follows the entries' configuration and drains on SIGTERM."""

import logging
import random
import ssl
from typing import Any

import trio
import trio_asyncio
from prometheus_client import CollectorRegistry

from crocusvalve.agent._answer_limit import MAX_ANSWER_BYTES
from crocusvalve.agent._http_upstream import HttpUpstream, make_http_client
from crocusvalve.agent._lease_number_factory import make_lease_number_reader
from crocusvalve.agent._metrics import make_metrics_app, update_gauges
from crocusvalve.agent._order_forwarder import ReadLeaseNumber
from crocusvalve.agent._revisions import RevisionCache
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
#: Period between pulls until the first revision has arrived.
PULL_RETRY_S = 0.2
MIN_BUFFER_BYTES = 64 * 1024
#: Number of answers that fit into the store even if all of them have the maximum size.
MIN_FULL_BUFFERS = 16


class EntryFollower:
    """Pulls configuration revisions and notices from the entries, in case their pushes are lost.

    Parameters
    ----------
    revision_cache : RevisionCache
        Stores the pulled revisions.
    addresses : tuple of str
        Internal addresses of the entries, each as ``host:port``.
    token : str
        Internal key that the entries require.
    tls : ssl.SSLContext or None
        TLS context of the client; None connects without TLS.
    random_state : int or None
        Seed of the random order in which the entries are asked.
    """

    def __init__(
        self,
        revision_cache: RevisionCache,
        addresses: tuple[str, ...],
        *,
        token: str = "",
        tls: ssl.SSLContext | None = None,
        random_state: int | None = None,
    ):
        self.revision_cache = revision_cache
        self.addresses = addresses
        self.token = token
        self.tls = tls
        self._rng = random.Random(random_state)
        self._clients: dict[str, PeerClient] = {}

    @property
    def revision(self) -> Revision:
        """Revision in force; 0 before the first."""
        return self.revision_cache.view.revision if self.revision_cache.view else Revision(0)

    async def pull(self, revision: Revision) -> bool:
        """Ask the entries in random order until one has ``revision`` or a newer one.

        Returns
        -------
        bool
            Whether the cache now has such a revision.
        """
        for address in self._shuffle():
            try:
                await self._pull_from(address)
            except CrocusvalveError as exc:
                logger.info("pulling a revision from entry %s failed: %s", address, exc)
                continue
            if self.revision_cache.view is not None and self.revision >= revision:
                return True
        return False

    async def follow(self, agent: Agent) -> None:
        """Pull until cancelled; with a shorter period until the first revision has arrived."""
        while True:
            await self.pull(self.revision)
            agent.apply_view()
            await self.pull_notices(agent)
            has_view = self.revision_cache.view is not None
            await trio.sleep(PULL_PERIOD_S if has_view else PULL_RETRY_S)

    async def pull_notices(self, agent: Agent) -> bool:
        """Pass the notices in force from the first entry that answers to the agent.

        Returns
        -------
        bool
            Whether an entry answered.
        """
        for address in self._shuffle():
            try:
                reply = await self._get_client(address).list_notices(Empty())
            except CrocusvalveError as exc:
                logger.info("pulling notices from entry %s failed: %s", address, exc)
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
        if push.revision > self.revision and self.revision_cache.apply_push(push).need_full:
            full_push = await client.pull_config(ConfigAck(Revision(0), need_full=True))
            self.revision_cache.apply_push(full_push)


def make_answer_store(max_bytes: int) -> AnswerStore:
    """Create the answer store of an agent.

    One answer may use ``max_bytes // MIN_FULL_BUFFERS`` bytes, or ``MIN_BUFFER_BYTES`` if that is
    more.
    """
    buffer_max_bytes = max(MIN_BUFFER_BYTES, max_bytes // MIN_FULL_BUFFERS)
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

    ``task_status`` is started with the listening port, after the first probe of the upstream.
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
    revision_cache: RevisionCache,
    *,
    server_tls: ssl.SSLContext | None = None,
    client_tls: ssl.SSLContext | None = None,
    stop: trio.Event | None = None,
    read_lease_number: ReadLeaseNumber | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an agent until ``stop`` is set, then drain it.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the process.
    revision_cache : RevisionCache
        Stores the newest revision.
    server_tls, client_tls : ssl.SSLContext or None
        TLS contexts of the internal connections; None uses those of the settings.
    stop : trio.Event or None
        Set by the signal handler to stop the agent; None runs it until cancelled.
    read_lease_number : callable or None
        Reads the number of the controller's lease; None reads it from the platform's service.
    task_status : trio.TaskStatus
        Started with the agent and the listening port.
    """
    stop = stop if stop is not None else trio.Event()
    clock = MonotonicClock()
    tls = ProcessTls(settings.internal_tls, alpn=RPC_ALPN)
    server_tls = server_tls or tls.server
    client_tls = client_tls or tls.client
    follower = EntryFollower(
        revision_cache, settings.entries, token=settings.internal_key, tls=client_tls
    )
    async with (
        trio_asyncio.open_loop(),
        make_http_client() as http,
    ):
        # The setting bounds what is kept for a resume, and may be far smaller than an answer.
        max_answer_bytes = max(MAX_ANSWER_BYTES, settings.max_answer_bytes)
        upstream = HttpUpstream(settings.upstream_url, http, max_answer_bytes=max_answer_bytes)
        agent = Agent(
            node_id=NodeId(settings.node_id),
            upstream_id=UpstreamId(settings.upstream_id),
            domain=DomainId(settings.domain),
            upstream=upstream,
            revision_cache=revision_cache,
            clock=clock,
            pull_revision=follower.pull,
            read_lease_number=read_lease_number or make_lease_number_reader(settings.platform),
            answers=make_answer_store(settings.max_answer_bytes),
        )
        upstream.on_rate = agent.record_rate
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
        lambda: update_gauges(metrics, agent.tables),
        lambda: agent.tables.view is not None,
    )
    await serve_app(app, listen.host, listen.port, task_status=task_status)
