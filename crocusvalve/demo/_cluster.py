"""Cluster of the stand-ins, agents and entries of a document in one process."""

import itertools
import os
import socket
from pathlib import Path

import msgspec
import trio
from msgspec import Struct

from crocusvalve.agent import Agent, run_agent
from crocusvalve.base import MemberId, Revision, UpstreamId, UpstreamKind, VersionRef
from crocusvalve.config import (
    Document,
    DocumentView,
    UpstreamConfig,
    UpstreamView,
    parse_document,
)
from crocusvalve.control import ConfigCache, ConfigStore
from crocusvalve.entry import Entry, EntryPorts, run_entry
from crocusvalve.exceptions import CrocusvalveError, ErrorCode
from crocusvalve.settings import (
    AgentSettings,
    EntrySettings,
    ListenSettings,
    PlatformAccess,
    SettingsRole,
)
from crocusvalve.standin import (
    EngineSpec,
    MemoryPlatform,
    StandinEngine,
    StandinPlainService,
    VersionSpec,
    serve_engine,
    serve_plain,
    serve_platform,
)
from crocusvalve.utils import MonotonicClock

__all__ = ["DemoSpec", "DemoCluster", "load_example"]

HOST = "127.0.0.1"
INTERNAL_KEY = "demo-internal-key-of-loopback"
SESSION_KEY = "demo-session-key-of-loopback"
EXAMPLES_FOLDER = Path(__file__).resolve().parent
READY_POLL_S = 0.02
#: Ports below the kernel's range for outgoing connections. Each process starts its search at a slot
#: chosen by its process id.
FIRST_PORT = 15000
LAST_PORT = 31000
PORTS_PER_SLOT = 40
N_SLOTS = (LAST_PORT - FIRST_PORT) // PORTS_PER_SLOT


class DemoSpec(Struct, frozen=True, kw_only=True):
    """Size and options of a demo cluster; ``http_port`` 0 picks a free port for the first entry."""

    n_entries: int = 1
    http_port: int = 0
    engine: EngineSpec = EngineSpec()
    drain_s: float = 5.0


def load_example(name: str = "trial.toml") -> Document:
    """Read an example document.

    Raises
    ------
    CrocusvalveError
        ``NOT_FOUND`` if it can't be read.
    """
    path = EXAMPLES_FOLDER / name
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as exc:
        message = f"the example document {name} can't be read: {exc.strerror}"
        raise CrocusvalveError(ErrorCode.NOT_FOUND, message, step="demo") from exc
    return parse_document(text, source=name)


def find_free_ports(n: int) -> list[int]:
    """Return ``n`` loopback ports that are free now.

    Each process starts its search at a different slot, so that processes don't find the same
    ports. The ports are below the range of outgoing connections, so that no outgoing
    connection occupies them before they are bound.

    Raises
    ------
    OSError
        If fewer than ``n`` ports are free.
    """
    first = FIRST_PORT + os.getpid() % N_SLOTS * PORTS_PER_SLOT
    candidates = itertools.chain(range(first, LAST_PORT), range(FIRST_PORT, first))
    ports = list(itertools.islice(filter(_is_free, candidates), n))
    if len(ports) < n:
        raise OSError(f"{n} free loopback ports are needed, but only {len(ports)} were found")
    return ports


