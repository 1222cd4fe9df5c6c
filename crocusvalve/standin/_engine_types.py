"""Types of the stand-in engine: specifications, versions, fault switches and runs."""

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
    """State of a run in the engine; a crash makes unfinished runs ``LOST``."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    LOST = "lost"


class VersionSpec(Struct, frozen=True):
    """A model version.

    Attributes
    ----------
    quality : float
        Quality of its answers, from 0 to 1.
    prompt_price, completion_price : float
        Prices of 1,000 tokens.
    slowness : float
        Time per token, relative to that of ``EngineSpec``.
    size_gb : float
        Memory that its weights take, in GB.
    """

    quality: float = 0.8
    prompt_price: float = 0.1
    completion_price: float = 0.3
    slowness: float = 1.0
    size_gb: float = 10.0


class EngineSpec(Struct, frozen=True):
    """Speed and capacity of an engine; times are in seconds.

    Attributes
    ----------
    step_s, per_sequence_s, prefill_s : float
        Duration of a batch step, and its increase per sequence and per uncached prompt token.
    max_batch, max_queue : int
        Largest numbers of running and of queued requests.
    cold_s : float
        Duration of the warm-up.
    cold_slowdown : float
        Factor on the duration of a step at the start of the warm-up.
    cold_bears : int
        Concurrent requests above which the engine crashes at the start of the warm-up.
    restart_s : float
        Time from a crash to the next boot.
    cache_tokens, block_tokens : int
        Capacity and block size of the prefix cache, in tokens.
    memory_gb : float
        Memory for the weights of versions, in GB.
    load_s : float
        Time to load a version.
    honours_fencing : bool
        Whether orders with an outdated fencing number are refused.
    default_tokens : int
        Tokens of an answer whose request sets no maximum.
    """

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
    """Fault switches of an engine.

    Attributes
    ----------
    slow_factor : float
        Factor on the duration of a step.
    is_down : bool
        Whether the engine refuses requests and reports that it is down.
    hangs : bool
        Whether runs make no progress.
    truncate_after : int
        Tokens after which streams are interrupted; 0 for never.
    crash_text : str
        Text that crashes the engine once a prompt with it starts to run; empty for none.
    bad_versions : dict of str to float
        Quality, from 0 to 1, that replaces that of a version.
    """

    slow_factor: float = 1.0
    is_down: bool = False
    hangs: bool = False
    truncate_after: int = 0
    crash_text: str = ""
    bad_versions: dict[str, float] = field(default_factory=dict)


class EngineRefusedError(Exception):
    """The engine refused a request and ran no part of it; ``status`` is the HTTP status."""

    def __init__(self, status: int, code: str, message: str):
        super().__init__(message)
        self.status = status
        self.code = code


class EngineRun(Struct, kw_only=True, eq=False):
    """A request inside the engine; times are Unix times in seconds.

    Attributes
    ----------
    n_prompt, n_cached, n_out : int
        Tokens of the prompt, those of them found in the cache, and generated tokens.
    quality : float
        Quality of the answer, from 0 to 1.
    """

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
        """Key by which the queue is sorted: priority, then arrival."""
        return (int(self.priority), self.arrived_at, self.run_id)
