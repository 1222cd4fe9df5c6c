"""Stand-in for a model engine: the simulation plus loading, orders, faults and answer text."""

from collections import OrderedDict
from enum import Enum

from msgspec import Struct, structs

from crocusvalve.base import BootId, Priority, UpstreamState, VersionRef
from crocusvalve.standin._engine_model import EngineModel
from crocusvalve.standin._engine_text import make_answer_words, make_quality_mark
from crocusvalve.standin._engine_types import (
    EngineFaults,
    EngineRefusedError,
    EngineRun,
    EngineRunState,
    EngineSpec,
    VersionSpec,
)

__all__ = [
    "EngineLoad",
    "EngineOrder",
    "EngineOrderAction",
    "EngineOrderReply",
    "EngineRole",
    "FaultRequest",
    "StandinEngine",
]

MAX_STORED_RUNS = 2000


class EngineOrderAction(Enum):
    """What an order makes an engine do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class EngineRole(Enum):
    """Which phases of a request an engine serves: prefill, decoding or both."""

    FULL = "full"
    PREFILL = "prefill"
    DECODE = "decode"


class EngineOrder(Struct, frozen=True):
    """An order to an engine; ``number`` is the fencing number of its sender."""

    action: EngineOrderAction
    number: int
    version: VersionRef = VersionRef("")
    role: EngineRole = EngineRole.FULL


class EngineOrderReply(Struct, frozen=True):
    """Reply to an order.

    Attributes
    ----------
    accepted : bool
        Whether the order was carried out.
    number : int
        Highest fencing number of the orders that the engine accepted.
    ready_at : float
        Unix time in seconds at which a load will be complete.
    """

    accepted: bool
    number: int
    ready_at: float = 0.0


class EngineLoad(Struct, frozen=True, kw_only=True):
    """Load of an engine at the Unix time ``at``, in seconds.

    Attributes
    ----------
    in_flight, queued : int
        Running and queued requests together, and queued requests alone.
    limit : int
        Concurrent requests above which the engine crashes.
    loaded, loading : tuple of VersionRef
        Versions in memory and versions being loaded.
    cached_tokens : int
        Tokens in the prefix cache.
    number : int
        Highest fencing number of the accepted orders.
    """

    boot_id: BootId
    state: UpstreamState
    in_flight: int
    queued: int
    limit: int
    loaded: tuple[VersionRef, ...]
    loading: tuple[VersionRef, ...]
    role: EngineRole
    cached_tokens: int
    number: int
    n_crashes: int
    at: float


class FaultRequest(Struct, frozen=True, kw_only=True):
    """Change of fault switches; None leaves a switch unchanged.

    Attributes
    ----------
    cold : bool
        Restart the warm-up without a restart of the engine.
    crash : bool
        Crash the engine now.
    slow_factor, is_down, hangs, truncate_after, crash_text, bad_versions
        See ``EngineFaults``.
    honours_fencing : bool or None
        Whether orders with an outdated fencing number are refused.
    """

    cold: bool = False
    crash: bool = False
    slow_factor: float | None = None
    is_down: bool | None = None
    hangs: bool | None = None
    truncate_after: int | None = None
    crash_text: str | None = None
    bad_versions: dict[str, float] | None = None
    honours_fencing: bool | None = None


class StandinEngine:
    """A simulated model engine with answers, versions in memory, orders and fault switches.

    Parameters
    ----------
    versions : dict of VersionRef to VersionSpec
        Versions that can be loaded.
    loaded : tuple of VersionRef or None
        Versions in memory at the start; None means all.
    spec : EngineSpec or None
        Speed and capacity of the engine; None means the defaults.
    random_state : int
        Seed of boot ids and answer texts.
    starts_warm : bool
        Whether the engine starts with its warm-up complete.
    now : float
        Current Unix time in seconds.
    """

    def __init__(
        self,
        versions: dict[VersionRef, VersionSpec],
        *,
        loaded: tuple[VersionRef, ...] | None = None,
        spec: EngineSpec | None = None,
        random_state: int = 0,
        starts_warm: bool = True,
        now: float = 0.0,
    ):
        self.model = EngineModel(
            versions,
            loaded=loaded,
            spec=spec,
            random_state=random_state,
            starts_warm=starts_warm,
            now=now,
        )
        self.random_state = random_state
        self.honours_fencing = self.model.spec.honours_fencing
        self.role = EngineRole.FULL
        self.number = 0
        self.orders: list[EngineOrder] = []
        self.loading: dict[VersionRef, float] = {}
        self.runs: OrderedDict[str, EngineRun] = OrderedDict()

    @property
    def faults(self) -> EngineFaults:
        """Current fault switches."""
        return self.model.faults

    def step(self, now: float) -> list[EngineRun]:
        """Simulate up to ``now`` and return the runs that ended."""
        for version, ready_at in list(self.loading.items()):
            if now >= ready_at:
                del self.loading[version]
                self.model.loaded.add(version)
        return self.model.step(now)

    def submit(
        self,
        run_id: str,
        version: VersionRef,
        prompt: str,
        now: float,
        *,
        max_tokens: int = 0,
        priority: Priority = Priority.NORMAL,
    ) -> EngineRun:
        """Queue a request; raises ``EngineRefusedError``, also for the id of an unfinished run."""
        self.step(now)
        previous = self.runs.get(run_id)
        if previous and previous.state in (EngineRunState.QUEUED, EngineRunState.RUNNING):
            raise EngineRefusedError(409, "conflict", f"run {run_id} is in progress")
        run = self.model.submit(
            run_id, version, prompt, now, max_tokens=max_tokens, priority=priority
        )
        self.runs[run_id] = run
        while len(self.runs) > MAX_STORED_RUNS:
            self.runs.popitem(last=False)
        return run

    def cancel(self, run_id: str, now: float) -> bool:
        """Stop a run; return whether a run with this id is stored."""
        run = self.runs.get(run_id)
        if run is not None:
            self.model.cancel(run, now)
        return run is not None

    def make_text(self, run: EngineRun, start: int) -> str:
        """Return the text generated so far, from token ``start``; token 0 is the quality mark."""
        if start >= run.n_out:
            return ""
        mark = f"{make_quality_mark(run.version, run.quality, run.prompt)} " if start == 0 else ""
        first = max(1, start)
        n_words = run.n_out - first
        return mark + make_answer_words(self.random_state, run.version, run.prompt, first, n_words)

    def execute_order(self, order: EngineOrder, now: float) -> EngineOrderReply:
        """Carry out an order.

        An order is refused if its fencing number is outdated and the engine honours fencing, or if
        the version to load is unknown or does not fit in memory.
        """
        if self.honours_fencing and order.number < self.number:
            return EngineOrderReply(False, self.number)
        if order.action is EngineOrderAction.LOAD and not self._has_memory_for(order.version):
            return EngineOrderReply(False, self.number)
        self.number = max(self.number, order.number)
        self.orders.append(order)
        ready_at = now
        if order.action is EngineOrderAction.LOAD:
            ready_at = self._load(order.version, now)
        elif order.action is EngineOrderAction.UNLOAD:
            self.model.loaded.discard(order.version)
            self.loading.pop(order.version, None)
        else:
            self.role = order.role
        return EngineOrderReply(True, self.number, ready_at)

    def set_faults(self, req: FaultRequest, now: float) -> None:
        """Change the fault switches that a request sets."""
        self.step(now)
        if req.cold:
            self.model.reset_to_cold(now)
        if req.crash or (req.is_down and not self.faults.is_down):
            self.model.crash(now)
        if req.honours_fencing is not None:
            self.honours_fencing = req.honours_fencing
        for name in structs.fields(EngineFaults):
            value = getattr(req, name.name)
            if value is not None:
                setattr(self.faults, name.name, value)

    def get_load(self, now: float) -> EngineLoad:
        """Return the load at the Unix time ``now``, in seconds."""
        self.step(now)
        return EngineLoad(
            boot_id=self.model.boot_id,
            state=self.model.get_state(now),
            in_flight=self.model.n_in_flight,
            queued=len(self.model.queue),
            limit=self.model.compute_concurrency_limit(now),
            loaded=tuple(sorted(self.model.loaded)),
            loading=tuple(sorted(self.loading)),
            role=self.role,
            cached_tokens=len(self.model.cache),
            number=self.number,
            n_crashes=self.model.n_crashes,
            at=now,
        )

    def _has_memory_for(self, version: VersionRef) -> bool:
        if version not in self.model.versions:
            return False
        occupying = (self.model.loaded | set(self.loading)) - {version}
        size_gb = sum(self.model.versions[name].size_gb for name in occupying)
        return size_gb + self.model.versions[version].size_gb <= self.model.spec.memory_gb

    def _load(self, version: VersionRef, now: float) -> float:
        if version in self.model.loaded:
            return now
        ready_at = self.loading.get(version, now + self.model.spec.load_s)
        self.loading[version] = ready_at
        return ready_at
