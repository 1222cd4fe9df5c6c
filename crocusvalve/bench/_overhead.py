"""Experiment ``overhead``: what entry and agent add to a direct call of the engine.

Each role runs in its own thread, so that its processor time can be measured separately. All threads
share one interpreter, which increases the latencies of both kinds of call alike.
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
#: Workloads: name, number of requests, tokens of an answer.
WORKLOADS = (("short", 200, 16), ("long", 20, 1000))
#: Number of calls before each measurement.
N_WARMUP = 20
FAST_ENGINE = EngineSpec(step_s=0.0002, per_sequence_s=0.0, prefill_s=0.0, default_tokens=16)


class RoleThread:
    """Runs a role in its own thread with its own trio event loop.

    Parameters
    ----------
    name : str
        Name of the role.
    serve : callable
        Coroutine function of the role; takes the event ``stop`` and ``task_status``.

    Attributes
    ----------
    value : object
        Value that the role passed to ``task_status.started``.
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
        """Start the role and return the value that it passes to ``task_status.started``.

        Raises
        ------
        RuntimeError
            If the role has not started after ``START_TIMEOUT_S``.
        """
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
        """Stop the role and wait for its thread to end."""
        self._token.run_sync_soon(self._stop.set)
        self._thread.join()

    def read_cpu_s(self) -> float:
        """Return the processor time of the role's thread, in seconds."""
        return time.clock_gettime(time.pthread_getcpuclockid(self._thread.ident))


def make_document(agent: str, url: str) -> Document:
    """Build a configuration document with one engine and one customer."""
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


async def serve_backends(stop: trio.Event, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
    """Serve the engine and the platform; report the platform, the engine's port and its own."""
    platform = MemoryPlatform()
    engine = StandinEngine({VERSION: VersionSpec()}, spec=FAST_ENGINE, now=MonotonicClock().now())
    async with trio.open_nursery() as nursery:
        engine_port = await nursery.start(serve_engine, engine, HOST, 0)
        platform_port = await nursery.start(serve_platform, platform, HOST, 0)
        task_status.started((platform, engine_port, platform_port))
        await stop.wait()
        nursery.cancel_scope.cancel()


def make_agent_role(engine_port: int, entry_port: int) -> Callable[..., Awaitable[None]]:
    """Return the coroutine function that runs the agent."""
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
    """Return the coroutine function that runs the entry."""
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
    """Makes calls one after another and measures the latency of each."""

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
    """Measure processor time and latency of direct calls and of calls through the entry.

    Parameters
    ----------
    seed : int
        Seed shown in the table; the experiment has no randomness.
    sizes : tuple of str
        Ignored; the experiment always runs one engine and one entry.

    Returns
    -------
    list of BenchTable
        One table with a row for each workload.
    """
    backends = RoleThread("world", serve_backends)
    platform, engine_port, platform_port = backends.start()
    (rpc_port,) = find_free_ports(1)
    agent = RoleThread("agent", make_agent_role(engine_port, rpc_port))
    _, agent_port = agent.start()
    document = make_document(f"{HOST}:{agent_port}", f"http://{HOST}:{engine_port}")
    trio.run(ConfigStore(platform, platform).publish, Revision(0), document, "bench", time.time())
    entry = RoleThread("entry", make_entry_role(platform_port, rpc_port))
    _, ports = entry.start()
    try:
        return [_measure(seed, backends, agent, entry, engine_port, ports.http)]
    finally:
        for role in (entry, agent, backends):
            role.stop()


def _measure(
    seed: int,
    backends: RoleThread,
    agent: RoleThread,
    entry: RoleThread,
    engine_port: int,
    entry_port: int,
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
    callers = (
        _Caller(f"http://{HOST}:{engine_port}", VERSION),
        _Caller(f"http://{HOST}:{entry_port}", "model"),
    )
    _wait_until_ready(callers[1])
    progress = Progress(len(WORKLOADS))
    for name, n_requests, n_tokens in WORKLOADS:
        table.rows.append(
            _measure_workload(name, n_requests, n_tokens, callers, (backends, agent, entry))
        )
        progress.advance(name)
    return table


def _wait_until_ready(caller: _Caller) -> None:
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        try:
            caller.call(1)
            return
        except httpx.HTTPError:
            time.sleep(0.1)
    raise RuntimeError("the entry did not answer a call before the start timeout")


def _measure_workload(
    name: str,
    n_requests: int,
    n_tokens: int,
    callers: tuple[_Caller, _Caller],
    roles: tuple[RoleThread, RoleThread, RoleThread],
) -> tuple:
    for caller in callers:
        for _ in range(N_WARMUP):
            caller.call(1)
    direct_ms, direct_cpu = _run_calls(callers[0], n_requests, n_tokens, roles)
    routed_ms, routed_cpu = _run_calls(callers[1], n_requests, n_tokens, roles)
    engine_cpu, agent_cpu, entry_cpu = direct_cpu[0], routed_cpu[1], routed_cpu[2]
    return (
        name,
        n_tokens,
        direct_ms,
        routed_ms,
        routed_ms - direct_ms,
        entry_cpu,
        agent_cpu,
        engine_cpu,
        (entry_cpu + agent_cpu) / engine_cpu,
    )


def _run_calls(
    caller: _Caller, n_requests: int, n_tokens: int, roles: tuple[RoleThread, ...]
) -> tuple[float, list[float]]:
    """Return the median latency and each role's processor time per request, in milliseconds."""
    before = [role.read_cpu_s() for role in roles]
    latencies = [caller.call(n_tokens) for _ in range(n_requests)]
    cpu_s = [role.read_cpu_s() - start for role, start in zip(roles, before, strict=True)]
    per_request = [value / n_requests * MS_PER_S for value in cpu_s]
    return statistics.median(latencies) * MS_PER_S, per_request
