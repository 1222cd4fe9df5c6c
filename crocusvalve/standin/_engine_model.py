"""Simulation of a model engine: continuous batching, prefix cache, warm-up and priorities.

The simulation has no clock: ``EngineModel.step(now)`` simulates up to ``now``. Work proceeds in
batch steps; each generates one token for every sequence of the batch and lasts
``step_s + per_sequence_s * n_batch + prefill_s * n_uncached_prompt_tokens`` seconds, times a factor
that falls from ``cold_slowdown`` to 1 while the engine warms up.
"""

import random
from bisect import insort

from crocusvalve.base import BootId, Priority, UpstreamState, VersionRef
from crocusvalve.standin._engine_cache import PrefixCache, split_tokens
from crocusvalve.standin._engine_types import (
    EngineFaults,
    EngineRefusedError,
    EngineRun,
    EngineRunState,
    EngineSpec,
    VersionSpec,
)

__all__ = ["EngineModel"]

#: Most further batch steps simulated at once with the same duration during the warm-up, although
#: the duration falls from step to step.
COLD_STEPS_AT_ONCE = 8


class EngineModel:
    """Simulated state of one engine.

    Parameters
    ----------
    versions : dict of VersionRef to VersionSpec
        Versions that the engine can run.
    loaded : tuple of VersionRef or None
        Versions in memory at the start; None means all.
    spec : EngineSpec or None
        Speed and capacity of the engine; None means the defaults.
    random_state : int
        Seed of boot ids.
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
        self.versions = versions
        self.loaded = set(versions) if loaded is None else set(loaded)
        self.spec = EngineSpec() if spec is None else spec
        self.faults = EngineFaults()
        self.cache = PrefixCache(
            capacity_tokens=self.spec.cache_tokens, block_tokens=self.spec.block_tokens
        )
        self.batch: list[EngineRun] = []
        self.queue: list[EngineRun] = []
        self.n_crashes = 0
        self.restart_at: float | None = None
        self._rng = random.Random(random_state)
        self._model_time = now
        self._step_ends_at: float | None = None
        self._boot(now - (self.spec.cold_s if starts_warm else 0.0))

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
        """Add a request to the queue; too many concurrent requests crash the engine.

        Raises
        ------
        EngineRefusedError
            The engine is down, its queue is full, or the version is not loaded.
        """
        self.step(now)
        if self.restart_at is not None or self.faults.is_down:
            raise EngineRefusedError(503, "engine_down", "engine is restarting")
        if version not in self.loaded:
            raise EngineRefusedError(404, "model_not_found", f"{version} is not loaded")
        if len(self.queue) >= self.spec.max_queue:
            raise EngineRefusedError(429, "engine_full", "queue is full")
        run = EngineRun(
            run_id=run_id,
            version=version,
            prompt=prompt,
            max_tokens=max_tokens or self.spec.default_tokens,
            priority=priority,
            arrived_at=now,
            quality=self.faults.bad_versions.get(version, self.versions[version].quality),
        )
        insort(self.queue, run, key=lambda item: item.sort_key)
        if self.n_in_flight > self.compute_concurrency_limit(now):
            self.crash(now)
        return run

    def cancel(self, run: EngineRun, now: float) -> None:
        """Stop a run and remove it from the batch or the queue."""
        self.step(now)
        if run in self.queue:
            self.queue.remove(run)
        elif run in self.batch:
            self.batch.remove(run)
        else:
            return
        run.state, run.done_at = EngineRunState.CANCELLED, now

    def crash(self, now: float) -> None:
        """Discard all runs and the cache; the engine restarts cold after ``restart_s`` seconds."""
        for run in self.batch + self.queue:
            run.state, run.done_at = EngineRunState.LOST, now
        self.batch.clear()
        self.queue.clear()
        self.cache.clear()
        self.n_crashes += 1
        self.restart_at = now + self.spec.restart_s
        self._step_ends_at = None

    def reset_to_cold(self, now: float) -> None:
        """Become cold without a restart: runs continue at cold speed and the boot id stays."""
        self.step(now)
        self.booted_at = now
        self.cache.clear()

    @property
    def n_in_flight(self) -> int:
        """Number of runs in the batch and in the queue."""
        return len(self.batch) + len(self.queue)

    def compute_warmth(self, now: float) -> float:
        """Return the progress of the warm-up, from 0 (cold) to 1 (warm)."""
        if self.spec.cold_s <= 0:
            return 1.0
        return min(1.0, max(0.0, (now - self.booted_at) / self.spec.cold_s))

    def compute_concurrency_limit(self, now: float) -> int:
        """Return the number of concurrent requests above which the engine crashes."""
        warmth = self.compute_warmth(now)
        if warmth >= 1.0:
            return self.spec.max_batch + self.spec.max_queue
        return self.spec.cold_bears + int(warmth * (self.spec.max_batch - self.spec.cold_bears))

    def get_state(self, now: float) -> UpstreamState:
        """Return the state at the Unix time ``now``, in seconds."""
        if self.restart_at is not None or self.faults.is_down:
            return UpstreamState.DOWN
        return UpstreamState.WARM if self.compute_warmth(now) >= 1.0 else UpstreamState.COLD

    def compute_cost(self, run: EngineRun) -> float:
        """Return the price of a run; a cached prompt token costs a tenth of an uncached one."""
        spec = self.versions[run.version]
        n_charged = run.n_prompt - 0.9 * run.n_cached
        return (n_charged * spec.prompt_price + run.n_out * spec.completion_price) / 1000.0

    def next_event_at(self) -> float | None:
        """Return the time of the next token, admission or restart; None while idle."""
        if self.restart_at is not None:
            return self.restart_at
        if self._step_ends_at is not None:
            return self._step_ends_at
        return self._model_time if self.queue else None

    def next_finish_at(self) -> float | None:
        """Return a time before which no run ends unless more is submitted; None while idle."""
        event_at = self.next_event_at()
        if event_at is None or not self.batch or self.restart_at is not None or self.queue:
            return event_at
        n_left = min(run.max_tokens - run.n_out for run in self.batch)
        return event_at + max(0, n_left - 1) * self._compute_step_s(0)

    def step(self, now: float) -> list[EngineRun]:
        """Simulate up to ``now``.

        Returns
        -------
        list of EngineRun
            Runs that completed, in order of completion.
        """
        ended: list[EngineRun] = []
        while True:
            if self.restart_at is not None:
                if now < self.restart_at:
                    return ended
                self._boot(self.restart_at)
            if self.faults.hangs or self.faults.is_down:
                self._model_time, self._step_ends_at = now, None
                return ended
            while self._begin_step(now) and self._step_ends_at <= now:
                ended += self._finish_steps(now)
            if self.restart_at is None:
                return ended

    def _boot(self, booted_at: float) -> None:
        self.boot_id = BootId(f"{self._rng.getrandbits(64):016x}")
        self.booted_at = booted_at
        self.restart_at = None
        self._model_time = max(self._model_time, booted_at)
        self._step_ends_at = None

    def _begin_step(self, now: float) -> bool:
        if self._step_ends_at is not None:
            return True
        if not self.batch and not self.queue:
            self._model_time = now
            return False
        n_prefill = self._admit()
        if self.restart_at is not None:
            return False
        self._step_ends_at = self._model_time + self._compute_step_s(n_prefill)
        return True

    def _admit(self) -> int:
        n_prefill = 0
        while self.queue and len(self.batch) < self.spec.max_batch:
            run = self.queue.pop(0)
            self.batch.append(run)
            run.state = EngineRunState.RUNNING
            if self.faults.crash_text and self.faults.crash_text in run.prompt:
                self.crash(self._model_time)
                return 0
            tokens = split_tokens(run.prompt)
            run.n_prompt = len(tokens)
            run.n_cached = self.cache.lookup(run.version, tokens)
            self.cache.insert(run.version, tokens)
            n_prefill += run.n_prompt - run.n_cached
        return n_prefill

    def _compute_step_s(self, n_prefill: int) -> float:
        spec = self.spec
        slowness = max((self.versions[run.version].slowness for run in self.batch), default=1.0)
        step_s = spec.step_s * slowness + spec.per_sequence_s * len(self.batch)
        warmth = self.compute_warmth(self._model_time)
        cold_factor = 1.0 + (spec.cold_slowdown - 1.0) * (1.0 - warmth)
        return (step_s + spec.prefill_s * n_prefill) * cold_factor * self.faults.slow_factor

    def _finish_steps(self, now: float) -> list[EngineRun]:
        n_steps = 1
        self._model_time = first_end = self._step_ends_at
        can_admit = self.queue and len(self.batch) < self.spec.max_batch
        if not can_admit and self.batch:
            n_left = min(run.max_tokens - run.n_out for run in self.batch) - 1
            step_s = self._compute_step_s(0)
            n_more = min(n_left, int((now - self._model_time) / step_s))
            if self.compute_warmth(self._model_time) < 1.0:
                n_more = min(n_more, COLD_STEPS_AT_ONCE)
            self._model_time += n_more * step_s
            n_steps += max(0, n_more)
        self._step_ends_at = None
        for run in self.batch:
            if run.n_out == 0:
                run.first_token_at = first_end
            run.n_out += n_steps
        ended = [run for run in self.batch if run.n_out >= run.max_tokens]
        self.batch = [run for run in self.batch if run.n_out < run.max_tokens]
        for run in ended:
            run.state, run.done_at = EngineRunState.DONE, self._model_time
        return ended