def _is_free(port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
    return True


def replace_upstream(document: Document, view: UpstreamView, *, agent: str, url: str) -> Document:
    """Return a copy of a document with new agent address and URL for an upstream."""
    member, _, name = view.upstream_id.partition("/")
    section = document.members[MemberId(member)]
    cfg: UpstreamConfig = msgspec.structs.replace(section.upstreams[name], agent=agent, url=url)
    upstreams = {**section.upstreams, name: cfg}
    section = msgspec.structs.replace(section, upstreams=upstreams)
    members = {**document.members, MemberId(member): section}
    return msgspec.structs.replace(document, members=members)


class DemoCluster:
    """Stand-ins, agents and entries of a document, run as tasks of one process.

    Parameters
    ----------
    document : Document
        Configuration to serve; agents' addresses and upstreams' URLs are replaced.
    spec : DemoSpec
        Size and options of the cluster.

    Attributes
    ----------
    platform : MemoryPlatform
        Stand-in for the platform's service.
    engines, plain_services, agents : dict
        Stand-ins and agents by upstream id.
    entries, ports : list
        Entries and their ports, in the same order.
    """

    def __init__(self, document: Document, *, spec: DemoSpec | None = None):
        self.spec = spec or DemoSpec()
        self.clock = MonotonicClock()
        self.document = document
        self.platform = MemoryPlatform()
        self.platform_port = 0
        self.engines: dict[UpstreamId, StandinEngine] = {}
        self.plain_services: dict[UpstreamId, StandinPlainService] = {}
        self.agents: dict[UpstreamId, Agent] = {}
        self.entries: list[Entry] = []
        self.ports: list[EntryPorts] = []
        self._stop_entries = trio.Event()
        self._stop_agents = trio.Event()
        self._entry_rpc_ports = find_free_ports(self.spec.n_entries)

    @property
    def url(self) -> str:
        """Base URL of the first entry."""
        return f"http://{HOST}:{self.ports[0].http}"

    async def run(
        self, stop: trio.Event, *, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run until ``stop`` is set, then stop gracefully: entries, then agents, then stand-ins."""
        async with trio.open_nursery() as standins:
            self.platform_port = await standins.start(serve_platform, self.platform, HOST, 0)
            view = DocumentView(self.document, Revision(0))
            async with trio.open_nursery() as agents:
                for upstream in view.upstreams.values():
                    await self._start_upstream(standins, agents, upstream, view)
                await self._publish()
                async with trio.open_nursery() as entries:
                    for index in range(self.spec.n_entries):
                        await self._start_entry(entries, index)
                    await self._wait_until_ready()
                    task_status.started()
                    await stop.wait()
                    self._stop_entries.set()
                self._stop_agents.set()
            standins.cancel_scope.cancel()

    async def _start_upstream(
        self,
        standins: trio.Nursery,
        agents: trio.Nursery,
        upstream: UpstreamView,
        view: DocumentView,
    ) -> None:
        port = await self._start_standin(standins, upstream, view)
        url = f"http://{HOST}:{port}"
        settings = self._make_agent_settings(upstream, url)
        agent, agent_port = await agents.start(self._run_agent, settings)
        self.agents[upstream.upstream_id] = agent
        self.document = replace_upstream(
            self.document, upstream, agent=f"{HOST}:{agent_port}", url=url
        )

    async def _start_standin(
        self, standins: trio.Nursery, upstream: UpstreamView, view: DocumentView
    ) -> int:
        if upstream.cfg.kind is UpstreamKind.PLAIN:
            service = StandinPlainService()
            self.plain_services[upstream.upstream_id] = service
            return await standins.start(serve_plain, service, HOST, 0)
        engine = StandinEngine(
            {ref: make_version_spec(view, ref) for ref in upstream.serves},
            spec=self.spec.engine,
            now=self.clock.now(),
        )
        self.engines[upstream.upstream_id] = engine
        return await standins.start(serve_engine, engine, HOST, 0)

    def _make_agent_settings(self, upstream: UpstreamView, url: str) -> AgentSettings:
        return AgentSettings(
            role=SettingsRole.AGENT,
            node_id=f"agent-{upstream.upstream_id.replace('/', '-')}",
            upstream_id=upstream.upstream_id,
            upstream_url=url,
            region=upstream.region,
            domain=upstream.domain,
            rpc=ListenSettings(HOST, 0),
            entries=tuple(f"{HOST}:{port}" for port in self._entry_rpc_ports),
            internal_key=INTERNAL_KEY,
            platform=PlatformAccess(url=f"http://{HOST}:{self.platform_port}"),
            drain_s=self.spec.drain_s,
        )

    async def _run_agent(
        self,
        settings: AgentSettings,
        *,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await run_agent(settings, ConfigCache(), stop=self._stop_agents, task_status=task_status)

    async def _publish(self) -> None:
        store = ConfigStore(self.platform, self.platform)
        await store.publish(Revision(0), self.document, "demo", self.clock.now())

    async def _start_entry(self, entries: trio.Nursery, index: int) -> None:
        settings = self._make_entry_settings(index)

        async def run(*, task_status: trio.TaskStatus) -> None:
            await run_entry(settings, stop=self._stop_entries, task_status=task_status)

        entry, ports = await entries.start(run)
        self.entries.append(entry)
        self.ports.append(ports)

    def _make_entry_settings(self, index: int) -> EntrySettings:
        own_port = self._entry_rpc_ports[index]
        peers = tuple(f"{HOST}:{port}" for port in self._entry_rpc_ports if port != own_port)
        first = next(iter(DocumentView(self.document, Revision(0)).upstreams.values()))
        return EntrySettings(
            role=SettingsRole.ENTRY,
            node_id=f"entry-{index + 1}",
            region=first.region,
            domain=first.domain,
            http=ListenSettings(HOST, self.spec.http_port if index == 0 else 0),
            rpc=ListenSettings(HOST, own_port),
            platform=PlatformAccess(url=f"http://{HOST}:{self.platform_port}"),
            peers=peers,
            internal_key=INTERNAL_KEY,
            session_key=SESSION_KEY,
            drain_s=self.spec.drain_s,
        )

    async def _wait_until_ready(self) -> None:
        while not all(self._is_entry_ready(entry) for entry in self.entries):
            await trio.sleep(READY_POLL_S)

    @staticmethod
    def _is_entry_ready(entry: Entry) -> bool:
        rows = entry.tables.upstreams.values()
        return entry.is_ready() and all(row.reported_at > 0 for row in rows)


def make_version_spec(view: DocumentView, version: VersionRef) -> VersionSpec:
    """Return the quality and prices of a version, for a stand-in engine, from the document."""
    cfg = view.versions[version]
    return VersionSpec(
        quality=cfg.quality_prior,
        prompt_price=cfg.prompt_price,
        completion_price=cfg.completion_price,
    )
