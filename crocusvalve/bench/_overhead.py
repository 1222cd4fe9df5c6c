"""Experiment overhead: what entry and agent add to a direct call of the engine.

Each role runs in a thread of its own, so that its processor time can be told from the others';
all share one interpreter, which lengthens the latencies of both ways alike.
"""

import statistics
import threading
import time
from collections.abc import Awaitable, Callable

import httpx
import trio

from crocusvalve.agent import run_agent
from crocusvalve.base import ClassKind, MemberId, Revision, VersionRef
from crocusvalve.bench._report import BenchTable, Progress
from crocusvalve.config import (
    ClassConfig,
    CustomerConfig,
    Document,
    DomainConfig,
    MemberConfig,
    ModelConfig,
    UpstreamConfig,
    VersionConfig,
)
from crocusvalve.control import ConfigCache, ConfigStore
from crocusvalve.demo import find_free_ports
from crocusvalve.entry import run_entry
from crocusvalve.settings import (
    AgentSettings,
    EntrySettings,
    ListenSettings,
    LogSettings,
    PlatformAccess,
    SettingsRole,
)
from crocusvalve.standin import (
    EngineSpec,
    MemoryPlatform,
    StandinEngine,
    VersionSpec,
    serve_engine,
    serve_platform,
)
from crocusvalve.utils import MonotonicClock, hash_key

__all__ = ["run_overhead"]

HOST = "127.0.0.1"
KEY = "overhead-customer-key"
INTERNAL_KEY = "overhead-internal-key"
SESSION_KEY = "overhead-session-key"
VERSION = VersionRef("bench/model@v1")
UPSTREAM = "bench/engine"
START_TIMEOUT_S = 60.0
MS_PER_S = 1000.0
#: Workloads: name, requests, tokens of an answer.
WORKLOADS = (("short", 200, 16), ("long", 20, 1000))
N_WARMUP = 20
FAST_ENGINE = EngineSpec(step_s=0.0002, per_sequence_s=0.0, prefill_s=0.0, default_tokens=16)


class RoleThread:
    """A role in a thread with a trio loop of its own.

    Parameters
    ----------
    name : str
        Name of the role.
    serve : callable
        Coroutine function of the role; takes ``task_status`` and ``stop``.
    """

    def __init__(self, name: str, serve: Callable[..., Awaitable[None]]):
        self.name = name
        self.serve = serve
        self.value = None
        self._started = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)
        self._token: trio.lowlevel.TrioToken | None = None
        self._stop: trio.Event | None = None

    def start(self):
        """Start the role and return what it was started with."""
        self._thread.start()
        if not self._started.wait(START_TIMEOUT_S):
            raise RuntimeError(f"role {self.name} did not start")
        return self.value

    def _run(self) -> None:
        trio.run(self._main)

    async def _main(self) -> None:
        self._token = trio.lowlevel.current_trio_token()
        self._stop = trio.Event()
        async with trio.open_nursery() as nursery:
            self.value = await nursery.start(self.serve, self._stop)
            self._started.set()
            await self._stop.wait()
            nursery.cancel_scope.cancel()

    def stop(self) -> None:
        """Stop the role."""
        self._token.run_sync_soon(self._stop.set)
        self._thread.join()

    def read_cpu_s(self) -> float:
        """Return the processor time of the role's thread, in seconds."""
        return time.clock_gettime(time.pthread_getcpuclockid(self._thread.ident))


def make_document(agent: str, url: str) -> Document:
    """Make a document with one engine and one customer."""
    section = MemberConfig(
        domains={"domain": DomainConfig("region")},
        models={"model": ModelConfig("v1", {"v1": VersionConfig(1.0, 1.0, 0.9)})},
        upstreams={
            "engine": UpstreamConfig(
                "domain", agent, url, serves=("model@v1",), cold_limit=8, warm_limit=8
            )
        },
        customers={
            "customer": CustomerConfig(
                hash_key(KEY), ("model",), ("answer",), rate_per_s=1e6, burst=10**6
            )
        },
        classes={"answer": ClassConfig(ClassKind.ANSWER, deadline_s=60.0, default_model="model")},
    )
    return Document("bench", {MemberId("bench"): section})


