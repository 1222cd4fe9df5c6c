"""Process of an entry: serves callers, operators and peers, and drains on SIGTERM."""

import logging
import random
import secrets
import ssl

import trio
import trio_asyncio
from msgspec import Struct
from msgspec.structs import replace
from prometheus_client import CollectorRegistry
from quart_trio import QuartTrio

from crocusvalve.admin import make_admin_blueprint
from crocusvalve.base import BootId
from crocusvalve.entry._http import make_app
from crocusvalve.entry._peer_service import EntryPeerService
from crocusvalve.entry._service import Entry
from crocusvalve.metrics import EntryMetrics
from crocusvalve.rpc import serve_rpc
from crocusvalve.security import RPC_ALPN, ProcessTls, watch_tls
from crocusvalve.settings import EntrySettings
from crocusvalve.store import HttpPlatform
from crocusvalve.utils import MonotonicClock
from crocusvalve.utils.serving import serve_app

__all__ = ["EntryPorts", "run_entry"]

logger = logging.getLogger(__name__)

DRAIN_POLL_S = 0.02


class EntryPorts(Struct, frozen=True):
    """TCP ports on which an entry listens: ``http`` for callers, ``rpc`` for peers and agents."""

    http: int
    rpc: int


async def run_entry(
    settings: EntrySettings,
    *,
    stop: trio.Event | None = None,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Run an entry until ``stop`` is set, then drain it.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the process.
    stop : trio.Event or None
        Set by the signal handler; None runs the entry until it is cancelled.
    task_status : trio.TaskStatus
        Reports the entry and its ``EntryPorts`` once it accepts connections.
    """
    stop = stop if stop is not None else trio.Event()
    boot_id = BootId(secrets.token_hex(6))
    registry = CollectorRegistry()
    metrics = EntryMetrics(registry)
    clock = MonotonicClock()
    callers_tls = ProcessTls(settings.tls)
    internal_tls = ProcessTls(settings.internal_tls, alpn=RPC_ALPN)
    async with (
        trio_asyncio.open_loop(),
        HttpPlatform(settings.platform.url) as platform,
        trio.open_nursery() as nursery,
    ):
        entry = Entry(
            settings=settings,
            platform=platform,
            clock=clock,
            boot_id=boot_id,
            metrics=metrics,
            random_state=random.Random(),
            client_tls=internal_tls.client,
        )
        nursery.start_soon(watch_tls, (callers_tls, internal_tls), clock)
        await nursery.start(entry.run)
        rpc_port = await nursery.start(_serve_peers, entry, internal_tls.server)
        shutdown = trio.Event()
        app = make_app(entry, registry)
        app.register_blueprint(make_admin_blueprint(entry.admin, clock=clock))
        served = trio.Event()
        http_port = await nursery.start(
            _serve_callers, app, settings, callers_tls.server, shutdown, served
        )
        task_status.started((entry, EntryPorts(http_port, rpc_port)))
        await stop.wait()
        drain_until = trio.current_time() + settings.drain_s
        await drain_entry(entry, settings.drain_s)
        shutdown.set()
        # Requests that were read in part are refused, and answers are sent to their end.
        with trio.move_on_at(max(drain_until, trio.current_time() + DRAIN_POLL_S)):
            await served.wait()
        entry.pool.close()
        entry.peers.close()
        nursery.cancel_scope.cancel()


async def _serve_callers(
    app: QuartTrio,
    settings: EntrySettings,
    tls: ssl.SSLContext | None,
    shutdown: trio.Event,
    served: trio.Event,
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve callers until a shutdown; set ``served`` once all their connections have ended."""
    listen = settings.http
    await serve_app(
        app,
        listen.host,
        listen.port,
        tls=tls,
        drain_s=settings.drain_s,
        shutdown=shutdown,
        task_status=task_status,
    )
    served.set()


async def _serve_peers(
    entry: Entry,
    tls: ssl.SSLContext | None,
    *,
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
) -> None:
    settings = entry.settings
    await serve_rpc(
        EntryPeerService(entry.config_cache, entry.notices),
        settings.rpc.host,
        settings.rpc.port,
        token=settings.internal_key,
        tls=tls,
        task_status=task_status,
    )


async def drain_entry(entry: Entry, drain_s: float) -> None:
    """Refuse new requests, finish running ones, settle claims and flush bills.

    Gives up after ``drain_s`` seconds.
    """
    entry.core.limits = replace(entry.core.limits, is_draining=True)
    entry.durable.worker.drain()
    with trio.move_on_after(drain_s):
        while entry.runtime.n_open:
            await trio.sleep(DRAIN_POLL_S)
        while len(entry.settler) and not await entry.settler.settle():
            await trio.sleep(DRAIN_POLL_S)
        while len(entry.outbox) and not await entry.flusher.flush_safely():
            await trio.sleep(DRAIN_POLL_S)
        while entry.n_open_acknowledgements:
            await trio.sleep(DRAIN_POLL_S)
