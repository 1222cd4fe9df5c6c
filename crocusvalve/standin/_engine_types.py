"""Types of the stand-in engine: figures, versions, fault switches and runs."""

from enum import Enum

from msgspec import Struct, field

from crocusvalve.base import Priority, VersionRef

__all__ = [
    "EngineFaults",
    "EngineRefusedError",
    "EngineRun",
    "EngineRunState",
    "EngineSpec",
    "VersionSpec",
]


class EngineRunState(Enum):
    """State of a run in the engine."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    LOST = "lost"


class VersionSpec(Struct, frozen=True):
    """A version: prices for 1,000 tokens, quality in [0, 1], relative time a token, size in GB."""

    quality: float = 0.8
    prompt_price: float = 0.1
    completion_price: float = 0.3
    slowness: float = 1.0
    size_gb: float = 10.0


class EngineSpec(Struct, frozen=True):
    """Figures of an engine; times in seconds, limits in concurrent requests or tokens."""

    step_s: float = 0.004
    per_sequence_s: float = 0.0002
    prefill_s: float = 0.00002
    max_batch: int = 16
    max_queue: int = 64
    cold_s: float = 5.0
    cold_slowdown: float = 3.0
    cold_bears: int = 4
    restart_s: float = 0.5
    cache_tokens: int = 20_000
    block_tokens: int = 16
    memory_gb: float = 40.0
    load_s: float = 0.2
    honours_fencing: bool = True
    default_tokens: int = 32


class EngineFaults(Struct):
    """Fault switches; ``bad_versions`` maps a version to the quality that it falls to."""

    slow_factor: float = 1.0
    is_down: bool = False
    hangs: bool = False
    truncate_after: int = 0
    crash_text: str = ""
    bad_versions: dict[str, float] = field(default_factory=dict)


class EngineRefusedError(Exception):
    """The engine took no part of a request; ``status`` is the HTTP status."""

    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code


class EngineRun(Struct, kw_only=True, eq=False):
    """A request inside the engine; ``n_out`` counts generated tokens."""

    run_id: str
    version: VersionRef
    prompt: str
    max_tokens: int
    priority: Priority
    arrived_at: float
    n_prompt: int = 0
    n_cached: int = 0
    n_out: int = 0
    quality: float = 0.0
    state: EngineRunState = EngineRunState.QUEUED
    first_token_at: float = 0.0
    done_at: float = 0.0

    @property
    def sort_key(self) -> tuple[int, float, str]:
        """Key of the order of service."""
        return (int(self.priority), self.arrived_at, self.run_id)