async def serve_world(stop: trio.Event, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Serve the engine and the platform; started with the platform and both ports."""
    platform = MemoryPlatform()
    engine = StandinEngine({VERSION: VersionSpec()}, spec=FAST_ENGINE, now=MonotonicClock().now())
    async with trio.open_nursery() as nursery:
        engine_port = await nursery.start(serve_engine, engine, HOST, 0)
        platform_port = await nursery.start(serve_platform, platform, HOST, 0)
        task_status.started((platform, engine_port, platform_port))
        await stop.wait()
        nursery.cancel_scope.cancel()


def make_agent_role(engine_port: int, entry_port: int) -> Callable[..., Awaitable[None]]:
    """Make the agent's role."""
    settings = AgentSettings(
        role=SettingsRole.AGENT,
        node_id="agent",
        upstream_id=UPSTREAM,
        upstream_url=f"http://{HOST}:{engine_port}",
        region="region",
        domain="bench/domain",
        entries=(f"{HOST}:{entry_port}",),
        internal_key=INTERNAL_KEY,
        drain_s=1.0,
    )

    async def serve(stop: trio.Event, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        await run_agent(settings, ConfigCache(), stop=stop, task_status=task_status)

    return serve


def make_entry_role(platform_port: int, rpc_port: int) -> Callable[..., Awaitable[None]]:
    """Make the entry's role."""
    settings = EntrySettings(
        role=SettingsRole.ENTRY,
        node_id="entry",
        region="region",
        domain="bench/domain",
        http=ListenSettings(HOST, 0),
        rpc=ListenSettings(HOST, rpc_port),
        platform=PlatformAccess(url=f"http://{HOST}:{platform_port}"),
        internal_key=INTERNAL_KEY,
        session_key=SESSION_KEY,
        log=LogSettings(),
        drain_s=1.0,
    )

    async def serve(stop: trio.Event, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        await run_entry(settings, stop=stop, task_status=task_status)

    return serve


class _Caller:
    """Makes one call after the other and keeps their latencies."""

    def __init__(self, url: str, model: str):
        self.client = httpx.Client(base_url=url, timeout=60.0, trust_env=False)
        self.model = model

    def call(self, n_tokens: int) -> float:
        """Make a streamed call; return its latency in seconds."""
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": "measure"}],
            "stream": True,
            "max_tokens": n_tokens,
        }
        headers = {"Authorization": f"Bearer {KEY}"}
        started = time.perf_counter()
        with self.client.stream(
            "POST", "/v1/chat/completions", json=body, headers=headers
        ) as response:
            response.raise_for_status()
            for _ in response.iter_raw():
                pass
        return time.perf_counter() - started


def run_overhead(seed: int, sizes: tuple[str, ...]) -> list[BenchTable]:
    """Measure processor time and latency of both ways; sizes play no part.

    Parameters
    ----------
    seed : int
        Named in the table; nothing here is random.
    sizes : tuple of str
        Ignored: one engine and one entry are measured.

    Returns
    -------
    list of BenchTable
        One table, a row for each workload.
    """
    world = RoleThread("world", serve_world)
    platform, engine_port, platform_port = world.start()
    (rpc_port,) = find_free_ports(1)
    agent = RoleThread("agent", make_agent_role(engine_port, rpc_port))
    _, agent_port = agent.start()
    document = make_document(f"{HOST}:{agent_port}", f"http://{HOST}:{engine_port}")
    trio.run(ConfigStore(platform, platform).publish, Revision(0), document, "bench", time.time())
    entry = RoleThread("entry", make_entry_role(platform_port, rpc_port))
    _, ports = entry.start()
    try:
        return [_measure(seed, world, agent, entry, engine_port, ports.http)]
    finally:
        for role in (entry, agent, world):
            role.stop()


def _measure(
    seed: int, world: RoleThread, agent: RoleThread, entry: RoleThread, direct: int, through: int
) -> BenchTable:
    table = BenchTable(
        name="overhead",
        seed=seed,
        columns=(
            "workload",
            "tokens",
            "direct p50 ms",
            "through p50 ms",
            "added p50 ms",
            "entry CPU ms",
            "agent CPU ms",
            "engine CPU ms direct",
            "CPU ratio",
        ),
    )
    ways = (
        _Caller(f"http://{HOST}:{direct}", VERSION),
        _Caller(f"http://{HOST}:{through}", "model"),
    )
    _wait_until_ready(ways[1])
    progress = Progress(len(WORKLOADS))
    for name, n_requests, n_tokens in WORKLOADS:
        table.rows.append(
            _measure_workload(name, n_requests, n_tokens, ways, (world, agent, entry))
        )
        progress.advance(name)
    return table


def _wait_until_ready(caller: _Caller) -> None:
    give_up_at = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < give_up_at:
        try:
            caller.call(1)
            return
        except httpx.HTTPError:
            time.sleep(0.1)
    raise RuntimeError("the entry did not answer")


def _measure_workload(
    name: str,
    n_requests: int,
    n_tokens: int,
    ways: tuple[_Caller, _Caller],
    roles: tuple[RoleThread, RoleThread, RoleThread],
) -> tuple:
    for way in ways:
        for _ in range(N_WARMUP):
            way.call(1)
    direct_ms, direct_cpu = _run_way(ways[0], n_requests, n_tokens, roles)
    through_ms, through_cpu = _run_way(ways[1], n_requests, n_tokens, roles)
    engine_cpu, agent_cpu, entry_cpu = direct_cpu[0], through_cpu[1], through_cpu[2]
    return (
        name,
        n_tokens,
        direct_ms,
        through_ms,
        through_ms - direct_ms,
        entry_cpu,
        agent_cpu,
        engine_cpu,
        (entry_cpu + agent_cpu) / engine_cpu,
    )


def _run_way(
    way: _Caller, n_requests: int, n_tokens: int, roles: tuple[RoleThread, ...]
) -> tuple[float, list[float]]:
    """Return the median latency and each role's processor time a request, in milliseconds."""
    before = [role.read_cpu_s() for role in roles]
    latencies = [way.call(n_tokens) for _ in range(n_requests)]
    used = [role.read_cpu_s() - start for role, start in zip(roles, before, strict=True)]
    per_request = [value / n_requests * MS_PER_S for value in used]
    return statistics.median(latencies) * MS_PER_S, per_request
